package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `
instance: front-1
domain: hall-a
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", peers: "127.0.0.1:3", loads: "127.0.0.1:4"}
seeds: ["127.0.0.1:5"]
store: "127.0.0.1:6"
memory_mb: 284
bounds: {leaving_ms: 2000, grace_s: 8, session_s: 5, repeat_ratio: 0.9, repeat_extra: 56, repeat_window_s: 10}
`

func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Instance, "front-1")
	is.Equal(s.Bounds.Grace(), 8*time.Second)
	is.Equal(s.Seeds, []string{"127.0.0.1:5"})
	is.Equal(lapsedGrace(s), 1400*time.Millisecond)
}

// All errors are reported together, each with the path of its setting.
func TestParseReportsAllFindings(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`
listen: {callers: "nowhere", readiness: "127.0.0.1:2", peers: "127.0.0.1:3", loads: "127.0.0.1:4"}
seeds: ["x"]
store: "127.0.0.1:6"
egress_proxy: "there"
bounds: {grace_s: 0, repeat_ratio: -1}
clients: {memory_share: 0.9, head_memory_share: 0}
`))
	is.True(err != nil)
	for _, want := range []string{"instance: is missing", "domain: is missing", `listen.callers: "nowhere"`, `seeds[0]: "x"`, `egress_proxy: "there"`, "bounds.grace_s: 0",
		"bounds.repeat_ratio", "clients.memory_share: 0.9", "clients.head_memory_share: 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in %q", want, err)
		}
	}
}

// A misspelt setting is an error and is not silently ignored.
func TestParseRejectsUnknownSetting(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(validSettings + "memory: 5\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "memory"))
}

// Shares are on unless they are turned off: an omitted section must not turn them off.
func TestSharesAreOnByDefault(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.True(s.Shares.Enabled)
	s, err = Parse([]byte(validSettings + "shares: {enabled: false}\n"))
	is.NoErr(err)
	is.True(!s.Shares.Enabled)
	_, err = Parse([]byte(validSettings + "shares: {enabled: often}\n"))
	is.True(err != nil)
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("listen: 5"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil && (s.Instance == "" || s.Bounds.GraceS <= 0) {
			t.Fatalf("invalid settings accepted: %+v", s)
		}
	})
}
