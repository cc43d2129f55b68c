package endpoints

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

var engineB = &route.BackendInfo{Name: "b", Model: "m", Version: "v1"}

// TestPropertyStaleListNeverRestoresLeavingBackend checks invariant 8. Instance
// lists arrive late, repeated and out of order, from the platform and from
// peers; if the last to arrive were used, a stale list that still has the back
// end live would give it new requests.
func TestPropertyStaleListNeverRestoresLeavingBackend(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leavesAt := rapid.Int64Range(1, 20).Draw(rt, "leaves at")
		table := NewTable(clockwork.NewFakeClock())
		seen := int64(0)
		for _, rev := range rapid.SliceOfN(rapid.Int64Range(1, 30), 1, 40).Draw(rt, "lists") {
			var leaving []string
			if rev >= leavesAt {
				leaving = []string{"b"}
			}
			table.ApplyInstanceList(rev, leaving)
			seen = max(seen, rev)
			if _, usable := table.State(engineB); usable != (seen < leavesAt) {
				rt.Fatalf("usable=%v after list %d (newest %d, leaves at %d)", usable, rev, seen, leavesAt)
			}
		}
	})
}

// TestFailedBackendBacksOffAndRecovers guards against a back end that gets no
// requests ever again after one failure, and against one that stays broken and
// is tried by every request. It fails repeatedly, then answers.
func TestFailedBackendBacksOffAndRecovers(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(fc)
	avoided := func() bool { load, _ := table.State(engineB); return load >= backoffPenalty }
	for want := initialBackoff; want <= 4*initialBackoff; want *= 2 {
		table.Failed("b")
		table.Failed("b") // during the backoff: not counted
		fc.Advance(want - time.Millisecond)
		is.True(avoided())
		fc.Advance(time.Millisecond)
		is.True(!avoided())
	}
	table.Answered("b")
	table.Failed("b")
	fc.Advance(initialBackoff)
	is.True(!avoided()) // an answer resets the backoff
}

// TestLoadCountsOwnRequestsSinceTheReport guards against all entries sending to
// the same engine at once: ten requests follow a report before the next one
// arrives, and going by the report alone the engine would look idle meanwhile.
func TestLoadCountsOwnRequestsSinceTheReport(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(fc)
	load := func() int { l, _ := table.State(engineB); return l }
	end := table.Begin("b")
	table.RecordReport("b", Report{Load: 5, Incarnation: 1, Seq: 1}) // includes one request of this entry
	for range 10 {
		table.Begin("b")
	}
	is.Equal(load(), 15)
	end()
	is.Equal(load(), 14)
	table.RecordReport("b", Report{Load: 0, Incarnation: 1, Seq: 1}) // the same report again
	is.Equal(load(), 14)
	fc.Advance(reportTTL + time.Second) // expired: own requests only
	is.Equal(load(), 10)
	table.RecordReport("b", Report{Load: 3, Version: "m@v2", Incarnation: 1, Seq: 2})
	_, usable := table.State(engineB)
	is.True(!usable) // it has loaded another version
}

// TestReplacedBackendsArePruned guards against memory that grows week by week:
// endpoints are replaced under new names again and again, and the table would
// keep every name it ever saw.
func TestReplacedBackendsArePruned(t *testing.T) {
	is := is.New(t)
	table := NewTable(clockwork.NewFakeClock())
	for _, b := range []string{"old", "busy", "new"} {
		end := table.Begin(b)
		table.RecordReport(b, Report{Load: 1, Incarnation: 1, Seq: 1})
		table.Failed(b)
		table.Draining(b, 0)
		if b != "busy" {
			end()
		}
	}
	table.Prune(func(b string) bool { return b == "new" })
	left := table.Snapshot().Backends
	_, old := left["old"]
	is.True(!old)
	is.Equal(left["busy"].InFlight, 1) // until its request has ended
	is.Equal(len(left), 2)
}

// Guards against a draining back end getting requests from entries that got no answer saying so.
func TestDrainingNoticeReachesOtherEntries(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	noConfig := func() *route.Table { return nil }
	from, to := NewTable(clock), NewTable(clock)
	is.True(from.Draining("b", 0))
	clock.Advance(drainingTTL / 2)
	var d peerpb.Digest
	NewTopic(from, noConfig, "fd-1").Fill(&d, false)
	topic := NewTopic(to, noConfig, "fd-1")
	is.True(topic.Merge(context.Background(), peers.Received{Digest: &d}))
	is.True(!to.Accepts("b"))
	is.True(!topic.Merge(context.Background(), peers.Received{Digest: &d})) // nothing new
	clock.Advance(drainingTTL / 2)
	is.True(to.Accepts("b")) // not prolonged by passing it on
}
