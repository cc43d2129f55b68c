package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx/fxtest"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/duty"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/gateway"
	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/settings"
)

// faultyKV is a KV whose calls can be made to fail without effect or to hang.
type faultyKV struct {
	*memkv.Store
	failures atomic.Int32 // number of calls still to fail
	hang     atomic.Bool  // calls block until their context ends
}

func (f *faultyKV) fails(ctx context.Context) bool {
	if f.hang.Load() {
		<-ctx.Done()
		return true
	}
	return f.failures.Add(-1) >= 0
}

func (f *faultyKV) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	if f.fails(ctx) {
		return 0, nil, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, key, prefix)
}

func (f *faultyKV) CompareAndPut(ctx context.Context, key string, expect kv.Revision, value []byte, lease kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	if f.fails(ctx) {
		return false, 0, nil, kv.ErrUnavailable
	}
	return f.Store.CompareAndPut(ctx, key, expect, value, lease)
}

func (f *faultyKV) Revoke(ctx context.Context, lease kv.LeaseID) error {
	if f.fails(ctx) {
		return kv.ErrUnavailable
	}
	return f.Store.Revoke(ctx, lease)
}

// Invariants 4 and 7. Guards against requests left unbilled by a planned stop, and
// against a posting that did not run being refused as a duplicate for a day: the KV
// fails a few calls, as in a short outage, while the entry writes its last billing
// records and releases its last claims. With a single attempt, they would be lost
// although most of the stop's time is unused.
func TestPlannedStopRetriesThroughShortOutage(t *testing.T) {
	const outage = 3 // calls
	is := is.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock() // for the ledger; the test does not wait for it
	store := &faultyKV{Store: memkv.New(clock)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	members := peers.NewTable(&peerpb.Member{Instance: "e1", Domain: "fd-1", Address: "http://e1", Life: 1}, clock, nil)
	billing := ledger.New(store, "e1", 1, func() bool { return false }, clock, log)
	claims := idem.New(store, clock)

	lc := fxtest.NewLifecycle(t)
	runLedger(lc, &settings.Entry{Instance: "e1"}, billing, members, nil, log)
	lc.RequireStart()
	billing.Settle(ctx, ledger.Record{RequestID: "r1", Customer: "c", Outcome: ledger.OutcomeOK})
	store.failures.Store(outage)
	is.NoErr(lc.Stop(ctx))
	store.failures.Store(0)
	billed, _, err := ledger.Read(ctx, store)
	is.NoErr(err)
	is.Equal(len(billed), 1)

	lc = fxtest.NewLifecycle(t)
	runClaims(lc, claims, log)
	lc.RequireStart()
	is.NoErr(claims.Claim(ctx, "c", "key", "r2"))
	claims.Release("c", "key", "r2")
	store.failures.Store(outage)
	is.NoErr(lc.Stop(ctx))
	is.Equal(claims.Pending(), 0)
	is.NoErr(idem.New(store, clock).Claim(ctx, "c", "key", "r3")) // the retry may run
}

// Guards against requests left unbilled by a planned stop: the KV accepts
// connections but does not respond while the entry resigns its duty and releases
// its last claims. Without time-outs of their own, these use up the stop's time, and
// the billing records, which come later, are not written.
func TestPlannedStopBoundsStepsDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	clock := clockwork.NewFakeClock()
	store := &faultyKV{Store: memkv.New(clock)}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	claims := idem.New(store, clock)
	orders := duty.New(store, "orders", "e1/1", clock)
	is.NoErr(orders.Renew(ctx))
	lc := fxtest.NewLifecycle(t)
	runClaims(lc, claims, log)
	background.Run(lc, func(context.Context) {}, resign(orders))
	lc.RequireStart()
	claims.Release("c", "key", "r1")
	store.hang.Store(true)
	_ = lc.Stop(ctx)
	is.NoErr(ctx.Err()) // some of the stop's time is left
	is.Equal(claims.Pending(), 1)
}

// Guards against connections refused at every planned stop although other entries
// would serve them: an idle entry is stopped, and the load balancer, which has not
// probed it yet, sends it a new connection. If the entry exited at once, this would
// be refused. It must still respond: to the balancer that it is not ready, and to the
// caller that the request did not run and that the connection closes.
func TestIdleEntryServesUntilBalancerReacts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	srv := testServer(clock, settings.DefaultDrainTimeout, gateway.Deps{Clock: clock, Log: log, Scope: tally.NoopScope})
	callers, url := serveCallers(t, srv)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		srv.drain([]*listen.Listener{callers}, log)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		<-ended
	}()
	is.NoErr(clock.BlockUntilContext(ctx, 1)) // the drain has begun and not ended

	resp, err := http.Get(url + "/readyz")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	resp, err = http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close) // the caller must retry on another connection
	is.True(resp.Header.Get("Retry-After") != "")
	var body openai.ErrorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
	is.Equal(body.Error.Type, openai.OutcomeNotRun)

	clock.Advance(drain.BalancerDelay)
	<-ended
	_, err = (&http.Client{Transport: &http.Transport{}}).Get(url + "/readyz")
	is.True(err != nil) // the listener is closed
}

