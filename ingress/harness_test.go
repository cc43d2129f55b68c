package ingress_test

import (
	"context"
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
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/slowstart"
)

// The test set-up: a host with one route of each kind, all to one service of a few
// engines.
const (
	host    = "shop.example"
	service = "svc"
	key     = "key-1"
	smallM  = "small"
	largeM  = "large"
)

func testConfig() *fleet.Config {
	to := []fleet.Target{{Service: service, Weight: 1}}
	return &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "post", Host: host, Prefix: "/post/", Kind: fleet.NonIdempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 1, Targets: to},
			{Name: "get", Host: host, Prefix: "/get/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 3, Targets: to},
			{Name: "quick", Host: host, Prefix: "/quick/", Kind: fleet.NonIdempotent, Timeout: 300 * time.Millisecond, Objective: 100 * time.Millisecond, MaxAttempts: 1, Targets: to},
			{Name: "once", Host: host, Prefix: "/once/", Kind: fleet.Streaming, Timeout: 10 * time.Second, Objective: time.Second, MaxGap: time.Second, MaxAttempts: 3, Targets: to},
			{Name: "stream", Host: host, Prefix: "/resume/", Kind: fleet.Streaming, Timeout: 10 * time.Second, Objective: 4 * time.Second, MaxGap: time.Second, MaxAttempts: 3, Resumable: true, Targets: to},
			{Name: "sized", Host: host, Prefix: "/sized/", Kind: fleet.Streaming, Timeout: 10 * time.Second, Objective: 4 * time.Second, MaxGap: time.Second, MaxAttempts: 3, Resumable: true, Models: []string{smallM, largeM}, Targets: to},
			{Name: "open", Host: host, Prefix: "/open/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Public: true, Targets: to},
		},
		Services:  map[string]fleet.Service{service: {Name: service}},
		Customers: []fleet.Customer{{Name: "cust", Keys: []string{key}}},
		Limits:    fleet.Limits{HeaderBytes: 16384, BodyBytes: 64 << 10},
	}
}

type testEnv struct {
	t                 *testing.T
	kv                *memkv.Store
	fleet             *fleet.Follower
	engines           []*platformtest.Engine
	server            *ingress.Server
	gate              *drain.Gate
	gateClock         *clockwork.FakeClock
	rolloutController *rollout.Controller
	quarantine        *quarantine.Table
	limits            *ratelimit.Limits
	concurrency       *concurrency.Limiter
	loads             *mesh.LoadExchange
	link              *link // to all endpoints
	egress            *egress.Dialer
	url               string
	logs              *logBuffer
}

// logBuffer collects the log; it is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newEnv starts n engines, which may be 0, and an entry that knows them and the
// configuration.
func newEnv(t *testing.T, n int) *testEnv {
	t.Helper()
	w := newUnconfiguredEnv(t)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	for i := range n {
		w.addEngine(platformtest.EngineConfig{ID: "e" + string(rune('1'+i)), Service: service, Domain: "d1", Version: "v1"})
	}
	w.sync()
	return w
}

func newUnconfiguredEnv(t *testing.T) *testEnv {
	t.Helper()
	clock := clockwork.NewRealClock()
	return newEnvWithStore(t, memkv.New(clock), clock, "i1")
}

// newEnvWithStore starts an entry that has not read its store yet.
func newEnvWithStore(t *testing.T, store *memkv.Store, clock clockwork.Clock, name string) *testEnv {
	t.Helper()
	return newEnvInDomain(t, store, clock, name, "d1")
}

