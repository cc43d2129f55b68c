package fleet_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/platform"
)

// inForceWithin is how long after the store took a change an entry that
// reaches the store may go on by what was there before.
const inForceWithin = 2 * time.Second

// tick is how far the clock is moved on at a time.
const tick = 100 * time.Millisecond

// newRelying makes the fixture's follower that of an entry for which others
// watch, and has it know all that the store holds.
func newRelying(t *testing.T) *fixture {
	t.Helper()
	x := newFixture(t)
	all := []fleet.Entry{self, {Instance: "a", Domain: "d1"}, {Instance: "b", Domain: "d1"}, {Instance: "c", Domain: "d1"}}
	relying := self
	for _, e := range all {
		_, err := x.store.Put(context.Background(), fleet.EntryPrefix+e.Instance, []byte(`{"instance":"`+e.Instance+`","domain":"d1"}`), 0)
		x.is.NoErr(err)
		if !fleet.Watches(all, e) {
			relying = e
		}
	}
	x.config(1)
	x.f = fleet.NewFollower(relying, x.flaky, platform.Values{}, time.Second, x.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	x.f.SetSinceBoot(func() time.Duration { return x.clock.Since(time.Time{}) })
	rev, items, err := x.store.Get(context.Background(), "", true)
	x.is.NoErr(err)
	whole := fleet.Changes{Revision: rev, Whole: true}
	for _, item := range items {
		whole.Events = append(whole.Events, kv.Event{Type: kv.EventPut, KV: item})
	}
	x.f.Merge("a", whole, 0)
	return x
}

// tick moves the clock on once the follower waits for it.
func (x *fixture) tick(t *testing.T) {
	t.Helper()
	x.is.NoErr(x.clock.BlockUntilContext(t.Context(), 1))
	x.clock.Advance(tick)
}

// Symptom: keys that were taken away are served for seconds, by entries that
// reach the store.
// Events: all entries that watch the store for the others are cut off from it,
// silently, and go on reaching the others. Until their own calls are given up
// they say that they watch; what they know grows old. A key is taken away.
// Cause: an entry relies on the word of one that watches, however old what
// that one knows.
func TestAnEntryDoesNotRelyOnAWatcherThatHearsNothing(t *testing.T) {
	x := newRelying(t)
	known := x.f.View().Revision
	x.run(t)
	x.config(2)
	for silent := time.Duration(0); silent < inForceWithin; silent += tick {
		x.f.Merge("a", fleet.Changes{Revision: known}, silent)
		x.tick(t)
	}
	x.is.NoErr(x.clock.BlockUntilContext(t.Context(), 1))
	x.is.Equal(version(x.f.View()), int64(2))
}

// Symptom: each entry's calls to the store come on top of the watchers'.
// Events: the watchers' watches meet no change. What they know, and what others
// know by them, grows as old as the gathering of changes, a watch and the time
// between two exchanges together, and is told anew.
func TestAnEntryReliesOnWatchersWhoseWatchIsQuiet(t *testing.T) {
	const oldest = 1600 * time.Millisecond
	x := newRelying(t)
	known := x.f.View().Revision
	x.run(t)
	for since := time.Duration(0); since < 10*oldest; since += tick {
		x.f.Merge("a", fleet.Changes{Revision: known}, since%oldest)
		x.tick(t)
	}
	x.is.Equal(x.flaky.count(), 0)
}
