package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Settings of an entry on the platform.
type Settings struct {
	Instance string `yaml:"instance"`
	Domain   string `yaml:"domain"` // failure domain
	Listen   Listen `yaml:"listen"`
	// Seeds are where other entries may serve their peers; they may be stale.
	Seeds []string `yaml:"seeds"`
	// Store is host:port of the platform's store.
	Store string `yaml:"store"`
	// MemoryMB is what the process may use before it is killed.
	MemoryMB int    `yaml:"memory_mb"`
	Bounds   Bounds `yaml:"bounds"`
}

// Listen are the addresses that an entry serves, host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Peers serves other entries, and the state dump.
	Peers string `yaml:"peers"`
	// Loads takes other entries' datagrams on load.
	Loads string `yaml:"loads"`
	// Metrics; empty: they are served with the peers only.
	Metrics string `yaml:"metrics"`
}

// Bounds are what the operators ask for.
type Bounds struct {
	// LeavingMS is how long after its leaving was announced an endpoint may
	// still get requests.
	LeavingMS int `yaml:"leaving_ms"`
	// GraceS is the time between SIGTERM and SIGKILL.
	GraceS float64 `yaml:"grace_s"`
	// SessionS is how long after its last request a session goes on.
	SessionS float64 `yaml:"session_s"`
	// Repeats of requests, of all entries together in a window: a ratio of the
	// requests, and some besides.
	RepeatRatio   float64 `yaml:"repeat_ratio"`
	RepeatExtra   float64 `yaml:"repeat_extra"`
	RepeatWindowS float64 `yaml:"repeat_window_s"`
	// What a bad version may get of its service's requests: a share of those
	// between the order and the end of its time, and some besides.
	ExposureShare float64 `yaml:"exposure_share"`
	ExposureSlack float64 `yaml:"exposure_slack"`
	// HaltWithinMS is how long after a version was proven bad it may get requests.
	HaltWithinMS int `yaml:"halt_within_ms"`
}

// Grace is GraceS as a duration.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// defaults hold where a setting is left out; the bounds are those of the
// users' platform today.
func defaults() *Settings {
	return &Settings{MemoryMB: 128, Bounds: Bounds{LeavingMS: 2000, GraceS: 8, SessionS: 5, RepeatRatio: 0.5, RepeatExtra: 20, RepeatWindowS: 10, ExposureShare: 0.1, ExposureSlack: 20, HaltWithinMS: 5000}}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, trace.Wrap(err, "%s", path)
	}
	return s, nil
}

// Parse reads and checks settings. All findings are reported together.
func Parse(raw []byte) (*Settings, error) {
	s := defaults()
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return nil, trace.BadParameter("%v", err)
	}
	if findings := s.check(); len(findings) > 0 {
		return nil, trace.NewAggregate(findings...)
	}
	return s, nil
}

func (s *Settings) check() []error {
	var found []error
	add := func(path, format string, args ...any) {
		found = append(found, trace.BadParameter("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	if s.Instance == "" {
		add("instance", "is missing")
	}
	if s.Domain == "" {
		add("domain", "is missing")
	}
	addresses := []struct {
		path, value string
		optional    bool
	}{
		{"listen.callers", s.Listen.Callers, false},
		{"listen.readiness", s.Listen.Readiness, false},
		{"listen.peers", s.Listen.Peers, false},
		{"listen.loads", s.Listen.Loads, false},
		{"listen.metrics", s.Listen.Metrics, true},
		{"store", s.Store, false},
	}
	for _, a := range addresses {
		if a.value == "" && a.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			add(a.path, "%q is not host:port", a.value)
		}
	}
	for i, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			add(fmt.Sprintf("seeds[%d]", i), "%q is not host:port", seed)
		}
	}
	positive := []struct {
		path  string
		value float64
	}{
		{"memory_mb", float64(s.MemoryMB)},
		{"bounds.leaving_ms", float64(s.Bounds.LeavingMS)},
		{"bounds.grace_s", s.Bounds.GraceS},
		{"bounds.session_s", s.Bounds.SessionS},
		{"bounds.repeat_window_s", s.Bounds.RepeatWindowS},
		{"bounds.halt_within_ms", float64(s.Bounds.HaltWithinMS)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			add(p.path, "%v is not above 0", p.value)
		}
	}
	if s.Bounds.RepeatRatio < 0 || s.Bounds.RepeatExtra < 0 {
		add("bounds.repeat_ratio", "repeats cannot be below 0")
	}
	if s.Bounds.ExposureShare < 0 || s.Bounds.ExposureShare > 1 {
		add("bounds.exposure_share", "%v is not within 0 to 1", s.Bounds.ExposureShare)
	}
	if s.Bounds.ExposureSlack < 0 {
		add("bounds.exposure_slack", "%v is below 0", s.Bounds.ExposureSlack)
	}
	return found
}
