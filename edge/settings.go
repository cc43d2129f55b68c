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
	// Seeds are addresses at which other entries may serve their peers; they may be
	// stale.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the platform's store, host:port.
	Store string `yaml:"store"`
	// StoreWritesPerS is how many writes a second the store accepts from all entries together.
	StoreWritesPerS float64 `yaml:"store_writes_per_s"`
	// MemoryMB is the memory limit of the process, which is killed above it.
	MemoryMB int `yaml:"memory_mb"`
	// MaxFDs is how many file descriptors the process may open; 0: as many as its limit says.
	MaxFDs int `yaml:"max_fds"`
	// CPUShare is the process's share of a core; 0: not known.
	CPUShare float64 `yaml:"cpu_share"`
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s; 0: not known.
	LinkMbps float64 `yaml:"link_mbps"`
	// EgressProxy is the address of an HTTP CONNECT proxy for connections to endpoints, host:port;
	// empty: none.
	EgressProxy string  `yaml:"egress_proxy"`
	Bounds      Bounds  `yaml:"bounds"`
	Shares      Shares  `yaml:"shares"`
	Clients     Clients `yaml:"clients"`
}

// Clients are the bounds of what clients may take up, as shares of MemoryMB.
type Clients struct {
	// MemoryShare is for connections, requests in progress, and what is held of their bodies and answers.
	MemoryShare float64 `yaml:"memory_share"`
	// HeadMemoryShare is the part of it for heads of requests.
	HeadMemoryShare float64 `yaml:"head_memory_share"`
}

// maxClientMemoryShare leaves the rest for the configuration, and for garbage that is not collected yet.
const maxClientMemoryShare = 0.7

// Shares are the settings of customers' shares and of delays by urgency.
type Shares struct {
	// Enabled: requests are told apart by urgency and by their customers' shares while a service is short of
	// capacity.
	Enabled bool `yaml:"enabled"`
}

// Listen holds the addresses that an entry listens on, host:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Peers serves other entries and the state dump.
	Peers string `yaml:"peers"`
	// Loads receives other entries' load datagrams.
	Loads string `yaml:"loads"`
	// Metrics serves metrics; empty: they are served at Peers only.
	Metrics string `yaml:"metrics"`
}

// Bounds are the operators' requirements.
type Bounds struct {
	// LeavingMS is how long an endpoint may still get requests after it announced
	// that it is leaving.
	LeavingMS int `yaml:"leaving_ms"`
	// GraceS is the time between SIGTERM and SIGKILL.
	GraceS float64 `yaml:"grace_s"`
	// SessionS is how long a session lasts after its last request.
	SessionS float64 `yaml:"session_s"`
	// The retry budget of all entries together within a window: RepeatRatio of the
	// requests plus RepeatExtra.
	RepeatRatio   float64 `yaml:"repeat_ratio"`
	RepeatExtra   float64 `yaml:"repeat_extra"`
	RepeatWindowS float64 `yaml:"repeat_window_s"`
	// The number of its service's requests that a bad version may get: ExposureShare
	// of those between the start and the end of its roll-out, plus ExposureSlack.
	ExposureShare float64 `yaml:"exposure_share"`
	ExposureSlack float64 `yaml:"exposure_slack"`
	// HaltWithinMS is how long a version may still get requests after it was proven
	// bad.
	HaltWithinMS int `yaml:"halt_within_ms"`
}

// Grace returns GraceS as a duration.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// defaults returns the values of omitted settings; the bounds are those of the
// users' platform.
func defaults() *Settings {
	return &Settings{MemoryMB: 128, StoreWritesPerS: 400, Bounds: Bounds{LeavingMS: 2000, GraceS: 8, SessionS: 5, RepeatRatio: 0.5, RepeatExtra: 20, RepeatWindowS: 10, ExposureShare: 0.1, ExposureSlack: 20, HaltWithinMS: 5000}, Shares: Shares{Enabled: true}, Clients: Clients{MemoryShare: 0.5, HeadMemoryShare: 0.125}}
}

// Load reads and validates a settings file.
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

// Parse decodes and validates settings. All errors are reported together.
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
		{"egress_proxy", s.EgressProxy, true},
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
		{"store_writes_per_s", s.StoreWritesPerS},
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
	if c := s.Clients; !(c.MemoryShare > 0 && c.MemoryShare <= maxClientMemoryShare) {
		add("clients.memory_share", "%v is not above 0 and at most %v", c.MemoryShare, maxClientMemoryShare)
	}
	if c := s.Clients; !(c.HeadMemoryShare > 0 && c.HeadMemoryShare <= c.MemoryShare) {
		add("clients.head_memory_share", "%v is not above 0 and at most clients.memory_share", c.HeadMemoryShare)
	}
	if s.MaxFDs < 0 {
		add("max_fds", "%d is below 0", s.MaxFDs)
	}
	if s.CPUShare < 0 {
		add("cpu_share", "%v is below 0", s.CPUShare)
	}
	if s.LinkMbps < 0 {
		add("link_mbps", "%v is below 0", s.LinkMbps)
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
