package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
)

const (
	guilty   Fingerprint = 1
	innocent Fingerprint = 2
)

var quiet = slog.New(slog.DiscardHandler)

// entry is a table that knows a store.
type entry struct {
	*Table
	fleet *fleet.Follower
	clock *clockwork.FakeClock
	store *memkv.Store
	t     *testing.T
}

func newEntry(t *testing.T, clock *clockwork.FakeClock, store *memkv.Store) *entry {
	t.Helper()
	f := fleet.NewFollower(fleet.Entry{Instance: "i"}, store, platform.Values{}, time.Second, clock, quiet)
	return &entry{Table: New(Deps{Store: store, View: f.View, Clock: clock, Log: quiet}), fleet: f, clock: clock, store: store, t: t}
}

func alone(t *testing.T) *entry {
	t.Helper()
	clock := clockwork.NewFakeClock()
	return newEntry(t, clock, memkv.New(clock))
}

// sync makes the entry know what the store holds.
func (e *entry) sync() {
	e.t.Helper()
	rev, items, err := e.store.Get(context.Background(), "", true)
	if err != nil {
		e.t.Fatal(err)
	}
	c := fleet.Changes{Revision: rev, Whole: true}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	e.fleet.Merge("test", c, 0)
}

func (e *entry) quarantined(f Fingerprint) bool { return e.Check(f).Quarantined }

func endpoint(n int) fleet.EndpointID { return fleet.EndpointID(fmt.Sprintf("e%d", n)) }

// Guards against requests that an endpoint's crash cut off being refused like the one that caused it.
func TestABystanderOfCrashesIsServed(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	for n := range 3 {
		e.Crashed(innocent, endpoint(n), Waiting)
		e.Crashed(guilty, endpoint(n), Started)
	}
	is.True(e.quarantined(guilty))
	is.True(!e.quarantined(innocent))
	is.True(e.Check(innocent).Suspect)
}

// Guards against a bystander refused for good because it was found before the cause was.
func TestABystanderIsExcusedOnceTheCauseIsFound(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	for n := range 3 {
		e.Crashed(innocent, endpoint(n), Waiting)
	}
	is.True(e.quarantined(innocent))
	e.Hear([]Row{{Fingerprint: guilty, Crashes: []Crash{{endpoint(0), Started, 0}, {endpoint(1), Started, 0}, {endpoint(2), Started, 0}}}})
	is.True(e.quarantined(guilty))
	is.True(!e.quarantined(innocent))
}

// Guards against a request that many callers make being refused because many engines crashed at once.
func TestARequestThatWasServedIsNeverQuarantined(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	e.Served(innocent)
	for n := range 8 {
		e.Crashed(innocent, endpoint(n), Started)
	}
	is.True(!e.quarantined(innocent))
	for n := range 3 {
		e.Crashed(guilty, endpoint(n), Waiting)
	}
	is.True(e.quarantined(guilty))
	e.Served(guilty)
	is.True(!e.quarantined(guilty))
}

// Guards against a request that crashes one endpoint at each of several entries and is known to none.
func TestCrashesAtSeveralEntriesAddUp(t *testing.T) {
	is := is.New(t)
	var all []*entry
	for n := range 3 {
		all = append(all, alone(t))
		all[n].Crashed(guilty, endpoint(n), Waiting)
		is.True(!all[n].quarantined(guilty))
	}
	for _, a := range all {
		for _, b := range all {
			b.Hear(a.Tell())
		}
	}
	for _, e := range all {
		is.True(e.quarantined(guilty))
	}
}

// Guards against crashes counted anew because several copies, or entries, saw the same one.
func TestACrashCountsOnce(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	for range 5 {
		e.Crashed(innocent, endpoint(0), Waiting)
		e.Crashed(innocent, endpoint(1), Running)
		e.Hear(e.Tell())
	}
	is.True(!e.quarantined(innocent))
}

// Guards against requests that crash endpoints let through by entries that start after all were killed.
func TestAnEntryThatStartsLaterKnowsTheQuarantine(t *testing.T) {
	is := is.New(t)
	a := alone(t)
	a.Crashed(guilty, endpoint(0), Started)
	a.Crashed(guilty, endpoint(1), Started)
	is.True(a.quarantined(guilty))
	a.Tick(context.Background())
	a.clock.Advance(settles)
	a.Tick(context.Background())
	b := newEntry(t, a.clock, a.store)
	is.True(!b.quarantined(guilty))
	b.sync()
	is.True(b.quarantined(guilty))
	b.Crashed(innocent, endpoint(0), Waiting)
	b.Crashed(innocent, endpoint(1), Waiting)
	b.Crashed(innocent, endpoint(2), Waiting)
	is.True(!b.quarantined(innocent)) // the record explains two of its crashes
}

// Guards against a request refused long after the endpoints' fault was mended.
func TestTheQuarantineLapses(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	e.Crashed(guilty, endpoint(0), Started)
	e.Crashed(guilty, endpoint(1), Started)
	is.True(e.Check(guilty).For == life)
	e.clock.Advance(settles)
	e.Tick(context.Background())
	e.sync()
	e.clock.Advance(life + time.Second)
	e.sync()
	e.Tick(context.Background())
	is.True(!e.quarantined(guilty))
	is.Equal(e.Check(guilty), Verdict{})
}

// Guards against a record lost because the store did not confirm it.
func TestARecordIsWrittenUntilItIsConfirmed(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	store := &refusing{Client: e.store, times: 3}
	e.Store = store
	e.Crashed(guilty, endpoint(0), Started)
	e.Crashed(guilty, endpoint(1), Started)
	for range 10 {
		e.clock.Advance(recordAgain)
		e.Tick(context.Background())
		e.sync()
	}
	is.Equal(store.grants, 4) // and none once it is known
	is.True(e.fleet.View().Quarantine.Has(uint64(guilty)))
}

// refusing is a store that grants no lease the first times.
type refusing struct {
	kv.Client
	times, grants int
}

func (r *refusing) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	r.grants++
	if r.grants <= r.times {
		return 0, kv.ErrUnavailable
	}
	return r.Client.Grant(ctx, ttl)
}

// Guards against memory and exchanges that grow with the requests of a crash.
func TestWhatIsRememberedAndToldIsBounded(t *testing.T) {
	is := is.New(t)
	e := alone(t)
	for n := range mostSuspects + 100 {
		e.Crashed(Fingerprint(n+10), endpoint(n), Waiting)
		e.clock.Advance(time.Microsecond)
	}
	is.Equal(e.State().Suspects, mostSuspects)
	is.True(!e.Check(10).Suspect) // the oldest went first
	is.Equal(len(e.Tell()), mostTold)
	e.clock.Advance(tellFor + time.Second)
	is.Equal(len(e.Tell()), 0)
}
