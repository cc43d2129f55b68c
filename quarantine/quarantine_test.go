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
	crashing  Fingerprint = 1
	bystander Fingerprint = 2
)

var discardLog = slog.New(slog.DiscardHandler)

// entry is a table with a store.
type entry struct {
	*Table
	fleet *fleet.Follower
	clock *clockwork.FakeClock
	store *memkv.Store
	t     *testing.T
}

func newEntry(t *testing.T, clock *clockwork.FakeClock, store *memkv.Store) *entry {
	t.Helper()
	f := fleet.NewFollower(fleet.Entry{Instance: "i"}, store, platform.Values{}, time.Second, clock, discardLog)
	return &entry{Table: New(Deps{Store: store, View: f.View, Clock: clock, Log: discardLog}), fleet: f, clock: clock, store: store, t: t}
}

func newIsolatedEntry(t *testing.T) *entry {
	t.Helper()
	clock := clockwork.NewFakeClock()
	return newEntry(t, clock, memkv.New(clock))
}

// learn makes an entry one that has seen answers for learnFor.
func (e *entry) learn() {
	e.Answering(Subject{}, 0, e.Clock.Now())
	e.clock.Advance(learnFor)
}

// sync gives the entry the contents of the store.
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

func (e *entry) quarantined(f Fingerprint) bool { return e.Check(Subject{Request: f}).Quarantined }

// crashed records that an endpoint crashed while a request without prompt parts was in flight there.
func crashed(t interface {
	Crashed(Subject, fleet.EndpointID, Variant, Stage)
}, f Fingerprint, ep fleet.EndpointID, stage Stage) {
	t.Crashed(Subject{Request: f}, ep, 0, stage)
}

func endpoint(n int) fleet.EndpointID { return fleet.EndpointID(fmt.Sprintf("e%d", n)) }

// Guards against refusing requests that were merely in flight at an endpoint when another crashed it.
func TestBystanderIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	for n := range 3 {
		crashed(e, bystander, endpoint(n), Waiting)
		crashed(e, crashing, endpoint(n), Started)
	}
	is.True(e.quarantined(crashing))
	is.True(!e.quarantined(bystander))
	is.True(e.Check(Subject{Request: bystander}).Suspect)
}

// Guards against refusing a bystander permanently because it reached the threshold before the cause.
func TestBystanderIsReleasedWhenCauseIsFound(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	for n := range 3 {
		crashed(e, bystander, endpoint(n), Waiting)
	}
	is.True(e.quarantined(bystander))
	e.Merge("other", []SuspectReport{{Fingerprint: crashing, Crashes: []CrashReport{{Endpoint: endpoint(0), Stage: Started}, {Endpoint: endpoint(1), Stage: Started}, {Endpoint: endpoint(2), Stage: Started}}}})
	is.True(e.quarantined(crashing))
	is.True(!e.quarantined(bystander))
}

// Guards against refusing a request that many callers make because many engines crashed at once.
func TestServedRequestIsNeverQuarantined(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.Served(Subject{Request: bystander}, 0, e.Clock.Now())
	for n := range 8 {
		crashed(e, bystander, endpoint(n), Started)
	}
	is.True(!e.quarantined(bystander))
	for n := range 3 {
		crashed(e, crashing, endpoint(n), Waiting)
	}
	is.True(e.quarantined(crashing))
	e.Served(Subject{Request: crashing}, 0, e.Clock.Now())
	is.True(!e.quarantined(crashing))
}

// Guards against missing a request that crashes one endpoint at each of several entries.
func TestCrashesAccumulateAcrossEntries(t *testing.T) {
	is := is.New(t)
	var all []*entry
	for n := range 3 {
		all = append(all, newIsolatedEntry(t))
		crashed(all[n], crashing, endpoint(n), Waiting)
		is.True(!all[n].quarantined(crashing))
	}
	for _, a := range all {
		for _, b := range all {
			b.Merge("other", a.Reports())
		}
	}
	for _, e := range all {
		is.True(e.quarantined(crashing))
	}
}

// Guards against counting a crash several times because several copies or entries observed it.
func TestCrashIsCountedOnce(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	for range 5 {
		crashed(e, bystander, endpoint(0), Waiting)
		crashed(e, bystander, endpoint(1), Running)
		e.Merge("other", e.Reports())
	}
	is.True(!e.quarantined(bystander))
}

