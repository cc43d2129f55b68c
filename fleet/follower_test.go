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

// flaky is a store that can be made to fail, and counts calls.
type flaky struct {
	kv.Client
	mu    sync.Mutex
	err   error
	calls int
}

func (f *flaky) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *flaky) enter() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.err
}

func (f *flaky) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *flaky) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	if err := f.enter(); err != nil {
		return 0, nil, err
	}
	return f.Client.Get(ctx, key, prefix)
}

func (f *flaky) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	if err := f.enter(); err != nil {
		return 0, nil, err
	}
	rev, events, err := f.Client.WatchOnce(ctx, key, prefix, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil { // a watch that was waiting is cut too
		return 0, nil, f.err
	}
	return rev, events, err
}

type fixture struct {
	is    *is.I
	store *memkv.Store
	flaky *flaky
	clock *clockwork.FakeClock
	f     *fleet.Follower
	news  chan *fleet.View
	// suspended is how long the machine stood still.
	suspended time.Duration
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	x := &fixture{is: is.New(t), store: memkv.New(clock), clock: clock, news: make(chan *fleet.View, 100)}
	x.flaky = &flaky{Client: x.store}
	x.f = fleet.NewFollower(self, x.flaky, platform.Values{}, time.Second, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	x.f.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) + x.suspended })
	x.f.OnChange(func(v *fleet.View) { x.news <- v })
	return x
}

func (x *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); x.f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// until moves the clock on until a view satisfies a condition.
func (x *fixture) until(t *testing.T, cond func(*fleet.View) bool) {
	t.Helper()
	for {
		if cond(x.f.View()) {
			return
		}
		select {
		case <-x.news:
		case <-t.Context().Done():
			t.Fatal("never came true")
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

func TestFollowerTakesWhatIsThereAndWhatComes(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.until(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.config(2)
	x.until(t, func(v *fleet.View) bool { return version(v) == 2 })
}

// Symptom: an entry stays on an old configuration for good.
// Events: changes are made while the watch hears nothing; then the store
// forgets its history.
func TestFollowerReadsEverythingWhenTheHistoryIsGone(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.until(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.flaky.fail(kv.ErrUnavailable)
	x.config(2)
	x.config(3)
	x.store.Compact()
	x.flaky.fail(nil)
	x.until(t, func(v *fleet.View) bool { return version(v) == 3 })
}

// Symptom: an entry that the store turns away serves keys that were taken
// away.
// Events: the store refuses this entry and serves others; another entry knows
// the newer configuration.
func TestFollowerTakesChangesFromOtherEntriesWhileTheStoreIsAway(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.until(t, func(v *fleet.View) bool { return version(v) == 1 })
	x.flaky.fail(errors.New("turned away"))
	x.config(2)
	x.until(t, func(*fleet.View) bool { return x.f.StoreAway() })
	rev, events, err := x.store.WatchOnce(context.Background(), "", true, x.f.View().Revision, time.Second)
	x.is.NoErr(err)
	x.f.Merge("i2", fleet.Changes{Revision: rev, Events: events}, 0)
	x.is.Equal(version(x.f.View()), int64(2))
	age, ok := x.f.Age()
	x.is.True(ok)
	x.is.Equal(age, time.Duration(0))
}

// Symptom: the configuration in force goes back to an older one.
// Events: an entry that is behind tells what it knows after a newer one did.
func TestAnEntryThatIsBehindTakesNothingBack(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	rev1, old, _ := x.store.Get(context.Background(), "", true)
	x.config(2)
	rev2, cur, _ := x.store.Get(context.Background(), "", true)
	tell := func(rev kv.Revision, items []kv.KeyValue) {
		c := fleet.Changes{Revision: rev, Whole: true}
		for _, i := range items {
			c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
		}
		x.f.Merge("i2", c, 0)
	}
	tell(rev2, cur)
	tell(rev1, old)
	x.is.Equal(version(x.f.View()), int64(2))
}

// Symptom: an entry is left without a configuration by one that it cannot
// read.
func TestAnUnreadableConfigurationKeepsTheOneInForce(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.until(t, func(v *fleet.View) bool { return version(v) == 1 })
	_, err := x.store.Put(context.Background(), "op/config", []byte("{not json"), 0)
	x.is.NoErr(err)
	x.config(3)
	x.until(t, func(v *fleet.View) bool { return version(v) == 3 })
}

// Symptom: one bad entry among the endpoints' takes others with it, or is used.
// Events: another writer overwrites an endpoint's entry; the endpoint, which
// lives, writes its own again.
func TestAnEntryOfAnotherWriterLeavesTheOtherEndpoints(t *testing.T) {
	x := newFixture(t)
	put := func(id string) (key string) {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: "127.0.0.1:" + id[1:], Domain: "d1", Version: "v1"})
		key, value := e.Registration(false)
		_, err := x.store.Put(context.Background(), key, value, 0)
		x.is.NoErr(err)
		return key
	}
	ready := func(n int) {
		x.until(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == n })
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

// Symptom: for seconds after endpoints crashed and started again, requests are rejected
// by the one that has the address now, and each costs a repeat.
// Events: an endpoint crashes and starts again, under another name at its address; its
// earlier registration stands until its heartbeats have been missing for long.
// Cause: both were taken for endpoints.
func TestAnAddressBelongsToTheLatestRegistration(t *testing.T) {
	x := newFixture(t)
	put := func(id string, draining bool) {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "d1", Version: "v1"})
		key, value := e.Registration(draining)
		_, err := x.store.Put(context.Background(), key, value, 0)
		x.is.NoErr(err)
	}
	only := func(name string) {
		x.until(t, func(v *fleet.View) bool {
			g := v.Group("s")
			return g != nil && len(g.Ready) == 1 && g.Ready[0].Name == name
		})
	}
	put("e1", false)
	x.run(t)
	only("e1")
	put("e2", false)
	only("e2")
	put("e1", false) // a heartbeat that was long on its way
	x.config(2)
	x.until(t, func(v *fleet.View) bool { return version(v) == 2 })
	only("e2")
}

// Symptom: a store outage takes all endpoints away at once.
// Events: registrations lapse, unannounced. For a short while they are a last
// resort; an endpoint that announced its leaving is not.
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
	x.until(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == 1 })
	_, err := x.store.Delete(context.Background(), "servers/", true)
	x.is.NoErr(err)
	x.until(t, func(v *fleet.View) bool { return v.Group("s") != nil && len(v.Group("s").Ready) == 0 })
	g := x.f.View().Group("s")
	x.is.Equal(len(g.Lapsed), 1)
	x.is.Equal(g.Lapsed[0].ID, fleet.EndpointID("e1"))
}

