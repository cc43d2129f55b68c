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

// handClock is a fake clock whose watchdogs fire when the test says so, so
// that no verdict hangs on how fast the machine is.
type handClock struct {
	*clockwork.FakeClock
	mu   sync.Mutex
	last *handTimer
}

type handTimer struct {
	f       func()
	stopped bool
}

func (*handTimer) Chan() <-chan time.Time   { return nil }
func (*handTimer) Reset(time.Duration) bool { return true }
func (t *handTimer) Stop() bool             { t.stopped = true; return true }

func (c *handClock) AfterFunc(_ time.Duration, f func()) clockwork.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = &handTimer{f: f}
	return c.last
}

// fire ends the wait for the back end that is being called now.
func (c *handClock) fire() {
	c.mu.Lock()
	t := c.last
	c.mu.Unlock()
	t.f()
}

// fault is what a back end does with a request.
type fault struct {
	name  string
	runs  bool // the request is begun
	whole bool // a whole, right answer is given
	serve func(w http.ResponseWriter, r *http.Request, b *faultyBackend)
}

const matrixTokens = 4

// nobody is an address where nothing listens: a port that was free a moment
// ago would not do, another test's server may have it by now.
const nobody = "127.0.0.1:1"

func refuse(status int) func(http.ResponseWriter, *http.Request, *faultyBackend) {
	return func(w http.ResponseWriter, _ *http.Request, _ *faultyBackend) { w.WriteHeader(status) }
}

// partly streams n chunks and then does end.
func partly(n int, end func(w http.ResponseWriter, r *http.Request, b *faultyBackend)) func(http.ResponseWriter, *http.Request, *faultyBackend) {
	return func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		for i := range n {
			b.chunk(w, r.Header.Get(openai.HeaderRequestID), "m@v1", i)
		}
		end(w, r, b)
	}
}

func cut(http.ResponseWriter, *http.Request, *faultyBackend) { panic(http.ErrAbortHandler) }

func silent(_ http.ResponseWriter, r *http.Request, b *faultyBackend) {
	b.clock.fire()
	<-r.Context().Done()
}

func foreign(w http.ResponseWriter, _ *http.Request, b *faultyBackend) {
	b.chunk(w, "someone-else", "m@v1", 99)
	b.done(w, "someone-else", "m@v1")
}

func wrongVersion(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
	rid := r.Header.Get(openai.HeaderRequestID)
	b.chunk(w, rid, "m@v2", 99)
	b.done(w, rid, "m@v2")
}

var faults = []fault{
	{"none", true, true, partly(matrixTokens, func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		b.done(w, r.Header.Get(openai.HeaderRequestID), "m@v1")
	})},
	{"dial-refused", false, false, nil},
	{"full-429", false, false, refuse(http.StatusTooManyRequests)},
	{"leaving-503", false, false, refuse(http.StatusServiceUnavailable)},
	{"other-version-404", false, false, refuse(http.StatusNotFound)},
	{"failed-500", true, false, refuse(http.StatusInternalServerError)},
	{"silent-at-once", true, false, silent},
	{"cut-at-once", true, false, cut},
	{"silent-midway", true, false, partly(2, silent)},
	{"cut-midway", true, false, partly(2, cut)},
	{"foreign-chunk", true, false, partly(2, foreign)},
	{"wrong-version", true, false, wrongVersion},
}

// faultyBackend is one back end with one fault. It answers streamed or whole
// as it is asked.
type faultyBackend struct {
	fault fault
	clock *handClock

	mu   sync.Mutex
	ran  int
	kind string
}

func (b *faultyBackend) begun() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran
}

