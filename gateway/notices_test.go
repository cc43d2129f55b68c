package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/engine"
)

// Guards against requests to a back end that serves them, but says in its answers that it drains.
func TestDrainingBackEndThatStillServesGetsNoRequests(t *testing.T) {
	is := is.New(t)
	var drainingGot, otherGot atomic.Int64
	start := func(got *atomic.Int64, header string) string {
		e := engine.New(engine.Settings{Model: "m", Version: "v1"}, slog.New(slog.DiscardHandler)).Handler()
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got.Add(1)
			if header != "" {
				w.Header().Set(header, "true")
			}
			e.ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	srv := serveGateway(t, testDeps(oneModelConfig(
		backendSpec{name: "b0", domain: "fd-1", kind: "engine", addr: start(&drainingGot, openai.HeaderDraining)},
		backendSpec{name: "b1", domain: "fd-1", kind: "engine", addr: start(&otherGot, "")}), clockwork.NewFakeClock()))
	for i := range 20 {
		is.Equal(postPrompt(t, srv, fmt.Sprint("prompt ", i), false).StatusCode, http.StatusOK)
	}
	is.True(drainingGot.Load() <= 1)
}

// Guards against requests to a back end that asked this entry for a rest, and against a Retry-After that ends before it.
func TestRestingBackEndGetsNoRequests(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	var got atomic.Int64
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(back.Close)
	srv := serveGateway(t, testDeps(oneModelConfig(backendSpec{name: "b0", domain: "fd-1", kind: "engine", addr: strings.TrimPrefix(back.URL, "http://")}), fc))
	postPrompt(t, srv, "prompt", false)
	for range 5 {
		fc.Advance(5 * time.Second)
		is.Equal(postPrompt(t, srv, "prompt", false).StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(got.Load(), int64(1))
	is.Equal(postPrompt(t, srv, "prompt", false).Header.Get("Retry-After"), "5")
}
