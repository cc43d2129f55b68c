package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
)

// manualClock is a fake clock whose watchdogs fire when the test calls fire, so
// that no result depends on the speed of the machine.
type manualClock struct {
	*clockwork.FakeClock
	mu   sync.Mutex
	last *manualTimer
}

type manualTimer struct {
	f       func()
	stopped bool
}

func (*manualTimer) Chan() <-chan time.Time   { return nil }
func (*manualTimer) Reset(time.Duration) bool { return true }
func (t *manualTimer) Stop() bool             { t.stopped = true; return true }

func (c *manualClock) AfterFunc(_ time.Duration, f func()) clockwork.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = &manualTimer{f: f}
	return c.last
}

// fire runs the watchdog of the current call to a back end.
func (c *manualClock) fire() {
	c.mu.Lock()
	t := c.last
	c.mu.Unlock()
	t.f()
}

// fault is how a back end handles a request.
type fault struct {
	name     string
	runs     bool // the request is started
	complete bool // a complete and correct answer is given
	serve    func(w http.ResponseWriter, r *http.Request, b *faultyBackend)
}

const matrixTokens = 4

// closedAddress is an address where nothing listens. A port that was free a moment
// ago would not do: another test's server may have it by now.
const closedAddress = "127.0.0.1:1"

func respondStatus(status int) func(http.ResponseWriter, *http.Request, *faultyBackend) {
	return func(w http.ResponseWriter, _ *http.Request, _ *faultyBackend) { w.WriteHeader(status) }
}

// streamThen streams n chunks and then calls end.
func streamThen(n int, end func(w http.ResponseWriter, r *http.Request, b *faultyBackend)) func(http.ResponseWriter, *http.Request, *faultyBackend) {
	return func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		for i := range n {
			b.chunk(w, r.Header.Get(openai.HeaderRequestID), "m@v1", i)
		}
		end(w, r, b)
	}
}

func abortConnection(http.ResponseWriter, *http.Request, *faultyBackend) { panic(http.ErrAbortHandler) }

func stall(_ http.ResponseWriter, r *http.Request, b *faultyBackend) {
	b.clock.fire()
	<-r.Context().Done()
}

func otherRequestChunk(w http.ResponseWriter, _ *http.Request, b *faultyBackend) {
	b.chunk(w, "someone-else", "m@v1", 99)
	b.done(w, "someone-else", "m@v1")
}

func otherVersionChunk(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
	rid := r.Header.Get(openai.HeaderRequestID)
	b.chunk(w, rid, "m@v2", 99)
	b.done(w, rid, "m@v2")
}

var faults = []fault{
	{"none", true, true, streamThen(matrixTokens, func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		b.done(w, r.Header.Get(openai.HeaderRequestID), "m@v1")
	})},
	{"dial-refused", false, false, nil},
	{"full-429", false, false, respondStatus(http.StatusTooManyRequests)},
	{"leaving-503", false, false, respondStatus(http.StatusServiceUnavailable)},
	{"other-version-404", false, false, respondStatus(http.StatusNotFound)},
	{"failed-500", true, false, respondStatus(http.StatusInternalServerError)},
	{"silent-at-once", true, false, stall},
	{"cut-at-once", true, false, abortConnection},
	{"silent-midway", true, false, streamThen(2, stall)},
	{"cut-midway", true, false, streamThen(2, abortConnection)},
	{"foreign-chunk", true, false, streamThen(2, otherRequestChunk)},
	{"wrong-version", true, false, otherVersionChunk},
}

// faultyBackend is a back end with one fault. Engines answer streamed, services not.
type faultyBackend struct {
	fault fault
	clock *manualClock

	mu   sync.Mutex
	ran  int
	kind string
}

func (b *faultyBackend) started() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran
}

func (b *faultyBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buf := make([]byte, 1<<16)
	for {
		if _, err := r.Body.Read(buf); err != nil {
			break // net/http detects a disconnect only after the body is read
		}
	}
	if b.fault.runs {
		b.mu.Lock()
		b.ran++
		b.mu.Unlock()
	}
	b.fault.serve(w, r, b)
}

func (b *faultyBackend) chunk(w http.ResponseWriter, id, model string, i int) {
	if b.kind == config.KindService {
		return
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, model, i)
	w.(http.Flusher).Flush()
}

