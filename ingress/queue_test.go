package ingress_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/admission"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// setQueue has the requests of an entry wait for capacity.
func (w *testEnv) setQueue(maxWaiting int) {
	w.server.Queue = admission.New(admission.Deps{MaxWaiting: maxWaiting, MaxBytes: 1 << 18, Stopping: w.gate.Stopping,
		Capacity: func(service string) admission.Capacity { return ingress.QueueCapacity(w.fleet.View(), service) },
		Clock:    clockwork.NewRealClock(), Log: slog.New(slog.NewJSONHandler(w.logs, nil)), Scope: tally.NoopScope})
}

// waiting returns how many requests wait at the entry.
func (w *testEnv) waiting() (n int) {
	for _, s := range w.server.Queue.State() {
		n += s.Waiting
	}
	return n
}

// newQueueEnv starts an entry with a queue and one engine that holds one request.
func newQueueEnv(t *testing.T, c platformtest.EngineConfig) *testEnv {
	t.Helper()
	w := newUnconfiguredEnv(t)
	w.setQueue(admission.DefaultMaxWaiting)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	c.ID, c.Service, c.Domain, c.Version, c.Slots, c.Capacity = "e1", service, "d1", "v1", 1, 1
	w.addEngine(c)
	w.sync()
	return w
}

// sendAsync sends a request with the given id.
func (w *testEnv) sendAsync(path, id string) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- w.do(http.MethodPost, path, "body", "X-Attempt-Id", id) }()
	return got
}

// occupy has the engine hold a request that is not answered until the end of the test.
func (w *testEnv) occupy() <-chan answer {
	w.t.Helper()
	w.faults(platformtest.Hang)
	got := w.sendAsync("/post/x", "holder")
	waitFor(w.t, func() bool { return len(w.runs()) == 1 })
	return got
}

// Guards against requests that are refused, or that run twice, though a slot is free soon.
func TestRequestsWaitForASlot(t *testing.T) {
	for _, path := range []string{"/post/x", "/get/x", "/once/stream", "/resume/stream"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			w := newQueueEnv(t, platformtest.EngineConfig{Work: 50 * time.Millisecond})
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Go(func() {
					if got := <-w.sendAsync(path, fmt.Sprint("r", i)); got.status != http.StatusOK {
						t.Errorf("request %d: %+v", i, got)
					}
				})
			}
			wg.Wait()
			is.Equal(len(w.runs()), 4)
			is.Equal(w.waiting(), 0)
			waitFor(t, func() bool { return strings.Count(w.logs.String(), "request ended") == 4 })
			is.True(strings.Contains(w.logs.String(), `"waited_ms"`))
			is.True(strings.Contains(w.logs.String(), "admission: requests of a service wait for capacity."))
		})
	}
}

// Guards against requests that wait when a stop ends getting no answer, or one that says that they may
// have run.
func TestWaitingRequestsAreRefusedAtTheEndOfAStop(t *testing.T) {
	for _, path := range []string{"/post/x", "/once/stream"} {
		is := is.New(t)
		w := newQueueEnv(t, platformtest.EngineConfig{})
		holder := w.occupy()
		got := w.sendAsync(path, "waits")
		waitFor(t, func() bool { return w.waiting() == 1 })
		w.endStop()
		a := <-got
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.body, "stopping"))
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(len(w.runs()), 1)
		<-holder
	}
}

// Guards against requests of callers that have left keeping their places.
func TestRequestsOfCallersThatLeaveAreRemoved(t *testing.T) {
	is := is.New(t)
	w := newQueueEnv(t, platformtest.EngineConfig{})
	w.occupy()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(w.request(http.MethodPost, "/get/x", "body", "X-Attempt-Id", "leaves").WithContext(ctx))
		done <- err
	}()
	waitFor(t, func() bool { return w.waiting() == 1 })
	cancel()
	is.True(<-done != nil)
	waitFor(t, func() bool { return w.waiting() == 0 })
	waitFor(t, func() bool { return strings.Contains(w.logs.String(), `"outcome":"caller_left"`) })
	is.Equal(len(w.runs()), 1)
}

// Guards against requests that wait for endpoints that are gone.
func TestWaitingRequestsAreRefusedWhenAllEndpointsAreGone(t *testing.T) {
	is := is.New(t)
	w := newQueueEnv(t, platformtest.EngineConfig{})
	w.occupy()
	var all []<-chan answer
	for i, path := range []string{"/get/x", "/once/stream", "/post/x"} {
		all = append(all, w.sendAsync(path, fmt.Sprint("r", i)))
	}
	waitFor(t, func() bool { return w.waiting() == 3 })
	began := time.Now()
	w.put(w.engines[0].Registration(true))
	w.sync()
	for _, got := range all {
		a := <-got
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.body, "no_endpoint"))
	}
	is.True(time.Since(began) < 500*time.Millisecond)
	is.Equal(len(w.runs()), 1)
}

// Guards against requests that wait at an entry which reaches no endpoint.
func TestWaitingRequestsAreRefusedWhenTheEntryIsStranded(t *testing.T) {
	is := is.New(t)
	w := newQueueEnv(t, platformtest.EngineConfig{})
	for i := range 7 { // so that an entry may take itself for cut off
		w.addEngine(platformtest.EngineConfig{ID: fmt.Sprint("f", i), Service: service, Domain: "d1", Version: "v1", Slots: 1})
	}
	w.sync()
	for _, e := range w.engines {
		e.FaultOf = func(*http.Request) platformtest.Fault { return platformtest.Refuse }
	}
	got := make([]<-chan answer, 4)
	for i := range got {
		got[i] = w.sendAsync("/resume/stream", fmt.Sprint("r", i))
	}
	waitFor(t, func() bool { return w.waiting() > 0 })
	w.link.set(linkRefuses) // a send that is under way is still answered, and has not run
	stranded := 0
	for _, g := range got {
		a := <-g
		is.Equal(a.status, http.StatusServiceUnavailable)
		if strings.Contains(a.body, "entry_stranded") {
			is.True(a.last)
			stranded++
		}
	}
	is.True(stranded > 0)
	is.Equal(len(w.runs()), 0)
	is.Equal(w.waiting(), 0)
}

