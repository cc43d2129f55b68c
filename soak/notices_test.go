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
	refused, answered := map[string]bool{}, map[string]bool{}
	is.NoErr(readSends(log, "entry-0", map[string]bool{}, func(to sentTo, s entrySend) {
		refused[to.engine], answered[to.engine] = s.refused, s.answered
	}))
	is.Equal(refused, map[string]bool{"e": true, "f": false, "g": false})
	is.Equal(answered, map[string]bool{"e": false, "f": true, "g": false})

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

// Guards against blaming an entry for a rest that another one was asked for, which handed the request on and was killed
// before it wrote its line.
func TestARestIsNotThatOfTheEntryThatWasAnswered(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	rests := run{id: "a", engine: "e", at: t0, rest: restTime}
	later := []run{{id: "b", engine: "e"}, {id: "c", engine: "e"}, {id: "d", engine: "e"}}
	for i := range later {
		later[i].at = t0.Add(time.Second)
	}
	for _, tt := range []struct {
		name     string
		line     string // of entry-1, on the send to the engine
		called   string // the entry that the client called; "": not known
		blamed   string
		findings int // on the three requests that entry-1 sent in the rest
	}{
		{"answered", "status=200 events=17 in 328ms pause=22ms load=16+0/8 abandoned (caller left)", "entry-0", "entry-0", 0},
		{"answered, of a client that the soak does not record", "status=200 load=5+0/8 served", "", "", 0},
		{"failed by the engine", "status=500 failed", "entry-0", "entry-0", 0},
		{"refused", "status=503 refused (endpoint refused)", "entry-0", "entry-1", 1},
		{"refusal passed on", "status=503 served", "entry-0", "entry-1", 1},
		{"unread, as the client left", "status=0 abandoned (caller left)", "entry-0", "entry-1", 1},
		{"unread, of a client that the soak does not record", "status=0 abandoned (caller left)", "", "entry-1", 1},
	} {
		log := filepath.Join(t.TempDir(), "entry.log")
		is.NoErr(os.WriteFile(log, []byte(`{"time":"`+t0.UTC().Format(time.RFC3339Nano)+`","id":"a","ms":0,"sends":"e v1 at=0ms first=0ms `+tt.line+`"}`), 0o600))
		c := noticeContext{entryOf: map[string]string{"b": "entry-1", "c": "entry-1", "d": "entry-1"}, handedOff: map[sentTo][]entrySend{}}
		if tt.called != "" {
			c.entryOf["a"] = tt.called
		}
		is.NoErr(readSends(log, "entry-1", map[string]bool{}, func(to sentTo, s entrySend) { c.handedOff[to] = append(c.handedOff[to], s) }))
		t.Log(tt.name)
		is.Equal(c.sender(rests), tt.blamed)
		is.Equal(len((&runLog{runs: later, refused: []run{rests}}).checkNotices(c)), tt.findings)
	}
}
