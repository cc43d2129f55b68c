package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// registeredWithin is the users' bound on what entries had written after the store came back.
const registeredWithin = 2 * time.Second

// startRegistration runs the registration of an entry.
func startRegistration(t *testing.T, address, instance string) {
	t.Helper()
	startRegistrationOf(t, platform.NewStore(address), instance, "d")
}

func startRegistrationOf(t *testing.T, store kv.Client, instance, domain string) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	self := fleet.Entry{Instance: instance, Domain: domain, Address: "127.0.0.1:1", Boot: 1}
	f := fleet.NewFollower(self, store, platform.Values{}, time.Second, clockwork.NewRealClock(), log)
	f.SetSinceBoot(func() time.Duration { return time.Since(time.Time{}) })
	r := &registration{self: self, store: store, fleet: f, writesPerS: maxWritesPerSecond, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { f.Run(ctx); done <- struct{}{} }()
	go func() { r.run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
}

// awaitRegistrations waits until the store has that many registrations, and returns them by key.
func awaitRegistrations(t *testing.T, store *memkv.Store, n int) map[string]kv.KeyValue {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		_, items, _ := store.Get(context.Background(), fleet.EntryPrefix, true)
		if len(items) == n {
			out := map[string]kv.KeyValue{}
			for _, i := range items {
				out[i.Key] = i
			}
			return out
		}
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d registrations, %d expected", len(items), n)
		}
	}
}

// Guards against entries that others no longer find because the store lost their registrations, and that renew a lease which is now another entry's.
func TestARegistrationThatTheStoreLostIsWrittenAgainOnce(t *testing.T) {
	is := is.New(t)
	store := memkv.New(clockwork.NewRealClock())
	served := platformtest.NewStore(store)
	srv := httptest.NewServer(served)
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	startRegistration(t, address, "kept")
	before := awaitRegistrations(t, store, 1)
	b := store.Backup()
	const lost = 6
	for i := range lost {
		startRegistration(t, address, fmt.Sprint("lost-", i))
	}
	awaitRegistrations(t, store, 1+lost)
	time.Sleep(2 * time.Second) // all are in one list
	served.RestoreTo(b, 200*time.Millisecond)
	_, err := store.Grant(t.Context(), time.Minute) // the id of a lease before
	is.NoErr(err)
	began := time.Now()
	after := awaitRegistrations(t, store, 1+lost)
	took := time.Since(began)
	t.Logf("registered again after %v", took)
	is.True(took < registeredWithin)
	time.Sleep(time.Second)
	leases := map[kv.LeaseID]bool{}
	for key, item := range awaitRegistrations(t, store, 1+lost) {
		is.Equal(item.ModRevision, after[key].ModRevision) // written once
		is.True(!leases[item.Lease])
		leases[item.Lease] = true
		if old, kept := before[key]; kept {
			is.Equal(item.ModRevision.Number(), old.ModRevision.Number()) // not written at all
		}
	}
}

// countedWrites is a store that counts writing calls by the second.
type countedWrites struct {
	*memkv.Store
	mu     sync.Mutex
	writes map[int64]int
}

func (s *countedWrites) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[time.Now().Unix()]++
}

func (s *countedWrites) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.count()
	return s.Store.Grant(ctx, ttl)
}

func (s *countedWrites) Put(ctx context.Context, key string, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	s.count()
	return s.Store.Put(ctx, key, value, lease)
}

// maxWritesPerSecond is what the users' store accepts from all entries together.
const maxWritesPerSecond = 400

// Guards against a store whose rate limit is exceeded when a fleet's registrations are lost at once.
func TestAFleetWhoseRegistrationsWereLostKeepsTheStoresRate(t *testing.T) {
	const n = 300
	synctest.Test(t, func(t *testing.T) {
		store := &countedWrites{Store: memkv.New(clockwork.NewRealClock()), writes: map[int64]int{}}
		if _, err := store.Store.Put(t.Context(), "op/config", []byte(`{"version":1}`), 0); err != nil {
			t.Fatal(err)
		}
		b := store.Backup()
		for i := range n {
			startRegistrationOf(t, store, fmt.Sprint("i", i), fmt.Sprint("d", i%10))
		}
		awaitRegistrations(t, store.Store, n)
		time.Sleep(10 * time.Second)
		store.writes = map[int64]int{}
		store.Restore(b)
		began := time.Now()
		awaitRegistrations(t, store.Store, n)
		took := time.Since(began)
		t.Logf("%d registrations after %v, writes by the second: %v", n, took, store.writes)
		if took > registeredWithin {
			t.Errorf("registered again after %v, %v at most", took, registeredWithin)
		}
		for _, writes := range store.writes {
			if writes > maxWritesPerSecond {
				t.Errorf("%d writes in a second, %d at most", writes, maxWritesPerSecond)
			}
		}
	})
}
