package gateway

import (
	"context"
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

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/standin/engine"
)

// startLimitedEngine starts an engine that advertises a rate limit, and counts its requests.
func startLimitedEngine(t *testing.T, limit string, got *atomic.Int64) string {
	t.Helper()
	e := engine.New(engine.Settings{Model: "m", Version: "v1"}, slog.New(slog.DiscardHandler)).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		if limit != "" {
			w.Header().Set(openai.HeaderRateLimit, limit)
		}
		e.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// entryOwners asks the entries of a test as owners of limits.
type entryOwners map[string]*ratelimit.Limits

func (o entryOwners) TakeLimit(_ context.Context, owner fleet.Entry, ask ratelimit.Ask) (ratelimit.Verdict, error) {
	return o[owner.Instance].Grant(ask), nil
}

// Guards against each entry using the whole rate limit of a back end, and against
// a rate limit that is left unused by entries that do not own it.
func TestABackEndsLimitIsSharedByEntries(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	const limit, duration = 2.0, 20 * time.Second
	var limitedGot, otherGot atomic.Int64
	backends := []backendSpec{
		{name: "b0", domain: "fd-1", kind: "engine", addr: startLimitedEngine(t, fmt.Sprint(limit), &limitedGot)},
		{name: "b1", domain: "fd-1", kind: "engine", addr: startLimitedEngine(t, "", &otherGot)},
	}
	var servers []*httptest.Server
	var limits []*ratelimit.Limits
	owners := entryOwners{}
	for n := range 3 {
		d := testDeps(oneModelConfig(backends...), fc)
		name := fmt.Sprint("e", n)
		d.Limits = ratelimit.New(ratelimit.Deps{Instance: name, Entries: func() []fleet.Entry { return nil }, Owners: owners,
			OwnerOf: func(fleet.Endpoint) fleet.Entry { return fleet.Entry{Instance: "e0"} }, Clock: fc, Log: d.Log})
		owners[name] = d.Limits
		servers, limits = append(servers, serveGateway(t, d)), append(limits, d.Limits)
	}
	served := 0
	for i := range int(duration / (50 * time.Millisecond)) {
		if postPrompt(t, servers[1+i%2], fmt.Sprint("prompt ", i), false).StatusCode == http.StatusOK {
			served++
		}
		for _, l := range limits {
			l.Merge(limits[0].Reports())
		}
		fc.Advance(50 * time.Millisecond)
	}
	maxRequests := limit*duration.Seconds() + 5
	is.True(float64(limitedGot.Load()) <= maxRequests)
	is.True(float64(limitedGot.Load()) >= 0.9*limit*duration.Seconds())
	is.Equal(int64(served), limitedGot.Load()+otherGot.Load()) // the other back end serves the rest
}

// Guards against requests that are sent in vain, or refused without Retry-After,
// while all back ends are at their rate limits.
func TestRequestsBeyondAllBackEndsLimitsAreRefused(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	var got atomic.Int64
	d := testDeps(oneModelConfig(backendSpec{name: "b0", domain: "fd-1", kind: "engine", addr: startLimitedEngine(t, "0.5", &got)}), fc)
	d.Limits = ratelimit.New(ratelimit.Deps{Entries: func() []fleet.Entry { return nil }, Clock: fc, Log: d.Log})
	srv := serveGateway(t, d)
	var last *http.Response
	for range 10 {
		last = postPrompt(t, srv, "hi", false)
	}
	is.Equal(last.StatusCode, http.StatusServiceUnavailable)
	is.Equal(last.Header.Get("Retry-After"), "2")
	is.True(got.Load() <= 4)
}
