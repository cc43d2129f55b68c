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

// inForceWithin is how long after a change of the store an entry that reaches
// the store may still act on the previous state.
const inForceWithin = 2 * time.Second

// tick is the step by which the clock is advanced.
const tick = 100 * time.Millisecond

// newRelying sets the fixture's follower to that of an entry that relies on
// watchers, with all data of the store.
func newRelying(t *testing.T) *fixture {
	t.Helper()
	x := newFixture(t)
	all := []fleet.Entry{self, {Instance: "a", Domain: "d1"}, {Instance: "b", Domain: "d1"}, {Instance: "c", Domain: "d1"}}
	relying := self
	for _, e := range all {
		_, err := x.store.Put(context.Background(), fleet.EntryPrefix+e.Instance, []byte(`{"instance":"`+e.Instance+`","domain":"d1"}`), 0)
		x.is.NoErr(err)
		if !fleet.IsWatcher(all, e) {
			relying = e
		}
	}
	x.config(1)
	x.f = fleet.NewFollower(relying, x.flakyStore, platform.Values{}, time.Second, x.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
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

// tick advances the clock once the follower waits for it.
func (x *fixture) tick(t *testing.T) {
	t.Helper()
	x.is.NoErr(x.clock.BlockUntilContext(t.Context(), 1))
	x.clock.Advance(tick)
}

// Guards against entries that reach the store serving revoked keys for seconds. All watchers
// are cut off from the store by dead connections, and still reach the other entries. Until
// their own calls time out they claim to watch, while their data grows old; an entry that
// relied on the claim alone, whatever the age of the data, missed the revocation.
func TestFollowerDoesNotRelyOnStalePeer(t *testing.T) {
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

// Guards against calls of every entry to the store on top of the watchers'. While there are
// no changes, the watchers' data, and that of entries that rely on them, repeatedly grows as
// old as batching, a watch and the time between two exchanges together.
func TestFollowerReliesOnPeersWithoutChanges(t *testing.T) {
	const oldest = 1600 * time.Millisecond
	x := newRelying(t)
	known := x.f.View().Revision
	x.run(t)
	for since := time.Duration(0); since < 10*oldest; since += tick {
		x.f.Merge("a", fleet.Changes{Revision: known}, since%oldest)
		x.tick(t)
	}
	x.is.Equal(x.flakyStore.count(), 0)
}
