package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Bounds of the users' rules on a change that the store confirmed.
const (
	configInForceWithin = 2 * time.Second
	leavingKnownWithin  = 2 * time.Second
)

// restoredFleet is a fleet whose store comes back from a copy.
type restoredFleet struct {
	*startingFleet
	t       *testing.T
	store   *memkv.Store
	version int64
	// written holds what the operator and the endpoints wrote last, by key.
	written map[string][]byte
}

const restoredEndpoints = 12

func newRestoredFleet(t *testing.T, n, domains int) *restoredFleet {
	f := newStartingFleet(n, domains)
	x := &restoredFleet{startingFleet: f, t: t, store: f.store.Client.(*memkv.Store), written: map[string][]byte{}}
	for i := range restoredEndpoints {
		x.registerEndpoint(i, false)
	}
	x.changeConfig()
	for _, e := range f.entries {
		f.register(t, e)
	}
	return x
}

// write writes a value as the operator or an endpoint does.
func (x *restoredFleet) write(key string, value []byte) {
	x.t.Helper()
	x.written[key] = value
	if _, err := x.store.Put(context.Background(), key, value, 0); err != nil {
		x.t.Fatal(err)
	}
}

func (x *restoredFleet) registerEndpoint(i int, leaving bool) {
	e := platformtest.NewEngine(platformtest.EngineConfig{ID: endpointName(i), Service: "s", Address: fmt.Sprintf("10.2.0.%d:80", i+1), Domain: fmt.Sprint("d", i%3), Version: "v1"})
	key, value := e.Registration(leaving)
	x.write(key, value)
}

func endpointName(i int) string { return fmt.Sprint("e-", i) }

// changeConfig writes the next configuration: a route and a key of its own, and none of those before.
func (x *restoredFleet) changeConfig() {
	x.version++
	to := []fleet.Target{{Service: "s", Weight: 1}}
	x.write("op/config", platformtest.EncodeConfig(&fleet.Config{Version: x.version, Services: map[string]fleet.Service{"s": {Name: "s"}},
		Customers: []fleet.Customer{{Name: "c", Keys: []string{keyOf(x.version)}}},
		Routes:    []fleet.Route{{Name: "r", Host: "h", Prefix: routeOf(x.version), Kind: fleet.Idempotent, Targets: to}}}))
}

func keyOf(version int64) string   { return fmt.Sprint("key-", version) }
func routeOf(version int64) string { return fmt.Sprintf("/route-%d/", version) }

// configInForce reports whether an entry serves the route of the latest configuration, and refuses
// the keys before it.
func (x *restoredFleet) configInForce(f *fleet.Follower) bool {
	v := f.View()
	return v.Route("h", routeOf(x.version)) != nil && v.Customer(keyOf(x.version)) != nil && v.Customer(keyOf(x.version-1)) == nil
}

// knowsLeaving reports whether an entry sends no new requests to an endpoint.
func knowsLeaving(i int) func(*fleet.Follower) bool {
	return func(f *fleet.Follower) bool {
		g := f.View().Group("s")
		return g != nil && !g.IsReady(fleet.EndpointID(endpointName(i))) && !g.HasLapsed(fleet.EndpointID(endpointName(i)))
	}
}

// restore takes the store away for some time and brings it back from a copy. What the operator and
// the endpoints wrote since the copy is written again.
func (x *restoredFleet) restore(b *memkv.Backup, away time.Duration) {
	x.startingFleet.store.goAway()
	time.Sleep(away)
	x.store.Restore(b)
	x.startingFleet.store.comeBack()
	_, items, err := x.store.Get(context.Background(), "", true)
	if err != nil {
		x.t.Fatal(err)
	}
	there := map[string]string{}
	for _, i := range items {
		there[i.Key] = string(i.Value)
	}
	for key, value := range x.written {
		if there[key] != string(value) {
			x.write(key, value)
		}
	}
}

// loseWrites makes a copy, and changes after it whose revisions the copy does not have.
func (x *restoredFleet) loseWrites(n int) *memkv.Backup {
	b := x.store.Backup()
	for range n {
		x.changeConfig()
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return b
}

func (x *restoredFleet) within(bound time.Duration, what string, holds func(*fleet.Follower) bool) {
	x.t.Helper()
	took := x.await(x.t, holds)
	x.t.Logf("%d entries: %s after %v", len(x.entries), what, took)
	if took > bound {
		x.t.Errorf("%d entries: %s after %v, %v at most", len(x.entries), what, took, bound)
	}
}

// play runs a fleet that has started, in simulated time.
func playRestored(t *testing.T, n, domains int, play func(*restoredFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredFleet(t, n, domains)
		defer x.start(t)()
		x.awaitStart(t, restoredEndpoints)
		time.Sleep(5 * time.Second)
		play(x)
	})
}

