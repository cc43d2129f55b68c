package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against an entry that has not yet read the configuration answering 404 or 401
// after a start. It answers 503 with Retry-After.
func TestNothingIsDeniedBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	is.True(!w.server.Ready())
	a := w.do(http.MethodGet, "/get/x", "")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
}

func TestAdmission(t *testing.T) {
	w := newEnv(t, 1)
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"known key and route", "/get/x", key, http.StatusOK},
		{"unknown key", "/get/x", "other", http.StatusUnauthorized},
		{"no key", "/get/x", "", http.StatusUnauthorized},
		{"no route", "/nowhere/x", key, http.StatusNotFound},
		{"prefix without its slash", "/get", key, http.StatusNotFound},
		{"public route needs no key", "/open/x", "", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(w.do(http.MethodGet, tt.path, "", "X-Credential", tt.key).status, tt.status)
		})
	}
}

// Guards against the last key that is revoked, or the last customer that is removed, opening all routes.
func TestNoKeyIsAcceptedOnceTheLastOneIsRevoked(t *testing.T) {
	for _, customers := range [][]fleet.Customer{{{Name: "cust"}}, {}} {
		is := is.New(t)
		w := newEnv(t, 1)
		c := testConfig()
		c.Version, c.Customers, c.KeysRequired = c.Version+1, customers, true
		w.put("op/config", platformtest.EncodeConfig(c))
		w.sync()
		for _, k := range []string{key, "never known", ""} {
			is.Equal(w.do(http.MethodGet, "/get/x", "", "X-Credential", k).status, http.StatusUnauthorized)
		}
		is.Equal(w.do(http.MethodGet, "/open/x", "").status, http.StatusOK)
		is.Equal(len(w.runs()), 1)
	}
}

// A configuration without customers leaves all routes open.
func TestNoKeyIsNeededWithoutCustomers(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	c := testConfig()
	c.Version, c.Customers = c.Version+1, nil
	w.put("op/config", platformtest.EncodeConfig(c))
	w.sync()
	is.Equal(w.do(http.MethodGet, "/get/x", "").status, http.StatusOK)
}

func TestABodyBeyondTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	is.Equal(w.do(http.MethodPost, "/post/x", strings.Repeat("b", 65<<10)).status, http.StatusRequestEntityTooLarge)
	is.Equal(len(w.runs()), 0)
}

// Guards against a caller acting for another customer, or reserving engine memory, by
// sending headers that only the system sets. Its key is not forwarded.
func TestSystemHeadersFromCallersAreDropped(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	var got http.Header
	w.engines[0].FaultOf = func(r *http.Request) platformtest.Fault {
		got = r.Header.Clone()
		return platformtest.NoFault
	}
	a := w.do(http.MethodPost, "/post/a%2Fb?q=1", "body", "X-Tenant", "other", "X-Hold", "h", "X-Pin-Duration", "1", "X-Kv-Backup", "1.2.3.4:5",
		"Kv-From", "x", "Kv-Fetch", "x", "X-Request-Priority", "0", "X-Expect-Instance", "e9", "X-Other", "kept", "Connection", "X-Dropped", "X-Dropped", "1")
	a.assertComplete(is)
	run := w.runs()[0]
	is.Equal(run.Customer, "cust")
	is.Equal(run.Key, "")
	is.Equal(run.Target, "/post/a%2Fb?q=1") // forwarded as it was sent
	for _, name := range []string{"X-Hold", "X-Pin-Duration", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Request-Priority", "X-Dropped", "X-Credential"} {
		is.Equal(got.Get(name), "") // set by the caller, not by the system
	}
	is.Equal(got.Get("X-Other"), "kept")
	is.Equal(got.Get("X-Expect-Instance"), "e1")
	is.Equal(got.Get("X-Attempt-Id"), "a1")
}

// An endpoint gets the remaining time, at most the route's timeout.
func TestTheDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.do(http.MethodPost, "/quick/x", "body", "X-Deadline-Remaining", "60000").assertComplete(is)
	left := w.runs()[0].Remaining
	is.True(left > 0)
	is.True(left.Milliseconds() <= 300) // the route's timeout
}

// Guards against a flood of requests exhausting the memory of the process, so that it
// is killed with all that it serves. Requests beyond MaxInFlight are refused at once;
// when some have ended, others are served.
func TestRequestsBeyondMaxInFlightAreRefused(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(slices.Repeat([]platformtest.Fault{platformtest.Hang}, 20)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	for range 20 {
		go func() {
			resp, err := http.DefaultClient.Do(w.request(http.MethodPost, "/post/x", "body").WithContext(ctx))
			if err == nil {
				resp.Body.Close()
			}
			done <- struct{}{}
		}()
	}
	waitFor(t, func() bool { return len(w.runs()) == 20 })
	a := w.do(http.MethodPost, "/post/x", "body")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	cancel()
	for range 20 {
		<-done
	}
	waitFor(t, func() bool { return w.gate.InFlight() == 0 })
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
}

// A body of unknown length is bounded as well.
func TestAChunkedBodyBeyondTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	req := w.request(http.MethodPost, "/post/x", "")
	req.Body = io.NopCloser(io.LimitReader(zeros{}, 1<<20))
	req.ContentLength = -1
	resp, err := http.DefaultClient.Do(req)
	if err == nil { // the entry may close while the rest is on its way
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		resp.Body.Close()
	}
	is.Equal(len(w.runs()), 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against refusing callers that retry right after all entries were killed, and
// retry only once. The entry listens before it has read the configuration; a request
// that comes in between waits for it, which takes milliseconds.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1"})
	answered := make(chan answer)
	go func() { answered <- w.do(http.MethodGet, "/get/x", "") }()
	for w.gate.InFlight() == 0 {
		runtime.Gosched()
	}
	w.sync()
	(<-answered).assertComplete(is)
}

// Guards against bodies that arrive at the same time taking more memory than bodies may.
func TestBodiesOnTheirWayAreCounted(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		is := is.New(t)
		w := newEnv(t, 1)
		w.engines[0].Config.Work = time.Second // bodies are in memory until all have come
		const size = 60 << 10                  // 17 fill the memory that is set aside for bodies
		var refused, answered atomic.Int64
		var begun, wg sync.WaitGroup
		begun.Add(40)
		for i := range 40 {
			wg.Go(func() {
				r, pipe := io.Pipe()
				defer r.Close()
				req := w.request(http.MethodPost, "/get/x", "", "X-Attempt-Id", fmt.Sprintf("a%d", i))
				req.Body, req.ContentLength = r, size
				if chunked {
					req.ContentLength = -1
				}
				go func() {
					_, _ = pipe.Write(make([]byte, size-1))
					begun.Done()
					begun.Wait()
					_, _ = pipe.Write([]byte{0})
					_ = pipe.Close()
				}()
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return // refused before the body was read
				}
				defer resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		is.True(answered.Load() <= (1<<20)/size)
		is.True(refused.Load() > 0)
	}
}
