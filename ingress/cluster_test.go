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

	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// cluster is several entries in front of the same engines, on one store.
type cluster struct {
	t      *testing.T
	all    []*testEnv
	meshes []*mesh.Mesh
	sent   int // requests so far
}

func newCluster(t *testing.T, n int, clock clockwork.Clock) *cluster {
	t.Helper()
	return newClusterIn(t, n, 1, clock)
}

// newClusterIn spreads the entries over failure domains d1, d2 and so on.
func newClusterIn(t *testing.T, n, domains int, clock clockwork.Clock) *cluster {
	t.Helper()
	f := &cluster{t: t}
	store := memkv.New(clock)
	for i := range n {
		e := newEnvInDomain(t, store, clock, fmt.Sprintf("i%d", i), domainOf(i, domains))
		f.all = append(f.all, e)
		m := mesh.New(mesh.Deps{Instance: fmt.Sprintf("i%d", i), Domain: domainOf(i, domains), Fleet: e.fleet, Rollouts: e.rolloutController, Quarantine: e.quarantine, Limits: e.limits, Concurrency: e.concurrency, Clock: clock, Log: slog.New(slog.DiscardHandler)})
		srv := httptest.NewServer(e.server.HandoffMiddleware((&egress.Server{Dialer: e.egress, Gate: e.gate, Quarantine: e.quarantine}).Middleware(meshpb.NewMeshServer(m))))
		t.Cleanup(srv.Close)
		m.Address = strings.TrimPrefix(srv.URL, "http://")
		f.meshes = append(f.meshes, m)
	}
	for i := range n {
		self, err := json.Marshal(fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: domainOf(i, domains), Address: f.meshes[i].Address})
		if err != nil {
			t.Fatal(err)
		}
		f.put(fleet.EntryPrefix+fmt.Sprintf("i%d", i), self)
	}
	f.put("op/config", platformtest.EncodeConfig(testConfig()))
	return f
}

func domainOf(i, domains int) string { return fmt.Sprintf("d%d", i%domains+1) }

// store returns the store that all entries share.
func (f *cluster) store() kv.Client { return f.all[0].kv }

func (f *cluster) put(key string, value []byte) {
	f.t.Helper()
	if _, err := f.store().Put(context.Background(), key, value, 0); err != nil {
		f.t.Fatal(err)
	}
}

// sync loads the content of the store into all entries.
func (f *cluster) sync() {
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

// gossip makes each entry exchange its state with all others.
func (f *cluster) gossip() {
	for _, a := range f.meshes {
		for _, b := range f.meshes {
			if a != b {
				a.ExchangeWith(context.Background(), b.Address)
			}
		}
	}
}

// broadcastLoads sends the loads that one entry knows to the others of its failure domain.
func (f *cluster) broadcastLoads(entry int) {
	f.t.Helper()
	raw, _, err := f.all[entry].loads.Datagram()
	if err != nil {
		f.t.Fatal(err)
	}
	for i, e := range f.all {
		if i != entry && e.loads.Domain == f.all[entry].loads.Domain {
			e.loads.Receive(raw)
		}
	}
}

// broadcastLimits sends to the other entries of a failure domain how many requests one entry sent
// to endpoints with a limit.
func (f *cluster) broadcastLimits(entry int) {
	f.t.Helper()
	raw, err := f.all[entry].loads.LimitsDatagram()
	if err != nil {
		f.t.Fatal(err)
	}
	for i, e := range f.all {
		if i != entry && e.loads.Domain == f.all[entry].loads.Domain {
			e.loads.Receive(raw)
		}
	}
}

// send sends a request with a new attempt id to an entry.
func (f *cluster) send(entry int, path, body string) answer {
	f.t.Helper()
	f.sent++
	return f.all[entry].do(http.MethodPost, path, body, "X-Attempt-Id", fmt.Sprintf("r%d", f.sent))
}