// Guards against a route that answers 404, and a revoked key that serves, until the store's revisions pass those before its restore.
func TestAChangeIsInForceAfterTheStoreCameBackFromACopy(t *testing.T) {
	playRestored(t, 8, 4, func(x *restoredFleet) {
		x.restore(x.loseWrites(10), time.Second)
		time.Sleep(3 * time.Second)
		x.changeConfig()
		x.within(configInForceWithin, "a change is in force", x.configInForce)
	})
}

// Guards against the same where the revisions have passed those before the restore when the store answers again.
func TestAChangeIsInForceAfterRevisionsWerePassed(t *testing.T) {
	playRestored(t, 8, 4, func(x *restoredFleet) {
		b := x.loseWrites(10)
		x.startingFleet.store.goAway()
		time.Sleep(time.Second)
		x.store.Restore(b)
		x.changeConfig()
		for i := range 40 { // the same changes again, and others
			x.write(fmt.Sprint("op/other/", i), []byte("x"))
		}
		x.startingFleet.store.comeBack()
		x.within(configInForceWithin, "a change is in force", x.configInForce)
	})
}

// Guards against requests to an endpoint that left, whose leaving has a revision that entries had seen before the restore.
func TestALeavingIsKnownAfterTheStoreCameBackFromACopy(t *testing.T) {
	playRestored(t, 8, 4, func(x *restoredFleet) {
		x.restore(x.loseWrites(10), time.Second)
		time.Sleep(3 * time.Second)
		x.registerEndpoint(0, true)
		for range 12 { // revisions pass those before
			x.changeConfig()
		}
		x.within(leavingKnownWithin, "a leaving is known", knowsLeaving(0))
	})
}

// goAway makes all calls fail, also those in progress.
func (s *countingStore) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	if s.cut != nil {
		close(s.cut)
		s.cut = nil
	}
}

func (s *countingStore) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
}

// isAway reports whether calls fail; else cut is closed once they do.
func (s *countingStore) isAway() (cut chan struct{}, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut == nil {
		s.cut = make(chan struct{})
	}
	return s.cut, s.away
}

// watchUntilCut is a watch that fails when the store goes away.
func (s *countingStore) watchUntilCut(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	cut, away := s.isAway()
	if away {
		return 0, nil, kv.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	rev, events, err := s.Client.WatchOnce(ctx, key, prefix, after, wait)
	if err != nil && strings.Contains(err.Error(), context.Canceled.Error()) {
		err = kv.ErrUnavailable
	}
	return rev, events, err
}

// newEraWithin is the users' bound from the store's return on.
const newEraWithin = time.Second

// Guards against entries that go on with the state of an earlier era after the store answers again.
func TestAllEntriesEnterTheNewEraWithinASecond(t *testing.T) {
	for _, size := range []struct{ entries, domains int }{{8, 4}, {60, 5}, {300, 6}} {
		for _, away := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprintf("%d entries, away for %v", size.entries, away), func(t *testing.T) {
				playRestored(t, size.entries, size.domains, func(x *restoredFleet) {
					b := x.loseWrites(10)
					_, before := x.startingFleet.store.sent()
					x.restore(b, away)
					era := x.store.Era()
					x.within(newEraWithin, "all are in the new era", func(f *fleet.Follower) bool { return f.Revision().Era() == era })
					time.Sleep(time.Second)
					items, calls := x.startingFleet.store.sent()
					t.Logf("%d calls to the store, items %d", calls-before, items)
				})
			})
		}
	}
}

// Guards against changes that are late after restores beside other faults: entries that the store turns away, a discarded history, a second restore from an older copy, a silent failure domain.
func TestChangesAreInForceAfterRestoresBesideOtherFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			playRestored(t, 24, 3, func(x *restoredFleet) {
				rng := rand.New(rand.NewPCG(seed, 0))
				var copies []*memkv.Backup
				leaving := 0
				for range 6 {
					copies = append(copies, x.loseWrites(1+rng.IntN(6)))
					x.turnedAway.Store(rng.IntN(2) == 0)
					if rng.IntN(2) == 0 {
						x.startingFleet.store.compacted.Store(int64(x.store.Revision()))
					}
					x.restore(copies[rng.IntN(len(copies))], time.Duration(rng.IntN(3000))*time.Millisecond)
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
					x.changeConfig()
					x.registerEndpoint(leaving, true)
					x.within(configInForceWithin, "a change is in force", x.configInForce)
					x.within(leavingKnownWithin, "a leaving is known", knowsLeaving(leaving))
					leaving++
					x.turnedAway.Store(false)
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
					for i := range leaving { // what left stays out
						x.within(0, "endpoints that left are out", knowsLeaving(i))
					}
				}
			})
		})
	}
}
