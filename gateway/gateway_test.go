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
	// testTimeout only keeps a broken test from hanging; the result depends on the
	// fake clock, not on this wait.
	testTimeout = 10 * time.Second
)

type fixedTables struct{ t *route.Table }

func (f fixedTables) Table() *route.Table   { return f.t }
func (fixedTables) Refresh(context.Context) {}

type backendSpec struct {
	name, domain, kind, addr string
}

// oneModelConfig is a configuration in which customer c may use m@v1, served by
// backends.
func oneModelConfig(backends ...backendSpec) *config.Document {
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

// newTestGateway serves a gateway in fd-1 with the given back ends of m@v1.
func newTestGateway(t *testing.T, fc clockwork.Clock, backends ...backendSpec) *httptest.Server {
	return serveGateway(t, testDeps(oneModelConfig(backends...), fc))
}

// testDeps are the dependencies of a gateway in fd-1 with configuration doc.
func testDeps(doc *config.Document, fc clockwork.Clock) Deps {
	return Deps{Instance: "e1", Incarnation: 1, Domain: "fd-1", Tables: fixedTables{route.NewTable(1, doc)}, Endpoints: endpoints.NewTable(fc),
		Timeouts: Timeouts{FirstToken: testFirstToken, Idle: testFirstToken, Unary: testFirstToken}, Clock: fc,
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

// ask sends a request in the background, so that the test can advance the fake clock.
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
	case <-time.After(testTimeout):
		t.Fatal("the caller got no response after the first-token timeout")
		return reply{}
	}
}

// advancePastFirstToken waits until a watchdog is armed, then advances the fake
// clock past the first-token timeout.
func advancePastFirstToken(t *testing.T, fc *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := fc.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal("no watchdog was armed for the call: with a silent back end the caller would wait forever")
	}
	fc.Advance(testFirstToken + time.Millisecond)
}

// Guards against a caller that waits forever because an engine accepts a streamed
// request and never answers. The watchdog must end the call at the first-token
// timeout. Since nothing has reached the caller and requests to engines may be
// repeated, the healthy engine in another failure domain must then answer.
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
	is.True(strings.Contains(a.body, "data: [DONE]")) // complete answer
}

// Guards against a pallet posting that runs twice, or a caller that waits forever,
// when the connection to a non-idempotent service goes silent after the request
// was sent. The entry must answer outcome_unknown with Retry-After at the
// first-token timeout, as the posting may have run, and send it nowhere else.
func TestSilentServiceIsNotRepeated(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	var calls atomic.Int32
	received := make(chan struct{}, 2)
	silentService := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			// net/http detects a disconnect of the caller, and ends
			// r.Context(), only once the body is read.
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
	case <-received: // the request has reached a service and may run
	case <-time.After(testTimeout):
		t.Fatal("the request never reached the service")
	}
	advancePastFirstToken(t, fc)
	a := await(t, ch)
	is.Equal(a.status, http.StatusGatewayTimeout)
	var body openai.ErrorBody
	is.NoErr(json.Unmarshal([]byte(a.body), &body))
	is.Equal(body.Error.Type, openai.OutcomeUnknown) // never "not run": it may have run
	is.True(a.header.Get("Retry-After") != "")       // told when to retry
	is.Equal(calls.Load(), int32(1))                 // at most once
}

// Guards against a caller reading part of another caller's answer because a back
// end, through a bug or a mixed-up connection, streams a chunk with another
// request's id. Every chunk's id must be checked; the stream must end in band with
// outcome_unknown, and the other request's chunk must not be relayed.
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
	is.True(!strings.Contains(a.body, "[DONE]")) // not presented as complete
}