// Guards against queues that grow beyond their bound, and against callers that come back at once and get a
// place for it.
func TestRequestsBeyondTheBoundAreToldWhenToComeBack(t *testing.T) {
	is := is.New(t)
	w := newQueueEnv(t, platformtest.EngineConfig{})
	w.setQueue(2)
	w.occupy()
	for i := range 2 {
		w.sendAsync("/get/x", fmt.Sprint("r", i))
		waitFor(t, func() bool { return w.waiting() == i+1 })
	}
	began := time.Now()
	first := w.do(http.MethodPost, "/get/x", "body", "X-Attempt-Id", "again")
	is.True(time.Since(began) < time.Second/8)
	is.Equal(first.status, http.StatusServiceUnavailable)
	second := w.do(http.MethodPost, "/get/x", "body", "X-Attempt-Id", "again")
	is.Equal(second.status, http.StatusServiceUnavailable)
	at := func(a answer) float64 {
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		return after
	}
	is.True(at(first) >= 0.05)
	is.True(at(first) <= 5.0/3)
	is.True(at(second) <= at(first)) // the moment is the same
	waitFor(t, func() bool { return strings.Contains(w.logs.String(), `"not_queued":"queue_full"`) })
	waitFor(t, func() bool { return strings.Contains(w.logs.String(), `"not_queued":"back_too_early"`) })
	is.Equal(w.waiting(), 2)
}

// Guards against a request that waits at the entry it was handed to, and then where it came from, and against
// its being refused though the rest ends soon.
func TestHandedOffRequestsWaitWhereTheirCallersAre(t *testing.T) {
	is := is.New(t)
	f := newCluster(t, 2, clockwork.NewRealClock())
	for _, e := range f.all {
		e.setQueue(admission.DefaultMaxWaiting)
	}
	e := f.all[0].addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", RetryAfter: "0.3"})
	f.sync()
	f.all[0].faults(platformtest.Refuse, platformtest.Refuse) // of each entry
	got := f.send(0, "/get/x", "body")
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(e.Runs()), 1)
	is.Equal(e.Arrivals(), 3)
	waitFor(t, func() bool { return strings.Contains(f.all[0].logs.String(), `"waited_ms"`) })
	is.True(!strings.Contains(f.all[1].logs.String(), `"waited_ms"`))
}

// Guards against requests that are cut off at the entry that stops though another one serves them.
func TestWaitingRequestsAreHandedOnWhenTheEntryStops(t *testing.T) {
	is := is.New(t)
	f := newCluster(t, 2, clockwork.NewRealClock())
	f.all[0].setQueue(admission.DefaultMaxWaiting)
	e := f.all[0].addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Slots: 1, Capacity: 1})
	f.sync()
	var mu sync.Mutex
	refuses := true
	e.FaultOf = func(*http.Request) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if refuses {
			return platformtest.Refuse
		}
		return platformtest.NoFault
	}
	got := f.all[0].sendAsync("/resume/stream", "waits")
	waitFor(t, func() bool { return f.all[0].waiting() == 1 })
	mu.Lock()
	refuses = false
	mu.Unlock()
	f.all[0].gate.Begin(drain.Times{AcceptAllFor: time.Second, ServeAtLeast: time.Second, End: 20 * time.Second})
	a := <-got
	is.Equal(a.status, http.StatusOK)
	is.Equal(len(e.Runs()), 1)
}

// Guards against requests that are refused though a limit has room again within their objective.
func TestRequestsWaitForALimit(t *testing.T) {
	is := is.New(t)
	w := newUnconfiguredEnv(t)
	w.setQueue(admission.DefaultMaxWaiting)
	w.put("op/config", platformtest.EncodeConfig(testConfig()))
	e := w.addEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1"})
	e.SetLimit(8)
	w.sync()
	answered, waits := 0, `"waited_ms"`
	for i := 0; i < 40 && !strings.Contains(w.logs.String(), waits); i++ {
		got := <-w.sendAsync("/resume/stream", fmt.Sprint("r", i))
		is.Equal(got.status, http.StatusOK)
		answered++
	}
	is.True(strings.Contains(w.logs.String(), waits))
	is.Equal(len(w.runs()), answered)
}

// Guards against requests that wait though waiting is turned off, and against a constant Retry-After then.
func TestNoRequestWaitsWhenWaitingIsOff(t *testing.T) {
	is := is.New(t)
	w := newQueueEnv(t, platformtest.EngineConfig{})
	w.setQueue(0)
	w.occupy()
	told := map[string]bool{}
	for i := range 4 {
		began := time.Now()
		got := w.do(http.MethodPost, "/post/x", "body", "X-Attempt-Id", fmt.Sprint("r", i))
		is.True(time.Since(began) < time.Second/8)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "endpoints_full"))
		told[got.header.Get("Retry-After")] = true
	}
	is.True(len(told) > 2)
	is.True(!strings.Contains(w.logs.String(), "waited_ms"))
}