// Symptom: each change costs the store a call an entry.
// An entry that hears of another whose knowledge is current makes no calls; when
// it hears of none for a second, it watches by itself.
func TestAnEntryReliesOnThoseThatWatch(t *testing.T) {
	x := newFixture(t)
	others := []fleet.Entry{{Instance: "a", Domain: "d1"}, {Instance: "b", Domain: "d1"}, {Instance: "c", Domain: "d1"}, {Instance: "d", Domain: "d1"},
		{Instance: "e", Domain: "d1"}}
	relying := self
	for _, e := range others { // one of the six does not watch: take it for this entry
		if !fleet.Watches(append(others, self), e) {
			relying = e
		}
	}
	x.f = fleet.NewFollower(relying, x.flaky, platform.Values{}, time.Second, x.clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, e := range append(others, self) {
		_, err := x.store.Put(context.Background(), fleet.EntryPrefix+e.Instance, []byte(`{"instance":"`+e.Instance+`","domain":"d1"}`), 0)
		x.is.NoErr(err)
	}
	x.config(1)
	x.run(t)
	x.until(t, func(v *fleet.View) bool { return version(v) == 1 })
	before := x.flaky.count()
	for range 8 {
		x.clock.Advance(100 * time.Millisecond)
		x.f.Merge("a", fleet.Changes{Revision: x.f.View().Revision}, 0)
	}
	x.is.True(x.flaky.count() <= before+1) // the watch that was under way when it began to rely
	x.config(2)
	x.until(t, func(v *fleet.View) bool { return version(v) == 2 }) // nobody watches any more
}

func TestFewEntriesWatchAndEveryDomainHasOne(t *testing.T) {
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
		if fleet.Watches(all, e) {
			n++
			domains[e.Domain] = true
		}
	}
	is.Equal(len(domains), 13)
	is.True(n <= 13+3)
	is.True(fleet.Watches(nil, self)) // one that knows nobody watches
	var large []fleet.Entry
	for i := range 75 {
		large = append(large, fleet.Entry{Instance: fmt.Sprint(i), Domain: "d"})
	}
	watching := 0
	for _, e := range large {
		if fleet.Watches(large, e) {
			watching++
		}
	}
	is.Equal(watching, 3) // one for each 32
}

// Symptom: after its machine was suspended, an entry denies keys that were
// added meanwhile.
// Events: the configuration was known to be current; the machine stands still
// for ten seconds, which the steady clock does not count.
func TestWhatWasFreshBeforeASuspensionIsOldAfterIt(t *testing.T) {
	x := newFixture(t)
	x.f.Merge("i2", fleet.Changes{Revision: 1, Whole: true}, 0)
	age, ok := x.f.Age()
	x.is.True(ok)
	x.is.Equal(age, time.Duration(0))
	x.suspended = 10 * time.Second
	age, _ = x.f.Age()
	x.is.Equal(age, 10*time.Second)
}