// newEnvInDomain is newEnvWithStore for an entry of a failure domain.
func newEnvInDomain(t *testing.T, store *memkv.Store, clock clockwork.Clock, name, domain string) *testEnv {
	t.Helper()
	w := &testEnv{t: t, kv: store, link: newLink(), logs: &logBuffer{}}
	log := slog.New(slog.NewJSONHandler(w.logs, nil))
	w.fleet = fleet.NewFollower(fleet.Entry{Instance: name, Domain: domain}, w.kv, platform.Values{}, time.Second, clock, log)
	board := place.NewBoard(clock)
	rollouts := rollout.New(rollout.Deps{Instance: name, Boot: 1, Store: w.kv, Decoder: platform.Values{}, View: w.fleet.View,
		SessionLife: 5 * time.Second, Exposure: rollout.Exposure{Share: 0.15, Slack: 30}, Clock: clock, Log: log})
	w.rolloutController = rollouts
	w.quarantine = quarantine.New(quarantine.Deps{Store: w.kv, View: w.fleet.View, Clock: clock, Log: log})
	w.limits = ratelimit.New(ratelimit.Deps{Instance: name, Domain: domain, Entries: func() []fleet.Entry { return w.fleet.View().Entries },
		Owners: mesh.NewLimitOwners(), Clock: clock, Log: log})
	w.concurrency = concurrency.New(concurrency.Deps{Instance: name, Entries: func() []fleet.Entry { return w.fleet.View().Entries }, Owners: mesh.NewLimitOwners(), Clock: clock, Log: log})
	budget := retry.New(retry.Bounds{Ratio: 0.9, Extra: 50, Window: 10 * time.Second}, func() int { return 1 }, clock)
	w.egress = egress.NewDialer(egress.Deps{Instance: name, Domain: domain, View: w.fleet.View, Dial: w.link.dial, OnDown: board.Reinstate, Clock: clock, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go w.egress.Run(ctx)
	go w.concurrency.Run(ctx)
	w.gateClock = clockwork.NewFakeClock()
	w.gate = drain.NewGate(w.gateClock)
	w.server = ingress.New(ingress.Deps{Instance: name, Domain: domain, Fleet: w.fleet, HeaderCodec: platform.Headers{}, Board: board, Rates: place.NewRates(),
		Budget: budget, Rollouts: rollouts, Quarantine: w.quarantine, Limits: w.limits, Concurrency: w.concurrency,
		SlowStart: slowstart.New(slowstart.Deps{Instance: name, Entries: func() []fleet.Entry { return w.fleet.View().Entries }, Clock: clock}), EscalationPolicy: cascade.EscalationPolicy{MinConfidence: cascade.DefaultMinConfidence}, Gate: w.gate, BodyMemory: membudget.New(1 << 20), MaxInFlight: 20, LapsedGrace: time.Second, Egress: w.egress,
		Clock: clock, Log: log, Scope: tally.NoopScope})
	srv := httptest.NewServer(w.server.Handler())
	t.Cleanup(srv.Close)
	w.url = srv.URL
	w.loads = mesh.NewLoadExchange(mesh.LoadExchangeDeps{Instance: name, Domain: domain, Fleet: w.fleet, Board: board, Budget: budget, Limits: w.limits, Clock: clock, Log: log})
	return w
}

func (w *testEnv) put(key string, value []byte) {
	w.t.Helper()
	if _, err := w.kv.Put(context.Background(), key, value, 0); err != nil {
		w.t.Fatal(err)
	}
}

// addEngine starts an engine and registers it; sync makes it known to the entry.
func (w *testEnv) addEngine(c platformtest.EngineConfig) *platformtest.Engine {
	w.t.Helper()
	e := platformtest.NewEngine(c)
	srv := httptest.NewServer(e)
	w.t.Cleanup(srv.Close)
	e.Config.Address = strings.TrimPrefix(srv.URL, "http://")
	w.put(e.Registration(false))
	w.engines = append(w.engines, e)
	return e
}

// sync loads the content of the store into the entry.
func (w *testEnv) sync() {
	w.t.Helper()
	rev, items, err := w.kv.Get(context.Background(), "", true)
	if err != nil {
		w.t.Fatal(err)
	}
	c := fleet.Changes{Revision: rev, Whole: true}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	w.fleet.Merge("test", c, 0)
}

// faults injects faults in order: the nth request sent to any engine gets the nth
// fault, later ones none.
func (w *testEnv) faults(f ...platformtest.Fault) {
	var n atomic.Int64
	for _, e := range w.engines {
		e.FaultOf = func(*http.Request) platformtest.Fault {
			if i := int(n.Add(1)) - 1; i < len(f) {
				return f[i]
			}
			return platformtest.NoFault
		}
	}
}

// runs returns all runs at all engines.
func (w *testEnv) runs() []platformtest.Run {
	var out []platformtest.Run
	for _, e := range w.engines {
		out = append(out, e.Runs()...)
	}
	return out
}

type answer struct {
	status int
	header http.Header
	body   string
	last   bool  // of its connection
	err    error // reading the body
}

func (w *testEnv) request(method, path, body string, header ...string) *http.Request {
	w.t.Helper()
	req, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", "a1")
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Deadline-Remaining", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (w *testEnv) do(method, path, body string, header ...string) answer {
	w.t.Helper()
	resp, err := http.DefaultClient.Do(w.request(method, path, body, header...))
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(raw), resp.Close, err}
}

// assertComplete checks that an answer is the complete answer to request a1.
func (a answer) assertComplete(is *is.I) {
	is.Helper()
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "answer to a1")
	is.True(a.header.Get("X-Response-Seal") != "") // the engine's seal is forwarded
}

// assertCompleteStream checks that an answer has all events of a stream.
func (a answer) assertCompleteStream(is *is.I) {
	is.Helper()
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, platformtest.WholeStream(0, 5))
}