func (b *faultyBackend) done(w http.ResponseWriter, id, model string) {
	if b.kind == config.KindService {
		fmt.Fprintf(w, `{"id":%q,"model":%q,"choices":[{"message":{"content":"t0 t1 t2 t3 "}}]}`, id, model)
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (b *faultyBackend) start(t *testing.T) string {
	if b.fault.serve == nil {
		return closedAddress
	}
	s := httptest.NewServer(b)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// fakeLedger records what was billed.
type fakeLedger struct {
	mu      sync.Mutex
	open    map[string]bool
	settled map[string]int
	uses    []string // models, in order
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{open: map[string]bool{}, settled: map[string]int{}}
}

// counts returns the number of requests that were billed and that are still open.
func (b *fakeLedger) counts() (settled, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.settled), len(b.open)
}

func (b *fakeLedger) models() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.uses, " ")
}

func (b *fakeLedger) Open(r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[r.RequestID] = true
}

func (b *fakeLedger) Settle(_ context.Context, r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, r.RequestID)
	b.settled[r.RequestID]++
	for _, u := range r.Uses {
		b.uses = append(b.uses, u.Model)
	}
}

func (b *fakeLedger) Drop(rid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, rid)
}

// TestFaultMatrix runs every fault of the first back end against every fault of the
// second, for engines with streaming and non-streaming callers and for services that
// may not be repeated (invariants 4 to 7, and that no caller is left without a response).
// It guards against a caller left waiting; a truncated answer that looks complete;
// another request's answer; "not run" for a request that ran; a posting that ran
// twice; a request billed twice, not billed though it ran, or billed though it did
// not.
func TestFaultMatrix(t *testing.T) {
	for _, mode := range []struct {
		name, kind string
		stream     bool
	}{{"engine-stream", config.KindEngine, true}, {"engine-whole", config.KindEngine, false}, {"service", config.KindService, false}} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(mode.name+"/"+first.name+"/"+second.name, func(t *testing.T) {
					testMatrixCase(t, mode.kind, mode.stream, first, second)
				})
			}
		}
	}
}

func testMatrixCase(t *testing.T, kind string, stream bool, first, second fault) {
	clock := &manualClock{FakeClock: clockwork.NewFakeClock()}
	bs := []*faultyBackend{{fault: first, clock: clock, kind: kind}, {fault: second, clock: clock, kind: kind}}
	doc := oneModelConfig(backendSpec{"a", "fd-1", kind, bs[0].start(t)}, backendSpec{"b", "fd-2", kind, bs[1].start(t)})
	d := testDeps(doc, clock)
	bill := newFakeLedger()
	d.Bill = bill
	a := await(t, ask(serveGateway(t, d), stream))
	ran := bs[0].started() + bs[1].started()
	billed, left := bill.counts()

	notRun, unknown := strings.Contains(a.body, openai.OutcomeNotRun), strings.Contains(a.body, openai.OutcomeUnknown)
	complete := a.status == http.StatusOK && !unknown
	switch {
	case notRun && ran > 0:
		t.Errorf("reported as not run, but %d back ends started it", ran)
	case complete && !strings.Contains(a.body, "t0 ") || complete && !strings.Contains(a.body, "t3"):
		t.Errorf("truncated answer looks complete: %s", a.body)
	case complete && stream && !strings.Contains(a.body, "[DONE]"):
		t.Errorf("stream has neither an end marker nor an error: %s", a.body)
	case !complete && strings.Contains(a.body, "[DONE]"):
		t.Errorf("truncated answer has an end marker: %s", a.body)
	case !complete && !notRun && !unknown:
		t.Errorf("answer without an outcome: %d %s", a.status, a.body)
	case strings.Contains(a.body, "t99"):
		t.Errorf("chunk of another request or version reached the caller: %s", a.body)
	case kind == config.KindService && ran > 1:
		t.Errorf("a posting ran %d times", ran)
	case (ran > 0) != (billed == 1) || left > 0:
		t.Errorf("ran %d, billed %d, left open %d", ran, billed, left)
	case (notRun || unknown && a.status != http.StatusOK) && a.header.Get("Retry-After") == "":
		t.Errorf("refused without Retry-After")
	case first.complete && !complete:
		t.Errorf("the first back end answered but the caller got no complete answer: %d %s", a.status, a.body)
	case !first.runs && second.complete && !complete:
		t.Errorf("the first back end did not start the request and the second was not used: %d %s", a.status, a.body)
	}
}