// settledRecords passes on the billing records that are settled.
type settledRecords chan ledger.Record

func (settledRecords) Open(ledger.Record)                          {}
func (s settledRecords) Settle(_ context.Context, r ledger.Record) { s <- r }
func (settledRecords) Drop(string)                                 {}

// staticTable is a configuration that does not change.
type staticTable struct{ t *route.Table }

func (s staticTable) Table() *route.Table   { return s.t }
func (staticTable) Refresh(context.Context) {}

// Guards against a request left unbilled, or a stop that lasts until the process is
// killed: a caller stops reading its stream, so that the entry blocks writing to it
// when the drain timeout expires. Cancelling a request's context does not end a
// write, so its connection must be closed, and its billing record settled before the
// ledger is flushed.
func TestStopBillsCallerThatStopsReading(t *testing.T) {
	is := is.New(t)
	var events atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		event := fmt.Sprintf(`data: {"id":%q,"choices":[{"delta":{"content":%q}}]}`+"\n\n", r.Header.Get(openai.HeaderRequestID), strings.Repeat("x", 32<<10))
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
			events.Add(1)
		}
	}))
	t.Cleanup(engine.Close)
	doc := &config.Document{
		Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {"*"}}}},
		Backends:  map[string]config.Backend{"e": {Kind: config.KindEngine, Address: strings.TrimPrefix(engine.URL, "http://"), Domain: "fd-1", Model: "m", Version: "v1"}},
	}
	clock := clockwork.NewRealClock()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settled := make(settledRecords, 1)
	srv := testServer(clock, 0, gateway.Deps{Instance: "e1", Domain: "fd-1", Tables: staticTable{route.NewTable(1, doc)}, Endpoints: endpoints.NewTable(clock), Bill: settled,
		Timeouts: gateway.Timeouts{FirstToken: time.Hour, Idle: time.Hour, Unary: time.Hour}, Clock: clock, Log: log, Scope: tally.NoopScope})
	callers, _ := serveCallers(t, srv)
	caller, err := net.Dial("tcp", callers.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	body := `{"model":"m","stream":true,"messages":[]}`
	_, err = fmt.Fprintf(caller, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	const interval = 200 * time.Millisecond
	for before := int64(-1); before != events.Load() || before == 0; time.Sleep(interval) {
		before = events.Load() // until all buffers on the path are full
	}

	srv.drain([]*listen.Listener{callers}, log)
	is.Equal(srv.Gate.InFlight(), int64(0))
	is.Equal((<-settled).Outcome, ledger.OutcomeUnknown)
}

// testServer returns a server with the components that a drain needs.
func testServer(clock clockwork.Clock, drainTimeout time.Duration, d gateway.Deps) server {
	members := peers.NewTable(&peerpb.Member{Instance: "e1", Domain: "fd-1", Address: "http://e1", Life: 1}, clock, nil)
	d.Gate = drain.NewGate(clock)
	return server{Settings: &settings.Entry{DrainTimeout: drainTimeout}, Gate: d.Gate, Log: d.Log, Members: members,
		Gossip:  peers.NewGossip(members, func() []string { return nil }, nil, d.Log),
		Watcher: configwatch.New(memkv.New(clock), clock, d.Log),
		Gateway: gateway.New(d), Pool: listen.NewPool(listen.PoolSettings{}), Report: listen.NewReport("server", d.Log, tally.NoopScope)}
}

// serveCallers starts the callers' listener of s.
func serveCallers(t *testing.T, s server) (callers *listen.Listener, url string) {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	callers = s.newListener("listen", "127.0.0.1:0", 0, s.callerRoutes)
	if err := callers.Start(s.Log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { callers.Close(0) })
	return callers, "http://" + callers.Addr().String()
}

// The stop timeout must cover all steps of a stop, whatever drain_timeout is.
func TestStopTimeoutCoversAllSteps(t *testing.T) {
	is := is.New(t)
	for _, d := range []time.Duration{time.Second, settings.DefaultDrainTimeout, 10 * time.Minute} {
		s := &settings.Entry{DrainTimeout: d}
		times := drainTimes(s)
		is.True(times.ServeAtLeast <= times.End)
		is.Equal(times.End, d)
		is.True(stopTimeout(s) >= d+drain.FlushTimeout+closeTimeout+claimsTimeout+ledgerTimeout)
	}
}
