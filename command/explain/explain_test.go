package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log = `   0.1 front-1 {"time":"2026-01-02T10:00:00.5Z","level":"INFO","msg":"fleet: endpoint gone.","instance":"i1","endpoint":"e1"}
not a line of an entry
{"time":"2026-01-02T09:00:00Z","level":"INFO","msg":"fleet: long ago.","instance":"i1"}
{"time":"2026-01-02T10:00:00.6Z","level":"WARN","msg":"mesh: entry does not answer.","instance":"i2"}
{"time":"2026-01-02T10:00:01Z","level":"INFO","msg":"ingress: request ended.","instance":"i1","id":"abc1","status":502,"outcome":"endpoint_broke_off","ms":400,"revision":7,"age_ms":12,"config":3,"route":"r","allowed_ms":800,"customer":"c","sends":"e1 v1 at=0ms first=0ms status=0 broken (EOF); e2 v1 at=5ms first=0ms status=503 refused (endpoint refused)"}
`

func TestExplainReportsRequestAndPrecedingEvents(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(log))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Explain(&out, lines, "abc"))
	for _, want := range []string{"request abc1 at i1: endpoint_broke_off, status 502", "came  10:00:00.600", "ended after 400ms of 800 ms allowed",
		"configuration 3, store revision 7", "sent  e1 v1 at=0ms", "sent  e2 v1 at=5ms", "-0.500s INFO fleet: endpoint gone. endpoint=e1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("missing %q in:\n%s", want, out.String())
		}
	}
	is.True(!strings.Contains(out.String(), "long ago"))
	is.True(!strings.Contains(out.String(), "mesh")) // logged by another entry
}

func TestUnknownRequestIsAnError(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(log))
	is.NoErr(err)
	err = Explain(&strings.Builder{}, lines, "zzz")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "zzz"))
}

// Guards against a refusal for want of capacity that does not say what the queue decided.
func TestExplainReportsWhatTheQueueDecided(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`{"time":"2026-01-02T10:00:01Z","level":"INFO","msg":"ingress: request ended.","instance":"i1","id":"abc2","status":503,"outcome":"endpoints_full","ms":30,"revision":7,"waited_ms":25,"not_queued":"would_be_late","retry_after_ms":340}` + "\n"))
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Explain(&out, lines, "abc2"))
	is.True(strings.Contains(out.String(), "queue waited 25 ms for capacity, not queued: would_be_late, told to come back after 340 ms"))
}
