package ingress_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Symptom: after a start, callers are told that their routes do not exist.
// Events: a request comes before the entry has read the configuration.
// An entry that knows nothing says that it cannot tell now, never 404 or 401.
func TestBeforeAConfigurationNothingIsDenied(t *testing.T) {
	is := is.New(t)
	w := newEmptyWorld(t)
	is.True(!w.server.Ready())
	a := w.do(http.MethodGet, "/get/x", "")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
}

func TestAdmission(t *testing.T) {
	w := newWorld(t, 1)
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

func TestABodyBeyondTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	is.Equal(w.do(http.MethodPost, "/post/x", strings.Repeat("b", 65<<10)).status, http.StatusRequestEntityTooLarge)
	is.Equal(len(w.runs()), 0)
}

// Symptom: a caller acts for another customer, or reserves engines' memory.
// Events: it sends headers that only the system sets; its key goes no further.
func TestWhatOnlyTheSystemSetsIsNotTakenFromCallers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	var got http.Header
	w.engines[0].FaultOf = func(r *http.Request) platformtest.Fault {
		got = r.Header.Clone()
		return platformtest.NoFault
	}
	a := w.do(http.MethodPost, "/post/a%2Fb?q=1", "body", "X-Tenant", "other", "X-Hold", "h", "X-Pin-Duration", "1", "X-Kv-Backup", "1.2.3.4:5",
		"Kv-From", "x", "Kv-Fetch", "x", "X-Request-Priority", "0", "X-Expect-Instance", "e9", "X-Other", "kept", "Connection", "X-Dropped", "X-Dropped", "1")
	a.whole(is)
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

// An endpoint is told what is left, never more than the route allows.
func TestTheDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.do(http.MethodPost, "/quick/x", "body", "X-Deadline-Remaining", "60000").whole(is)
	left := w.runs()[0].Remaining
	is.True(left > 0)
	is.True(left.Milliseconds() <= 300) // the route's timeout
}

// Symptom: a flood of requests takes the process's memory, and it is killed
// with all that it serves.
// Events: more requests wait at endpoints than the entry holds at a time.
// Those beyond are refused at once; as soon as some end, others are served.
func TestAFloodIsRefusedBeyondTheBound(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
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
	w.do(http.MethodPost, "/post/x", "body").whole(is)
}

// A body whose length nobody has told is bounded all the same.
func TestAChunkedBodyBeyondTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
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

// Symptom: callers that come right after all entries were killed are refused,
// and do not come again.
// Events: an entry listens before it has read the configuration; a request
// comes in between.
// It waits for the configuration, which is there within milliseconds.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w := newEmptyWorld(t)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1"})
	answered := make(chan answer)
	go func() { answered <- w.do(http.MethodGet, "/get/x", "") }()
	for w.gate.InFlight() == 0 {
		runtime.Gosched()
	}
	w.sync()
	(<-answered).whole(is)
}
