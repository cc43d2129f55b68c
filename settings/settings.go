package settings

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/session"
)

// Entry holds the settings of one entry instance.
type Entry struct {
	Instance string `yaml:"instance"`
	Domain   string `yaml:"domain"`
	// Listen is the host:port for callers, and also for peers, operators and
	// metrics unless InternalListen is set.
	Listen string `yaml:"listen"`
	// InternalListen is the host:port for peers (twirp), /metrics and /debug. Set
	// it wherever callers are not trusted: messages of the peer protocol are not
	// authenticated, and the state dump names customers' back ends.
	InternalListen string `yaml:"internal_listen"`
	// KV is the base URL of the platform KV service.
	KV string `yaml:"kv"`
	// Advertise is the base URL at which peers reach this entry. It defaults to
	// http:// and InternalListen, or Listen if that is not set.
	Advertise string `yaml:"advertise"`
	// Rater is the base URL of the service that rates answers. Without it,
	// cascades use their last step and guards observe failures only.
	Rater string `yaml:"rater"`
	// Instances is the base URL of the platform's instance list.
	Instances string `yaml:"instances"`
	// ManageEngines makes the entries of this failure domain order its engines
	// to load their configured versions. Leave it off if another system does so.
	ManageEngines bool `yaml:"manage_engines"`
	// Peers are the base URLs of other entries from which gossip starts (seeds).
	Peers             []string      `yaml:"peers"`
	FirstTokenTimeout time.Duration `yaml:"first_token_timeout"`
	IdleTimeout       time.Duration `yaml:"idle_timeout"`
	DrainTimeout      time.Duration `yaml:"drain_timeout"`
	// AnswerTimeout is the time-out of a call whose answer is not streamed.
	AnswerTimeout time.Duration `yaml:"answer_timeout"`
	// MemoryMB is the memory limit of the process.
	MemoryMB int `yaml:"memory_mb"`
	// MaxFDs is how many file descriptors the process may open; 0: as many as its limit says.
	MaxFDs int `yaml:"max_fds"`
	// SessionKeys maps key IDs to secrets in hex (at least 32 bytes) shared by
	// all entries; SessionKeyCurrent is the ID of the signing key. Without keys
	// a session stays on its version only until the roll-out weights change.
	SessionKeys       map[string]string `yaml:"session_keys"`
	SessionKeyCurrent string            `yaml:"session_key_current"`
}

// Defaults of timeouts that are not set.
const (
	DefaultFirstTokenTimeout = 5 * time.Second
	DefaultIdleTimeout       = 5 * time.Second
	DefaultDrainTimeout      = 20 * time.Second
	DefaultAnswerTimeout     = 120 * time.Second
)

// DefaultMemoryMB is the memory limit that is not set.
const DefaultMemoryMB = 128

// memoryLimitShare is the share of the memory above which the garbage collector runs as often as it takes.
const memoryLimitShare = 0.8

// MemoryLimit returns the Go runtime's soft memory limit, in bytes.
func (e *Entry) MemoryLimit() int64 {
	return int64(memoryLimitShare * float64(int64(e.MemoryMB)<<20))
}

// Load reads and validates the file at path.
func Load(path string) (*Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings. It returns all findings at once.
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
	if e.AnswerTimeout == 0 {
		e.AnswerTimeout = DefaultAnswerTimeout
	}
	if e.MemoryMB == 0 {
		e.MemoryMB = DefaultMemoryMB
	}
	if e.Advertise == "" {
		e.Advertise = "http://" + cmp.Or(e.InternalListen, e.Listen)
	}
	if fs := e.Check(); len(fs) > 0 {
		return nil, fs
	}
	return &e, nil
}

// Check returns all problems of the settings.
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
	if _, _, err := net.SplitHostPort(e.InternalListen); e.InternalListen != "" && err != nil {
		add("internal_listen", "not host:port: "+err.Error())
	}
	if e.KV == "" {
		add("kv", "the KV service URL is required")
	}
	urls := map[string]string{"kv": e.KV, "advertise": e.Advertise, "rater": e.Rater, "instances": e.Instances}
	for i, p := range e.Peers {
		urls[fmt.Sprintf("peers[%d]", i)] = p
	}
	for _, path := range slices.Sorted(maps.Keys(urls)) {
		if u := urls[path]; u != "" && !strings.HasPrefix(u, "http://") && !strings.HasPrefix(u, "https://") {
			add(path, "not a URL that starts with http:// or https://")
		}
	}
	if len(e.SessionKeys) > 0 {
		if _, ok := e.SessionKeys[e.SessionKeyCurrent]; !ok {
			add("session_key_current", "must name one of session_keys")
		}
		for id, hexKey := range e.SessionKeys {
			if b, err := hex.DecodeString(hexKey); err != nil || len(b) < 32 {
				add("session_keys."+id, "must be at least 32 bytes written in hex")
			}
		}
	}
	if e.MemoryMB < 0 {
		add("memory_mb", "must not be negative")
	}
	if e.MaxFDs < 0 {
		add("max_fds", "must not be negative")
	}
	for _, d := range []struct {
		path string
		v    time.Duration
	}{{"first_token_timeout", e.FirstTokenTimeout}, {"idle_timeout", e.IdleTimeout}, {"drain_timeout", e.DrainTimeout}, {"answer_timeout", e.AnswerTimeout}} {
		if d.v < 0 {
			add(d.path, "must not be negative")
		}
	}
	return fs
}

// Keyring returns the session key ring, or nil if no keys are set.
func (e *Entry) Keyring() (*session.Keyring, error) {
	if len(e.SessionKeys) == 0 {
		return nil, nil
	}
	keys := map[string][]byte{}
	for id, h := range e.SessionKeys {
		b, err := hex.DecodeString(h)
		if err != nil {
			return nil, trace.BadParameter("session_keys.%s: %v", id, err)
		}
		keys[id] = b
	}
	return session.NewKeyring(e.SessionKeyCurrent, keys)
}
