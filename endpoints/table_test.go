package endpoints

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/route"
)

var engineB = &route.BackendInfo{Name: "b", Model: "m", Version: "v1"}

// TestPropertyLeavingNeverComesBackByAnOldList: invariant 8. Symptom: an
// endpoint that is being taken away gets new work again. Sequence: instance
// lists arrive late, repeated and out of order, from the platform and from
// peers. Cause, if the last to arrive counted: an old list, in which the
// endpoint was still live, brings it back.
func TestPropertyLeavingNeverComesBackByAnOldList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leavesAt := rapid.Int64Range(1, 20).Draw(rt, "leaves at")
		table := NewTable(clockwork.NewFakeClock())
		seen := int64(0)
		for _, rev := range rapid.SliceOfN(rapid.Int64Range(1, 30), 1, 40).Draw(rt, "lists") {
			var leaving []string
			if rev >= leavesAt {
				leaving = []string{"b"}
			}
			table.Listed(rev, leaving)
			seen = max(seen, rev)
			if _, usable := table.State(engineB); usable != (seen < leavesAt) {
				rt.Fatalf("usable=%v after list %d (newest %d, leaves at %d)", usable, rev, seen, leavesAt)
			}
		}
	})
}

// TestFailuresAreTriedLastAndForgiven: symptom: a back end that failed once
// gets no work for ever, or one that stays broken is tried by every request.
// Sequence: it fails again and again, then answers.
func TestFailuresAreTriedLastAndForgiven(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(fc)
	avoided := func() bool { load, _ := table.State(engineB); return load >= avoidPenalty }
	for want := avoidFirst; want <= 4*avoidFirst; want *= 2 {
		table.Failed("b")
		table.Failed("b") // of the same moment: counts once
		fc.Advance(want - time.Millisecond)
		is.True(avoided())
		fc.Advance(time.Millisecond)
		is.True(!avoided())
	}
	table.Answered("b")
	table.Failed("b")
	fc.Advance(avoidFirst)
	is.True(!avoided()) // it starts over
}

// TestLoadCountsOwnRequestsSinceTheReport: symptom: every entry sends to the
// same engine at once. Sequence: a report says the engine is idle; this entry
// then sends ten requests before the next report. Cause, if the report alone
// counted: the engine looks idle all the while.
func TestLoadCountsOwnRequestsSinceTheReport(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(fc)
	load := func() int { l, _ := table.State(engineB); return l }
	end := table.Begin("b")
	table.Reported("b", Report{Load: 5, Life: 1, Seq: 1}) // one of the five is ours
	for range 10 {
		table.Begin("b")
	}
	is.Equal(load(), 15)
	end()
	is.Equal(load(), 14)
	table.Reported("b", Report{Load: 0, Life: 1, Seq: 1}) // the same round again
	is.Equal(load(), 14)
	fc.Advance(reportTTL + time.Second) // too old: our own count only
	is.Equal(load(), 10)
	table.Reported("b", Report{Load: 3, Version: "m@v2", Life: 1, Seq: 2})
	_, usable := table.State(engineB)
	is.True(!usable) // it has loaded another version
}

// TestReplacedEndpointsAreForgotten: symptom: an entry's memory grows week by
// week. Sequence: endpoints are replaced under new names again and again.
// Cause, if the view kept every name it ever saw.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	is := is.New(t)
	table := NewTable(clockwork.NewFakeClock())
	for _, b := range []string{"old", "busy", "new"} {
		end := table.Begin(b)
		table.Reported(b, Report{Load: 1, Life: 1, Seq: 1})
		table.Failed(b)
		table.Draining(b)
		if b != "busy" {
			end()
		}
	}
	table.Keep(func(b string) bool { return b == "new" })
	left := table.Snapshot().Backends
	_, old := left["old"]
	is.True(!old)
	is.Equal(left["busy"].InFlight, 1) // until its request has ended
	is.Equal(len(left), 2)
}
