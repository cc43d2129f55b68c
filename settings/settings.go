package settings

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/lovageweir/lovageweir/config"
)

// Entry is the settings of one entry instance.
type Entry struct {
	Instance string `yaml:"instance"`
	Domain   string `yaml:"domain"`
	// Listen is host:port for callers, peers (twirp), /metrics and /debug.
	Listen string `yaml:"listen"`
	// KV is the base URL of the platform KV service.
	KV string `yaml:"kv"`
	// Peers are other entries' base URLs.
	Peers             []string      `yaml:"peers"`
	FirstTokenTimeout time.Duration `yaml:"first_token_timeout"`
	IdleTimeout       time.Duration `yaml:"idle_timeout"`
	DrainTimeout      time.Duration `yaml:"drain_timeout"`
}

// Defaults for timeouts left out of the file.
const (
	DefaultFirstTokenTimeout = 5 * time.Second
	DefaultIdleTimeout       = 5 * time.Second
	DefaultDrainTimeout      = 20 * time.Second
)

// Load reads and checks the file at path.
func Load(path string) (*Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Parse(raw)
}

// Parse decodes and checks settings, returning every finding at once.
func Parse(raw []byte) (*Entry, error) {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	var e Entry
	if err := dec.Decode(&e); err != nil {
		return nil, config.Findings{{Path: "(settings)", Message: err.Error()}}
	}
	if e.FirstTokenTimeout == 0 {
		e.FirstTokenTimeout = DefaultFirstTokenTimeout
	}
	if e.IdleTimeout == 0 {
		e.IdleTimeout = DefaultIdleTimeout
	}
	if e.DrainTimeout == 0 {
		e.DrainTimeout = DefaultDrainTimeout
	}
	if fs := e.Check(); len(fs) > 0 {
		return nil, fs
	}
	return &e, nil
}

// Check returns every problem with the settings.
func (e *Entry) Check() config.Findings {
	var fs config.Findings
	add := func(path, msg string) { fs = append(fs, config.Finding{Path: path, Message: msg}) }
	if e.Instance == "" {
		add("instance", "an instance name is required")
	}
	if e.Domain == "" {
		add("domain", "a failure domain is required")
	}
	if _, _, err := net.SplitHostPort(e.Listen); err != nil {
		add("listen", "not host:port: "+err.Error())
	}
	if e.KV == "" {
		add("kv", "the KV service URL is required")
	}
	for _, d := range []struct {
		path string
		v    time.Duration
	}{{"first_token_timeout", e.FirstTokenTimeout}, {"idle_timeout", e.IdleTimeout}, {"drain_timeout", e.DrainTimeout}} {
		if d.v < 0 {
			add(d.path, "must not be negative")
		}
	}
	return fs
}
