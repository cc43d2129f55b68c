package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

func (x *fixture) put(key, value string) {
	x.is.Helper()
	_, err := x.store.Put(context.Background(), key, []byte(value), 0)
	x.is.NoErr(err)
}

func (x *fixture) remove(key string) {
	x.is.Helper()
	_, err := x.store.Delete(context.Background(), key, false)
	x.is.NoErr(err)
}

func (x *fixture) register(id string, leaving bool) {
	x.is.Helper()
	e := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: fmt.Sprintf("127.0.0.%s:80", id[1:]), Domain: "d1", Version: "v" + id[1:2]})
	key, value := e.Registration(leaving)
	x.put(key, string(value))
}

// restore brings the store back from a copy and waits until the follower is in the new era.
func (x *fixture) restore(t *testing.T, b *memkv.Backup) {
	t.Helper()
	x.store.Restore(b)
	era := x.store.Era()
	x.waitFor(t, func(v *fleet.View) bool { return v.Revision.Era() == era })
}

// known waits until the follower has published the store's revision.
func (x *fixture) known(t *testing.T) {
	t.Helper()
	x.waitFor(t, func(v *fleet.View) bool { return v.Revision == x.store.Revision() })
}

func (x *fixture) isReady(id string) bool {
	g := x.f.View().Group("s")
	return g != nil && g.IsReady(fleet.EndpointID(id))
}

// waitMS advances the clock in small steps.
func (x *fixture) waitMS(ms int) {
	for range ms / 50 {
		x.clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a configuration that goes back to an older version with the store's copy.
func TestAConfigurationStaysInForceAfterARestore(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.config(2)
	x.known(t)
	x.restore(t, b)
	x.is.Equal(version(x.f.View()), int64(2))
	x.config(3)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 3 })
}

// Guards against requests to an endpoint that left, or had said so, and is ready in the store's copy.
func TestALeavingEndpointStaysOutAfterARestore(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	for _, id := range []string{"e1", "e2", "e3"} {
		x.register(id, false)
	}
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.register("e1", true)
	x.remove("servers/e2")
	x.known(t)
	x.restore(t, b)
	for range 30 {
		x.is.True(!x.isReady("e1"))
		x.is.True(!x.isReady("e2"))
		x.is.True(x.isReady("e3"))
		x.waitMS(100)
	}
	x.register("e1", true)
	x.known(t)
	x.waitMS(70_000)
	x.is.True(!x.isReady("e1"))
	x.is.True(x.isReady("e2")) // it has kept its registration: it is alive
}

// Guards against a sound endpoint that gets no requests because the store lost its registration.
func TestAnEndpointWhoseRegistrationWasLostIsKeptUntilItRegistersAgain(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.register("e1", false)
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.register("e2", false)
	x.register("e3", false)
	x.known(t)
	x.restore(t, b)
	for range 15 {
		x.is.True(x.isReady("e1") && x.isReady("e2") && x.isReady("e3"))
		x.waitMS(50)
	}
	x.register("e2", false)
	x.known(t)
	x.waitMS(3000)
	x.is.True(x.isReady("e2"))
	x.is.True(!x.isReady("e3")) // it did not come back
}

// Guards against an evacuation that ends, or begins anew, with the store's copy.
func TestEvacuationsOutliveARestore(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.register("e1", false)
	x.put("op/evacuate/d2", "{}")
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.put("op/evacuate/d1", "{}")
	x.remove("op/evacuate/d2")
	x.known(t)
	x.restore(t, b)
	x.waitMS(3000)
	x.is.Equal(x.f.View().Evacuated, []string{"d1"})
	x.put("op/evacuate/d1", "{}")
	x.remove("op/evacuate/d2")
	x.known(t)
	x.remove("op/evacuate/d1")
	x.known(t)
	x.is.Equal(len(x.f.View().Evacuated), 0)
}

