package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
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

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/standin/engine"
)

const (
	testFirstToken = 3 * time.Second
	// callerGuard only stops a broken test from hanging; the verdict comes
	// from the fake clock, not from this wait.
	callerGuard = 10 * time.Second
)

type fixedTables struct{ t *route.Table }

func (f fixedTables) Table() *route.Table   { return f.t }
func (fixedTables) Refresh(context.Context) {}

type backendSpec struct {
	name, domain, kind, addr string
}

// oneModel is a configuration in which customer c may use m@v1, served by
// backends.
func oneModel(backends ...backendSpec) *config.Document {
	doc := &config.Document{
		Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {"*"}}}},
		Backends:  map[string]config.Backend{},
	}
	for _, b := range backends {
		doc.Backends[b.name] = config.Backend{Kind: b.kind, Address: b.addr, Domain: b.domain, Model: "m", Version: "v1"}
	}
	return doc
}

// newTestGateway serves a gateway in fd-1 over the given back ends of m@v1.
func newTestGateway(t *testing.T, fc clockwork.Clock, backends ...backendSpec) *httptest.Server {
	return serveGateway(t, testDeps(oneModel(backends...), fc))
}

// testDeps are the parts of a gateway in fd-1 under doc.
func testDeps(doc *config.Document, fc clockwork.Clock) Deps {
	return Deps{Instance: "e1", Life: 1, Domain: "fd-1", Tables: fixedTables{route.NewTable(1, doc)}, Endpoints: endpoints.NewTable(fc),
		Timeouts: Timeouts{FirstToken: testFirstToken, Idle: testFirstToken, Whole: testFirstToken}, Clock: fc,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope}
}

func serveGateway(t *testing.T, d Deps) *httptest.Server { return serve(t, New(d)) }

func serve(t *testing.T, g *Gateway) *httptest.Server {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	g.Register(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	return srv
}

func startEngine(t *testing.T, silent bool) string {
	e := engine.New(engine.Settings{Model: "m", Version: "v1"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	if silent {
		req, _ := http.NewRequest(http.MethodPut, srv.URL+"/fault", strings.NewReader(`{"silent":true}`))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	return strings.TrimPrefix(srv.URL, "http://")
}

type reply struct {
	status int
	header http.Header
	body   string
}

// ask sends a request in the background; the fake clock drives it.
func ask(srv *httptest.Server, stream bool) <-chan reply { return askModel(srv, "m", stream) }

func askModel(srv *httptest.Server, model string, stream bool) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":4,"messages":[{"role":"user","content":"hi"}]}`, model, stream)
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			out <- reply{status: -1, body: err.Error()}
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		out <- reply{status: resp.StatusCode, header: resp.Header, body: string(b)}
	}()
	return out
}

func await(t *testing.T, ch <-chan reply) reply {
	t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(callerGuard):
		t.Fatal("the caller is still waiting after the first-token timeout passed: silence")
		return reply{}
	}
}

// advancePastFirstToken waits until a watchdog is armed, then moves the
// fake clock past the first-token timeout.
func advancePastFirstToken(t *testing.T, fc *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callerGuard)
	defer cancel()
	if err := fc.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal("no watchdog was armed for the call: a silent back end would hold the caller forever")
	}
	fc.Advance(testFirstToken + time.Millisecond)
}

// TestSilentEngineIsRetriedElsewhere: symptom: a caller waits forever with
// nothing coming back. Sequence: the entry sends a streamed request to an
// engine whose connection has gone silent for good (it accepts and never
// answers); a healthy engine exists in another failure domain. Cause: no
// first-token timeout, so the call never ends. Here the watchdog gives up
// at the first-token timeout, and since nothing reached the caller and an
// engine may be asked again, the next engine answers whole.
func TestSilentEngineIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	srv := newTestGateway(t, fc,
		backendSpec{"silent", "fd-1", config.KindEngine, startEngine(t, true)},
		backendSpec{"healthy", "fd-2", config.KindEngine, startEngine(t, false)})
	ch := ask(srv, true)
	advancePastFirstToken(t, fc)
	a := await(t, ch)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get(openai.HeaderBackend), "healthy")
	is.True(strings.Contains(a.body, "data: [DONE]")) // whole answer
}

// TestSilentServiceIsNotRepeated: symptom: a pallet posting runs twice, or
// the caller hears nothing. Sequence: the only back end is a plain,
// non-idempotent service whose connection goes silent after the request
// was sent. Cause: retrying would risk a second posting; waiting would be
// silence. Here the entry answers at the first-token timeout, truthfully
// outcome_unknown (the posting may have run), with Retry-After, and sends
// the request nowhere else.
func TestSilentServiceIsNotRepeated(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	var calls atomic.Int32
	received := make(chan struct{}, 2)
	silentService := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			// Read the body: only then does net/http notice the caller
			// hanging up and end r.Context().
			_, _ = io.Copy(io.Discard, r.Body)
			received <- struct{}{}
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	srv := newTestGateway(t, fc,
		backendSpec{"posting", "fd-1", config.KindService, silentService()},
		backendSpec{"posting-2", "fd-1", config.KindService, silentService()})
	ch := ask(srv, false)
	select {
	case <-received: // the posting has reached a service: it may now run
	case <-time.After(callerGuard):
		t.Fatal("the request never reached the service")
	}
	advancePastFirstToken(t, fc)
	a := await(t, ch)
	is.Equal(a.status, http.StatusGatewayTimeout)
	var body openai.ErrorBody
	is.NoErr(json.Unmarshal([]byte(a.body), &body))
	is.Equal(body.Error.Type, openai.OutcomeUnknown) // never "not run": it may have run
	is.True(a.header.Get("Retry-After") != "")       // told when to come back, at once
	is.Equal(calls.Load(), int32(1))                 // at most once
}

// TestChunkOfAnotherRequestIsNeverRelayed: symptom: a caller reads part of
// someone else's answer. Sequence: a back end (through a bug or a mixed-up
// connection) streams a chunk whose id is another request's. Cause: a relay
// that copies bytes blindly. Here every chunk's id is checked against the
// request's; the stream is cut in band with outcome_unknown and the
// foreign chunk never reaches the caller.
func TestChunkOfAnotherRequestIsNeverRelayed(t *testing.T) {
	is := is.New(t)
	mixed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rid := r.Header.Get(openai.HeaderRequestID)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"mine \"}}]}\n\n", rid)
		fmt.Fprint(w, "data: {\"id\":\"someone-else\",\"choices\":[{\"delta\":{\"content\":\"SECRET\"}}]}\n\n")
		fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(mixed.Close)
	srv := newTestGateway(t, clockwork.NewFakeClock(), backendSpec{"mixed", "fd-1", config.KindEngine, strings.TrimPrefix(mixed.URL, "http://")})
	a := await(t, ask(srv, true))
	is.True(strings.Contains(a.body, "mine"))
	is.True(!strings.Contains(a.body, "SECRET"))
	is.True(strings.Contains(a.body, "mismatched_chunk"))
	is.True(!strings.Contains(a.body, "[DONE]")) // not presented as whole
}
