package fleet_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
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

// pagedWatches returns few changes at a time, as a store does that has many, and none after the
// first of these pages until released.
type pagedWatches struct {
	kv.Client
	first    atomic.Bool
	released chan struct{}
}

func (p *pagedWatches) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	if p.first.Load() {
		<-p.released
	}
	rev, events, err := p.Client.WatchOnce(ctx, key, prefix, after, wait)
	if len(events) > fleet.BulkChanges {
		p.first.Store(true)
		events = events[:fleet.BulkChanges]
		rev = events[len(events)-1].KV.ModRevision
	}
	return rev, events, err
}

// Guards against an entry that has received a part of many changes and takes itself for current.
func TestFollowerIsNotCurrentWhileMoreChangesArePending(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	watches := &pagedWatches{Client: x.store, released: make(chan struct{})}
	x.f = fleet.NewFollower(self, watches, platform.Values{}, time.Second, x.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	x.f.SetSinceBoot(func() time.Duration { return x.clock.Since(time.Time{}) })
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.is.True(x.f.Current())
	last := kv.Revision(0)
	for i := range 3 * fleet.BulkChanges / 2 {
		var err error
		last, err = x.store.Put(context.Background(), fmt.Sprint("other/", i), nil, 0)
		x.is.NoErr(err)
	}
	x.waitFor(t, func(v *fleet.View) bool { return watches.first.Load() && v.Revision > 1 })
	x.is.True(x.f.Revision() < last)
	x.is.True(!x.f.Current())
	close(watches.released)
	x.waitFor(t, func(v *fleet.View) bool { return v.Revision == last && x.f.Current() })
}
