package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

const poison = "a body that crashes engines"

// crashingFleet is several entries before engines that a poison request crashes.
type crashingFleet struct {
	t       *testing.T
	entries []*world
	meshes  []*mesh.Mesh
	engines []*platformtest.Process
	starts  int
	sent    int // requests so far
}

func newCrashingFleet(t *testing.T, entries, engines int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{t: t}
	store := memkv.New(clockwork.NewRealClock())
	for range entries {
		e := newEntryBefore(t, store)
		f.entries = append(f.entries, e)
		m := mesh.New(mesh.Deps{Fleet: e.fleet, Rollouts: e.orders, Quarantine: e.quarantine, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler)})
		srv := httptest.NewServer(meshpb.NewMeshServer(m))
		t.Cleanup(srv.Close)
		m.Address = strings.TrimPrefix(srv.URL, "http://")
		f.meshes = append(f.meshes, m)
	}
	f.put("op/config", platformtest.EncodeConfig(testConfig()))
	for range engines {
		f.starts++
		p, err := platformtest.StartProcess(platformtest.EngineConfig{ID: fmt.Sprintf("e%d", f.starts), Service: service, Domain: "d1", Version: "v1", Pause: time.Millisecond,
			CrashOn: func(body []byte) bool { return bytes.Equal(body, []byte(poison)) }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		f.engines = append(f.engines, p)
		f.put(p.Engine().Registration(false))
	}
	f.sync()
	return f
}

// store is the platform's, which all entries know.
func (f *crashingFleet) store() kv.Client { return f.entries[0].kv }

func (f *crashingFleet) put(key string, value []byte) {
	f.t.Helper()
	if _, err := f.store().Put(context.Background(), key, value, 0); err != nil {
		f.t.Fatal(err)
	}
}

// sync makes all entries know what the store holds.
func (f *crashingFleet) sync() {
	f.t.Helper()
	rev, items, err := f.store().Get(context.Background(), "", true)
	if err != nil {
		f.t.Fatal(err)
	}
	c := fleet.Changes{Revision: rev, Whole: true}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	for _, e := range f.entries {
		e.fleet.Merge("test", c, 0)
	}
}

// recover starts the engines that crashed again, as other incarnations.
func (f *crashingFleet) recover() {
	f.t.Helper()
	for _, p := range f.engines {
		if p.Running() {
			continue
		}
		old, _ := p.Engine().Registration(false)
		if _, err := f.store().Delete(context.Background(), old, false); err != nil {
			f.t.Fatal(err)
		}
		f.starts++
		if err := p.Restart(fmt.Sprintf("e%d", f.starts)); err != nil {
			f.t.Fatal(err)
		}
		f.put(p.Engine().Registration(false))
	}
	f.sync()
}

// gossip lets each entry exchange with all others.
func (f *crashingFleet) gossip() {
	for _, a := range f.meshes {
		for _, b := range f.meshes {
			if a != b {
				a.ExchangeWith(context.Background(), b.Address)
			}
		}
	}
}

func (f *crashingFleet) crashes() int {
	n := 0
	for _, p := range f.engines {
		n += p.Crashes()
	}
	return n
}

// send sends a request to an entry, under an id of its own.
func (f *crashingFleet) send(entry int, path, body string) answer {
	f.t.Helper()
	f.sent++
	return f.entries[entry].do(http.MethodPost, path, body, "X-Attempt-Id", fmt.Sprintf("r%d", f.sent))
}

// lawful sends streams that crash nothing to all entries, the same ones each time. The
// returned function waits for them and tells how many were not answered whole.
func (f *crashingFleet) lawful(each int) (failed func() int) {
	f.t.Helper()
	var wg sync.WaitGroup
	var n atomic.Int64
	for i, e := range f.entries {
		for j := range each {
			f.sent++
			req := e.request(http.MethodPost, "/resume/stream", fmt.Sprintf("lawful %d of entry %d", j, i), "X-Attempt-Id", fmt.Sprintf("r%d", f.sent))
			wg.Go(func() {
				if !wholeStream(req) {
					n.Add(1)
				}
			})
		}
	}
	return func() int {
		wg.Wait()
		return int(n.Load())
	}
}

func wholeStream(req *http.Request) bool {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == platformtest.WholeStream(0, 5)
}

// Guards against an endpoint crashed by a copy of a request that still waits there when other copies are found out.
func TestACopyThatWaitsAtAnEndpointIsStopped(t *testing.T) {
	for _, path := range []string{"/resume/stream", "/get/x", "/post/x"} {
		is := is.New(t)
		w := newWorld(t, 2)
		began := make(chan struct{}, 1)
		for _, e := range w.engines {
			e.FaultOf = func(*http.Request) platformtest.Fault { return platformtest.Hang }
			e.OnRun = func(platformtest.Run) { began <- struct{}{} }
		}
		got := make(chan answer)
		go func() { got <- w.do(http.MethodPost, path, poison) }()
		<-began
		of := quarantine.Of("cust", http.MethodPost, host, path, []byte(poison))
		w.quarantine.Crashed(of, "x1", quarantine.Started)
		w.quarantine.Crashed(of, "x2", quarantine.Started)
		is.Equal((<-got).status, http.StatusBadGateway) // it may have run
		is.Equal(len(w.runs()), 1)
	}
}

// mostCrashes is how many engines a request may crash, all entries together: three until
// it is known, and three more sends.
const mostCrashes = 6

// Guards against a request that crashes the endpoints that run it being sent to one after the other.
func TestARequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for _, path := range []string{"/resume/stream", "/once/stream", "/get/x", "/post/x"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			is := is.New(t)
			f := newCrashingFleet(t, 4, 8)
			var last answer
			for i := range 16 {
				before := f.crashes()
				failed := f.lawful(2)
				last = f.send(i%len(f.entries), path, poison)
				is.True(failed() == 0 || f.crashes() > before)
				f.recover()
				f.gossip()
			}
			is.True(f.crashes() <= mostCrashes)
			is.Equal(last.status, http.StatusServiceUnavailable) // it has not run
			is.True(last.header.Get("Retry-After") != "")
		})
	}
}