// Guards against a roll-out that starts anew, and a withdrawn version that gets requests again, when the store lost its records.
func TestARolledBackVersionStaysOutAfterARestore(t *testing.T) {
	const order = `{"service":"s","target":"v2","duration_s":20}`
	x := newFixture(t)
	x.config(1)
	x.register("e1", false)
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.put("op/rollout/s", order)
	x.register("e2", false)
	x.put("status/rollout/s", `{"state":"rolled_back","target":"v2"}`)
	x.put(fleet.Withdrawn{Service: "s"}.Key(), `{"service":"s","versions":["v0"]}`)
	x.known(t)
	first := x.f.View().Group("s").Rollout.First
	x.restore(t, b)
	check := func() {
		t.Helper()
		g := x.f.View().Group("s")
		x.is.Equal(g.Rollout.Target, "v2")
		x.is.Equal(g.Rollout.State, fleet.RolloutRolledBack)
		x.is.Equal(g.Rollout.First, first)
		x.is.True(g.Rollout.Unrecorded)
		x.is.Equal(g.Withdrawn.Versions, []string{"v0"})
		x.is.True(g.Withdrawn.Lost())
	}
	check()
	x.put("op/rollout/s", order) // written again
	x.known(t)
	check()
	x.put("status/rollout/s", `{"state":"running","target":"v2"}`) // by an entry that started meanwhile
	x.known(t)
	check()
	x.put("status/rollout/s", `{"state":"rolled_back","target":"v2"}`)
	x.put(fleet.Withdrawn{Service: "s"}.Key(), `{"service":"s","versions":["v0"]}`)
	x.known(t)
	g := x.f.View().Group("s")
	x.is.Equal(g.Rollout.State, fleet.RolloutRolledBack)
	x.is.True(!g.Rollout.Unrecorded && !g.Withdrawn.Lost())
	x.put("op/rollout/s", order) // ordered again
	x.known(t)
	x.is.True(x.f.View().Group("s").Rollout.First != first)
	x.is.Equal(x.f.View().Group("s").Rollout.State, fleet.RolloutState(""))
}

// Guards against a request that crashes endpoints being sent again when the store lost its record, and a released one being refused again.
func TestQuarantineRecordsOutliveARestore(t *testing.T) {
	released, lost := fleet.Quarantined{Fingerprint: "1"}, fleet.Quarantined{Fingerprint: "2"}
	x := newFixture(t)
	x.config(1)
	x.put(released.Key(), `{"crashed":["a"]}`)
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.remove(released.Key())
	x.put(lost.Key(), `{"crashed":["b"]}`)
	x.known(t)
	x.restore(t, b)
	v := x.f.View()
	x.is.True(!v.Quarantine.Has(1) && v.Quarantine.Has(2))
	x.is.Equal(len(v.Lost), 2)
	x.put(lost.Key(), `{"crashed":["b"]}`)
	x.remove(released.Key())
	x.known(t)
	v = x.f.View()
	x.is.True(!v.Quarantine.Has(1) && v.Quarantine.Has(2))
	x.is.Equal(len(v.Lost), 0)
}

// Guards against the store's second copy, taken before its first return, undoing what was known.
func TestTwoRestoresInARowUndoNothing(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.register("e1", false)
	x.register("e2", false)
	x.run(t)
	x.known(t)
	first := x.store.Backup()
	for i := range 5 {
		x.put(fmt.Sprint("op/other/", i), "x")
	}
	x.config(2)
	second := x.store.Backup()
	x.register("e1", true)
	x.config(3)
	x.known(t)
	x.restore(t, first)
	x.register("e1", true)
	x.known(t)
	x.restore(t, second)
	x.is.True(!x.isReady("e1"))
	x.is.True(x.isReady("e2"))
	x.is.Equal(version(x.f.View()), int64(3))
	x.waitMS(3000)
	x.is.True(!x.isReady("e1"))
}

// Guards against an entry that the store answers without an era, as one that has none does.
func TestAStoreWithoutErasIsFollowed(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	x.run(t)
	x.known(t)
	x.is.Equal(x.f.View().Revision.Era(), kv.Era(0))
}

// staleStore is a store whose stale reads show what it had before.
type staleStore struct {
	*flakyStore
	stale []kv.KeyValue
}

func (s *staleStore) GetPage(ctx context.Context, prefix, _ string, mayBeStale bool) (kv.Revision, []kv.KeyValue, bool, error) {
	if !mayBeStale {
		rev, items, err := s.Get(ctx, prefix, true)
		return rev, items, false, err
	}
	var page []kv.KeyValue
	for _, i := range s.stale {
		if strings.HasPrefix(i.Key, prefix) {
			page = append(page, i)
		}
	}
	return 0, page, false, nil
}

