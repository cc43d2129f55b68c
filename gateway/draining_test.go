package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

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
