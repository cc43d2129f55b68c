package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

var self = fleet.Entry{Instance: "i1", Domain: "d1"}

// flakyStore is a store that can be made to fail; it counts calls.
type flakyStore struct {
	kv.Client
	mu    sync.Mutex
	err   error
	calls int
}

func (f *flakyStore) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *flakyStore) recordCall() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.err
}

func (f *flakyStore) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *flakyStore) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	if err := f.recordCall(); err != nil {
		return 0, nil, err
	}
	return f.Client.Get(ctx, key, prefix)
}

func (f *flakyStore) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	if err := f.recordCall(); err != nil {
		return 0, nil, err
	}
	rev, events, err := f.Client.WatchOnce(ctx, key, prefix, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil { // a watch in progress fails too
		return 0, nil, f.err
	}
	return rev, events, err
}

type fixture struct {
	is         *is.I
	store      *memkv.Store
	flakyStore *flakyStore
	clock      *clockwork.FakeClock
	f          *fleet.Follower
	views      chan *fleet.View
	// suspended is how long the machine was suspended.
	suspended time.Duration
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	x := &fixture{is: is.New(t), store: memkv.New(clock), clock: clock, views: make(chan *fleet.View, 100)}
	x.flakyStore = &flakyStore{Client: x.store}
	x.f = fleet.NewFollower(self, x.flakyStore, platform.Values{}, time.Second, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	x.f.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) + x.suspended })
	x.f.OnChange(func(v *fleet.View) { x.views <- v })
	return x
}

func (x *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); x.f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// waitFor advances the clock until a view satisfies a condition.
func (x *fixture) waitFor(t *testing.T, cond func(*fleet.View) bool) {
	t.Helper()
	for {
		if cond(x.f.View()) {
			return
		}
		select {
		case <-x.views:
		case <-t.Context().Done():
			t.Fatal("condition was not met before the test ended")
		case <-time.After(time.Millisecond):
			x.clock.Advance(200 * time.Millisecond)
		}
	}
}

func (x *fixture) config(version int64) {
	x.is.Helper()
	c := &fleet.Config{Version: version, Routes: []fleet.Route{{Name: "r", Host: "h", Prefix: "/p/", Targets: []fleet.Target{{Service: "s", Weight: 1}}}}}
	_, err := x.store.Put(context.Background(), "op/config", platformtest.EncodeConfig(c), 0)
	x.is.NoErr(err)
}

func version(v *fleet.View) int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

func TestFollowerReadsThenWatches(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.config(2)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 2 })
}

// Guards against an entry staying on an old configuration for good: changes are made while
// its watch fails, and the store then compacts its history.
func TestFollowerRereadsAfterCompaction(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.flakyStore.fail(kv.ErrUnavailable)
	x.config(2)
	x.config(3)
	x.store.Compact()
	x.flakyStore.fail(nil)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 3 })
}

// Guards against an entry that the store rejects serving revoked keys. The store rejects
// only this entry, and another entry has the newer configuration.
func TestFollowerMergesFromPeersDuringStoreOutage(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.flakyStore.fail(errors.New("request rejected"))
	x.config(2)
	x.waitFor(t, func(*fleet.View) bool { return x.f.StoreUnreachable() })
	rev, events, err := x.store.WatchOnce(context.Background(), "", true, x.f.View().Revision, time.Second)
	x.is.NoErr(err)
	x.f.Merge("i2", fleet.Changes{Revision: rev, Events: events}, 0)
	x.is.Equal(version(x.f.View()), int64(2))
	age, ok := x.f.Age()
	x.is.True(ok)
	x.is.Equal(age, time.Duration(0))
}

// Guards against the configuration going back to an older one when an entry that is behind
// sends its data after a newer one did.
func TestMergeIgnoresOlderSnapshot(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	rev1, old, _ := x.store.Get(context.Background(), "", true)
	x.config(2)
	rev2, cur, _ := x.store.Get(context.Background(), "", true)
	merge := func(rev kv.Revision, items []kv.KeyValue) {
		c := fleet.Changes{Revision: rev, Whole: true}
		for _, i := range items {
			c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
		}
		x.f.Merge("i2", c, 0)
	}
	merge(rev2, cur)
	merge(rev1, old)
	x.is.Equal(version(x.f.View()), int64(2))
}

// Guards against an unreadable configuration leaving an entry without any.
func TestAnUnreadableConfigurationKeepsTheOneInForce(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	_, err := x.store.Put(context.Background(), "op/config", []byte("{not json"), 0)
	x.is.NoErr(err)
	x.config(3)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 3 })
}

// Guards against one invalid registration removing other endpoints, or being used. Another
// writer overwrites an endpoint's registration; the endpoint is alive and registers again.
func TestInvalidRegistrationRemovesOnlyItsEndpoint(t *testing.T) {
	x := newFixture(t)
	put := func(id string) (key string) {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: "127.0.0.1:" + id[1:], Domain: "d1", Version: "v1"})
		key, value := e.Registration(false)
		_, err := x.store.Put(context.Background(), key, value, 0)
		x.is.NoErr(err)
		return key
	}
	ready := func(n int) {
		x.waitFor(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == n })
	}
	key := put("e1")
	put("e2")
	x.run(t)
	ready(2)
	_, err := x.store.Put(context.Background(), key, []byte(`{"service":"s","state":"ready","address":7}`), 0)
	x.is.NoErr(err)
	ready(1)
	x.is.Equal(x.f.View().Group("s").Ready[0].Name, "e2")
	x.is.Equal(len(x.f.View().Group("s").Lapsed), 0)
	put("e1")
	ready(2)
}