func (b *faultyBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buf := make([]byte, 1<<16)
	for {
		if _, err := r.Body.Read(buf); err != nil {
			break // net/http notices a caller hanging up only after the body
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
		return nobody
	}
	s := httptest.NewServer(b)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// books records what was billed.
type books struct {
	mu      sync.Mutex
	open    map[string]bool
	settled map[string]int
	uses    []string // models, in order
}

func newBooks() *books { return &books{open: map[string]bool{}, settled: map[string]int{}} }

// counts are requests billed and requests still open.
func (b *books) counts() (settled, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.settled), len(b.open)
}

func (b *books) models() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.uses, " ")
}

func (b *books) Open(r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[r.RequestID] = true
}

func (b *books) Settle(_ context.Context, r ledger.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, r.RequestID)
	b.settled[r.RequestID]++
	for _, u := range r.Uses {
		b.uses = append(b.uses, u.Model)
	}
}

func (b *books) Drop(rid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, rid)
}

// TestFaultMatrix: invariants 4 to 7 and the promise of no silence, with
// every fault of the first back end against every fault of the second, for
// engines asked to stream, engines asked for a whole answer, and services
// that may not be repeated. Symptoms it guards against: a caller left
// waiting; half an answer that looks whole; another's answer; "not run" for
// what ran; a posting that ran twice; a request billed twice, not at all
// though it ran, or billed though it did not.
func TestFaultMatrix(t *testing.T) {
	for _, mode := range []struct {
		name, kind string
		stream     bool
	}{{"engine-stream", config.KindEngine, true}, {"engine-whole", config.KindEngine, false}, {"service", config.KindService, false}} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(mode.name+"/"+first.name+"/"+second.name, func(t *testing.T) {
					matrixCase(t, mode.kind, mode.stream, first, second)
				})
			}
		}
	}
}

func matrixCase(t *testing.T, kind string, stream bool, first, second fault) {
	clock := &handClock{FakeClock: clockwork.NewFakeClock()}
	bs := []*faultyBackend{{fault: first, clock: clock, kind: kind}, {fault: second, clock: clock, kind: kind}}
	doc := oneModel(backendSpec{"a", "fd-1", kind, bs[0].start(t)}, backendSpec{"b", "fd-2", kind, bs[1].start(t)})
	d := testDeps(doc, clock)
	bill := newBooks()
	d.Bill = bill
	a := await(t, ask(serveGateway(t, d), stream))
	ran := bs[0].begun() + bs[1].begun()
	billed, left := bill.counts()

	notRun, unknown := strings.Contains(a.body, openai.OutcomeNotRun), strings.Contains(a.body, openai.OutcomeUnknown)
	whole := a.status == http.StatusOK && !unknown
	switch {
	case notRun && ran > 0:
		t.Errorf("told not run, but %d back ends began it", ran)
	case whole && !strings.Contains(a.body, "t0 ") || whole && !strings.Contains(a.body, "t3"):
		t.Errorf("looks whole but is not: %s", a.body)
	case whole && stream && !strings.Contains(a.body, "[DONE]"):
		t.Errorf("neither its end nor an error: %s", a.body)
	case !whole && strings.Contains(a.body, "[DONE]"):
		t.Errorf("a broken answer with an end: %s", a.body)
	case !whole && !notRun && !unknown:
		t.Errorf("an answer that says nothing of its outcome: %d %s", a.status, a.body)
	case strings.Contains(a.body, "t99"):
		t.Errorf("another's chunk reached the caller: %s", a.body)
	case kind == config.KindService && ran > 1:
		t.Errorf("a posting ran %d times", ran)
	case (ran > 0) != (billed == 1) || left > 0:
		t.Errorf("ran %d, billed %d, left open %d", ran, billed, left)
	case (notRun || unknown && a.status != http.StatusOK) && a.header.Get("Retry-After") == "":
		t.Errorf("refused without a time to come back")
	case first.whole && !whole:
		t.Errorf("a sound back end was asked and its answer did not arrive: %d %s", a.status, a.body)
	case !first.runs && second.whole && !whole:
		t.Errorf("the first did not run it and the second could have: %d %s", a.status, a.body)
	}
}
