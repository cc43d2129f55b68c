package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a soak that overlooks requests sent to an engine that said that it leaves or rests.
func TestRequestsAfterNoticesAreDetected(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	at := func(d time.Duration, id string) run { return run{id: id, engine: "e", at: t0.Add(d)} }
	c := noticeContext{entryOf: map[string]string{"a": "entry-0", "b": "entry-0", "c": "entry-0", "d": "entry-0", "x": "entry-1"}}
	late := leavingBound + leavingSlack + noticeSlack + time.Millisecond

	leaves := at(0, "a")
	leaves.leaving = true
	is.Equal(len((&runLog{runs: []run{leaves, at(late, "b")}}).checkNotices(c)), 1)
	is.Equal(len((&runLog{runs: []run{leaves, at(late-2*time.Millisecond, "b")}}).checkNotices(c)), 0)
	is.Equal(len((&runLog{runs: []run{leaves, at(late, "x")}}).checkNotices(c)), 0) // another entry

	rests := at(0, "a")
	rests.rest = restTime
	again := []run{at(time.Second, "b"), at(time.Second, "c"), at(time.Second, "d")}
	is.Equal(len((&runLog{runs: again, refused: []run{rests}}).checkNotices(c)), 1)
	is.Equal(len((&runLog{runs: again[:2], refused: []run{rests}}).checkNotices(c)), 0)

	c.handedOff = map[sentTo][]entrySend{{"d", "e"}: {{entry: "entry-1", at: t0.Add(time.Second)}}} // entry-0 had handed it on
	is.Equal(len((&runLog{runs: again, refused: []run{rests}}).checkNotices(c)), 0)
	c.handedOff = nil

	c.interrupted = map[string][]interval{"entry-0": {{t0, t0.Add(time.Second)}}}
	is.Equal(len((&runLog{runs: append(again, leaves, at(late, "b")), refused: []run{rests}}).checkNotices(c)), 0)
	c.interrupted, c.linkFaults = nil, map[string][]interval{"e": {{t0, t0.Add(time.Millisecond)}}}
	is.Equal(len((&runLog{runs: append(again, leaves, at(late, "b")), refused: []run{rests}}).checkNotices(c)), 0)
}

// Guards against blaming an entry for a rest that another one was asked for, which then handed the request on: the
// sends of both reach the engine within a few milliseconds, and the times in their logs are that inaccurate.
func TestARestIsThatOfTheEntryWhoseSendWasRefused(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "entry.log")
	is.NoErr(os.WriteFile(log, []byte(`{"time":"2026-12-04T12:44:40.468Z","id":"a","ms":12,"sends":"e v1 at=5ms first=0ms status=503 refused (endpoint refused); f v1 at=7ms first=1ms status=200 load=1+0/8 served; g v1 at=8ms first=0ms status=0 unreached (not sent: connect: connection refused)"}`), 0o600))
	refused := map[string]bool{}
	is.NoErr(readSends(log, map[string]bool{}, func(_, engine string, _ time.Time, r bool) { refused[engine] = r }))
	is.Equal(refused, map[string]bool{"e": true, "f": false, "g": false})

	t0 := time.Unix(1000, 0)
	at := func(d time.Duration, id string) run { return run{id: id, engine: "e", at: t0.Add(d)} }
	rests := at(0, "a")
	rests.rest = restTime
	c := noticeContext{entryOf: map[string]string{"a": "entry-0"}, handedOff: map[sentTo][]entrySend{
		{"a", "e"}: {{entry: "entry-0", at: t0.Add(-3 * time.Millisecond), refused: true}, {entry: "entry-1", at: t0.Add(time.Millisecond)}},
	}}
	is.Equal(c.sender(rests), "entry-0")
	is.Equal(c.sender(at(time.Millisecond, "a")), "entry-1")
	for _, blamed := range []string{"entry-0", "entry-1"} {
		for _, id := range []string{"b", "c", "d"} {
			c.entryOf[id] = blamed
		}
		findings := (&runLog{runs: []run{at(time.Second, "b"), at(time.Second, "c"), at(time.Second, "d")}, refused: []run{rests}}).checkNotices(c)
		is.Equal(len(findings) == 1, blamed == "entry-0")
	}
}