// Guards against requests being rejected, at the cost of a retry each, for seconds after
// endpoints crashed and restarted. An endpoint restarts under another name at the same
// address, its earlier registration stays until its heartbeats have been missing for long,
// and both counted as endpoints.
func TestAnAddressBelongsToTheLatestRegistration(t *testing.T) {
	x := newFixture(t)
	put := func(id string, draining bool) {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "d1", Version: "v1"})
		key, value := e.Registration(draining)
		_, err := x.store.Put(context.Background(), key, value, 0)
		x.is.NoErr(err)
	}
	only := func(name string) {
		x.waitFor(t, func(v *fleet.View) bool {
			g := v.Group("s")
			return g != nil && len(g.Ready) == 1 && g.Ready[0].Name == name
		})
	}
	put("e1", false)
	x.run(t)
	only("e1")
	put("e2", false)
	only("e2")
	put("e1", false) // a heartbeat that was delayed in transit
	x.config(2)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 2 })
	only("e2")
}

// Guards against a store outage removing all endpoints at once. Endpoints whose
// registrations lapse without notice remain a last resort for a short while; one that
// announced that it leaves does not.
func TestLapsedRegistrationsAreALastResort(t *testing.T) {
	x := newFixture(t)
	put := func(id string, draining bool) {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: "127.0.0.1:" + id[1:], Domain: "d1", Version: "v1"})
		key, value := e.Registration(draining)
		_, err := x.store.Put(context.Background(), key, value, 0)
		x.is.NoErr(err)
	}
	put("e1", false)
	put("e2", true)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == 1 })
	_, err := x.store.Delete(context.Background(), "servers/", true)
	x.is.NoErr(err)
	x.waitFor(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == 0 })
	g := x.f.View().Group("s")
	x.is.Equal(len(g.Lapsed), 1)
	x.is.Equal(g.Lapsed[0].ID, fleet.EndpointID("e1"))
}

// Guards against each change costing one store call per entry. An entry with a peer that is
// current makes no calls; after a second without such a peer it watches the store itself.
func TestFollowerMakesNoCallsWhilePeersAreCurrent(t *testing.T) {
	x := newFixture(t)
	others := []fleet.Entry{{Instance: "a", Domain: "d1"}, {Instance: "b", Domain: "d1"}, {Instance: "c", Domain: "d1"}, {Instance: "d", Domain: "d1"},
		{Instance: "e", Domain: "d1"}}
	relying := self
	for _, e := range others { // one of the six is no watcher: use it as this entry
		if !fleet.IsWatcher(append(others, self), e) {
			relying = e
		}
	}
	x.f = fleet.NewFollower(relying, x.flakyStore, platform.Values{}, time.Second, x.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, e := range append(others, self) {
		_, err := x.store.Put(context.Background(), fleet.EntryPrefix+e.Instance, []byte(`{"instance":"`+e.Instance+`","domain":"d1"}`), 0)
		x.is.NoErr(err)
	}
	x.config(1)
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 1 })
	before := x.flakyStore.count()
	for range 8 {
		x.clock.Advance(100 * time.Millisecond)
		x.f.Merge("a", fleet.Changes{Revision: x.f.View().Revision}, 0)
	}
	x.is.True(x.flakyStore.count() <= before+1) // the watch in progress when it began to rely
	x.config(2)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 2 }) // no peer is current any more
}

func TestEveryDomainHasFewWatchers(t *testing.T) {
	is := is.New(t)
	var all []fleet.Entry
	for d := range 13 {
		for i := range 25 {
			name := string(rune('a'+d)) + string(rune('a'+i))
			all = append(all, fleet.Entry{Instance: name, Domain: string(rune('a' + d))})
		}
	}
	domains := map[string]bool{}
	n := 0
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			n++
			domains[e.Domain] = true
		}
	}
	is.Equal(len(domains), 13)
	is.True(n <= 13+3)
	is.True(fleet.IsWatcher(nil, self)) // an entry without a list watches
	var large []fleet.Entry
	for i := range 75 {
		large = append(large, fleet.Entry{Instance: fmt.Sprint(i), Domain: "d"})
	}
	watching := 0
	for _, e := range large {
		if fleet.IsWatcher(large, e) {
			watching++
		}
	}
	is.Equal(watching, 3) // one for each 32
}

// Guards against an entry denying keys that were added while its machine was suspended. The
// configuration was current before a suspension of ten seconds, which the monotonic clock
// does not count.
func TestAgeIncludesSuspension(t *testing.T) {
	x := newFixture(t)
	x.f.Merge("i2", fleet.Changes{Revision: 1, Whole: true}, 0)
	age, ok := x.f.Age()
	x.is.True(ok)
	x.is.Equal(age, time.Duration(0))
	x.suspended = 10 * time.Second
	age, _ = x.f.Age()
	x.is.Equal(age, 10*time.Second)
}