// Guards against an entry that starts just after a restore, reads the state before it, and keeps that as its revisions are the higher ones.
func TestAStaleReadAtTheStartDoesNotOutliveARestore(t *testing.T) {
	x := newFixture(t)
	other := fleet.Entry{Instance: "other", Domain: self.Domain, Boot: 1}
	register := func(boot int) {
		x.put(other.Key(), fmt.Sprintf(`{"instance":"other","domain":"d1","boot":%d}`, boot))
	}
	x.config(1)
	b := x.store.Backup()
	for i := range 5 {
		x.config(int64(2 + i))
	}
	register(1)
	_, before, err := x.store.Get(t.Context(), "", true)
	x.is.NoErr(err)
	x.store.Restore(b)
	for i := range before { // the answer names the era that the store is in
		before[i].ModRevision = kv.RevisionIn(x.store.Era(), before[i].ModRevision.Number())
	}
	register(2)
	x.f = fleet.NewFollower(self, &staleStore{x.flakyStore, before}, platform.Values{}, time.Second, x.clock, slog.New(slog.DiscardHandler))
	x.f.SetSinceBoot(func() time.Duration { return x.clock.Since(time.Time{}) })
	x.f.OnChange(func(v *fleet.View) { x.views <- v })
	x.run(t)
	x.waitFor(t, func(v *fleet.View) bool {
		return version(v) == 1 && len(v.Entries) == 1 && v.Entries[0].Boot == 2
	})
	x.config(2)
	x.waitFor(t, func(v *fleet.View) bool { return version(v) == 2 })
}

// Guards against callers that are refused because the registrations of all endpoints expired while the store was away.
func TestEndpointsWhoseRegistrationsExpiredAreKeptUntilTheyRegisterAgain(t *testing.T) {
	x := newFixture(t)
	x.config(1)
	lease, err := x.store.Grant(t.Context(), time.Minute)
	x.is.NoErr(err)
	key, value := platformtest.NewEngine(platformtest.EngineConfig{ID: "e1", Service: "s", Address: "127.0.0.1:80", Domain: "d1", Version: "v1"}).Registration(false)
	_, err = x.store.Put(t.Context(), key, value, lease)
	x.is.NoErr(err)
	x.run(t)
	x.known(t)
	b := x.store.Backup()
	x.config(2)
	x.known(t)
	x.flakyStore.fail(kv.ErrUnavailable)
	x.waitMS(60_000)
	x.store.Restore(b)
	x.flakyStore.fail(nil)
	x.waitFor(t, func(v *fleet.View) bool { return v.Revision.Era() == x.store.Era() })
	_, stored, err := x.store.Get(t.Context(), key, false)
	x.is.NoErr(err)
	x.is.Equal(len(stored), 0)
	x.is.True(x.isReady("e1"))
	x.waitMS(1000)
	x.is.True(x.isReady("e1"))
	x.waitMS(1000)
	x.is.True(!x.isReady("e1"))
	x.is.True(x.f.View().Group("s").HasLapsed("e1"))
}

// Guards against a rolled-back version that gets requests again once its order, which the store kept, was written again.
func TestAnOrderThatIsWrittenAgainKeepsItsState(t *testing.T) {
	const order = `{"service":"s","target":"v2","duration_s":20}`
	x := newFixture(t)
	x.config(1)
	x.put("op/rollout/s", order)
	x.put("status/rollout/s", `{"state":"rolled_back","target":"v2"}`)
	x.run(t)
	x.known(t)
	check := func(unrecorded bool) {
		t.Helper()
		r := x.f.View().Group("s").Rollout
		x.is.Equal(r.State, fleet.RolloutRolledBack)
		x.is.Equal(r.Unrecorded, unrecorded)
	}
	check(false)
	for range 2 {
		x.restore(t, x.store.Backup())
		check(x.f.View().Group("s").Rollout.Unrecorded)
		x.put("op/rollout/s", order)
		x.known(t)
		check(true) // an entry that starts now takes it for a new order
	}
	x.put("status/rollout/s", `{"state":"rolled_back","target":"v2"}`)
	x.known(t)
	check(false)
}