// Guards against quarantined requests being sent by entries that start after all entries were killed.
func TestNewEntryLoadsQuarantineFromStore(t *testing.T) {
	is := is.New(t)
	a := newIsolatedEntry(t)
	crashed(a, crashing, endpoint(0), Started)
	crashed(a, crashing, endpoint(1), Started)
	is.True(a.quarantined(crashing))
	a.Tick(context.Background())
	a.clock.Advance(settleTime)
	a.Tick(context.Background())
	b := newEntry(t, a.clock, a.store)
	is.True(!b.quarantined(crashing))
	b.sync()
	is.True(b.quarantined(crashing))
	crashed(b, bystander, endpoint(0), Waiting)
	crashed(b, bystander, endpoint(1), Waiting)
	crashed(b, bystander, endpoint(2), Waiting)
	is.True(!b.quarantined(bystander)) // the record explains two of its crashes
}

// Guards against refusing a request long after the endpoints' fault was fixed.
func TestQuarantineExpires(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	crashed(e, crashing, endpoint(0), Started)
	crashed(e, crashing, endpoint(1), Started)
	is.True(e.Check(Subject{Request: crashing}).RetryAfter == retention)
	e.clock.Advance(settleTime)
	e.Tick(context.Background())
	e.sync()
	e.clock.Advance(retention + time.Second)
	e.sync()
	e.Tick(context.Background())
	is.True(!e.quarantined(crashing))
	is.Equal(e.Check(Subject{Request: crashing}), Verdict{})
}

// Guards against losing a record because the store did not confirm it.
func TestRecordIsRetriedUntilConfirmed(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	store := &flakyStore{Client: e.store, failures: 3}
	e.Store = store
	crashed(e, crashing, endpoint(0), Started)
	crashed(e, crashing, endpoint(1), Started)
	for range 10 {
		e.clock.Advance(recordRetry)
		e.Tick(context.Background())
		e.sync()
	}
	is.Equal(store.grants, 4) // none after the record is known
	is.True(e.fleet.View().Quarantine.Has(uint64(crashing)))
}

// flakyStore is a store whose first calls of Grant fail.
type flakyStore struct {
	kv.Client
	failures, grants int
}

func (s *flakyStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.grants++
	if s.grants <= s.failures {
		return 0, kv.ErrUnavailable
	}
	return s.Client.Grant(ctx, ttl)
}

// Guards against memory and exchanges that grow with the number of requests in flight at a crash.
func TestSuspectsAndReportsAreBounded(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	for n := range maxSuspects + 100 {
		crashed(e, Fingerprint(n+10), endpoint(n), Waiting)
		e.clock.Advance(time.Microsecond)
	}
	is.Equal(e.State().Suspects, maxSuspects)
	is.True(!e.Check(Subject{Request: 10}).Suspect) // the oldest is evicted first
	is.Equal(len(e.Reports()), maxReported)
	e.clock.Advance(reportFor + time.Second)
	is.Equal(len(e.Reports()), 0)
}

// Guards against records that are gone after the store came back from a copy, are written by every entry, or come back though they were removed.
func TestRecordsThatTheStoreLostAreWrittenAgainOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := memkv.New(clock)
	entries := []fleet.Entry{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
	var all []*entry
	for _, one := range entries {
		e := newEntry(t, clock, store)
		e.Owns = func(f Fingerprint) bool { return Owner(f, entries) == one.Instance }
		all = append(all, e)
	}
	removed := fleet.Quarantined{Fingerprint: Fingerprint(7).String(), Part: true}
	lost := fleet.Quarantined{Fingerprint: Fingerprint(8).String()}
	_, err := store.Put(t.Context(), removed.Key(), []byte(`{}`), 0)
	is.NoErr(err)
	sync := func() {
		for _, e := range all {
			e.sync()
		}
	}
	sync()
	b := store.Backup()
	_, err = store.Delete(t.Context(), removed.Key(), false)
	is.NoErr(err)
	_, err = store.Put(t.Context(), lost.Key(), []byte(`{"crashed":["e1","e2"]}`), 0)
	is.NoErr(err)
	sync()
	store.Restore(b)
	sync()
	at := store.Revision()
	for range 10 { // two seconds
		for _, e := range all {
			is.True(e.Check(Subject{Request: 8}).Quarantined)
			is.True(!e.Check(Subject{Parts: []Fingerprint{7}}).Quarantined)
			e.Tick(t.Context())
		}
		sync()
		clock.Advance(Interval)
	}
	_, items, err := store.Get(t.Context(), "", true)
	is.NoErr(err)
	is.Equal(len(items), 1)
	is.Equal(items[0].Key, lost.Key())
	is.True(items[0].Lease != 0)
	is.Equal(store.Revision().Number(), at.Number()+2) // one record, one removal
}
