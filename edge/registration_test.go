package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
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

// registeredWithin is the users' bound on what entries had written after the store came back.
const registeredWithin = 2 * time.Second

// startRegistration runs the registration of an entry.
func startRegistration(t *testing.T, address, instance string) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	self := fleet.Entry{Instance: instance, Domain: "d", Address: "127.0.0.1:1", Boot: 1}
	store := platform.NewStore(address)
	f := fleet.NewFollower(self, store, platform.Values{}, time.Second, clockwork.NewRealClock(), log)
	r := &registration{self: self, store: store, fleet: f, log: log}
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
