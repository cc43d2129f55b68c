package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// entries are several before the same engines, on one store.
type entries struct {
	t      *testing.T
	all    []*world
	meshes []*mesh.Mesh
	sent   int // requests so far
}

func newEntries(t *testing.T, n int, clock clockwork.Clock) *entries {
	t.Helper()
	f := &entries{t: t}
	store := memkv.New(clock)
	for i := range n {
		e := newEntryBefore(t, store, clock, fmt.Sprintf("i%d", i))
		f.all = append(f.all, e)
		m := mesh.New(mesh.Deps{Fleet: e.fleet, Rollouts: e.orders, Quarantine: e.quarantine, Limits: e.limits, Clock: clock, Log: slog.New(slog.DiscardHandler)})
		srv := httptest.NewServer(meshpb.NewMeshServer(m))
		t.Cleanup(srv.Close)
		m.Address = strings.TrimPrefix(srv.URL, "http://")
		f.meshes = append(f.meshes, m)
	}
	for i := range n {
		self, err := json.Marshal(fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: "d1"})
		if err != nil {
			t.Fatal(err)
		}
		f.put(fleet.EntryPrefix+fmt.Sprintf("i%d", i), self)
	}
	f.put("op/config", platformtest.EncodeConfig(testConfig()))
	return f
}

// store is the platform's, which all entries know.
func (f *entries) store() kv.Client { return f.all[0].kv }

func (f *entries) put(key string, value []byte) {
	f.t.Helper()
	if _, err := f.store().Put(context.Background(), key, value, 0); err != nil {
		f.t.Fatal(err)
	}
}

// sync makes all entries know what the store holds.
func (f *entries) sync() {
	f.t.Helper()
	rev, items, err := f.store().Get(context.Background(), "", true)
	if err != nil {
		f.t.Fatal(err)
	}
	c := fleet.Changes{Revision: rev, Whole: true}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	for _, e := range f.all {
		e.fleet.Merge("test", c, 0)
	}
}

// gossip lets each entry exchange with all others.
func (f *entries) gossip() {
	for _, a := range f.meshes {
		for _, b := range f.meshes {
			if a != b {
				a.ExchangeWith(context.Background(), b.Address)
			}
		}
	}
}

// tell lets one entry tell the others its loads.
func (f *entries) tell(entry int) {
	f.t.Helper()
	raw, _, err := f.all[entry].loads.Datagram()
	if err != nil {
		f.t.Fatal(err)
	}
	for i, e := range f.all {
		if i != entry {
			e.loads.Hear(raw)
		}
	}
}

// tellLimits lets one entry tell the others what it sent to endpoints that name a limit.
func (f *entries) tellLimits(entry int) {
	f.t.Helper()
	raw, err := f.all[entry].loads.LimitsDatagram()
	if err != nil {
		f.t.Fatal(err)
	}
	for i, e := range f.all {
		if i != entry {
			e.loads.Hear(raw)
		}
	}
}

// send sends a request to an entry, under an id of its own.
func (f *entries) send(entry int, path, body string) answer {
	f.t.Helper()
	f.sent++
	return f.all[entry].do(http.MethodPost, path, body, "X-Attempt-Id", fmt.Sprintf("r%d", f.sent))
}
