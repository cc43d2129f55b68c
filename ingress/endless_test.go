package ingress_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/answertest"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// answerMemory is an eighth of 144 MB.
const answerMemory = 18 << 20

// boundAnswers gives the entry bounds as those of a process of 144 MB, and returns its counters.
func (w *testEnv) boundAnswers() tally.TestScope {
	scope := tally.NewTestScope("", nil)
	d := w.server.Deps
	d.AnswerMemory, d.MaxInFlight, d.Scope = membudget.New(answerMemory), 1000, scope
	w.server = ingress.New(d)
	srv := httptest.NewServer(w.server.Handler())
	w.t.Cleanup(srv.Close)
	w.url = srv.URL
	return scope
}

// endlessFor makes all engines send without end in answer to requests whose ids begin with a fault.
func (w *testEnv) endlessFor() {
	for _, e := range w.engines {
		e.FaultOf = func(r *http.Request) platformtest.Fault {
			fault, _, _ := strings.Cut(r.Header.Get("X-Attempt-Id"), ".")
			return platformtest.Fault(fault)
		}
	}
}

func exceeded(scope tally.TestScope, bound string) int64 {
	c := scope.Snapshot().Counters()["bounds_exceeded_total+bound="+bound]
	if c == nil {
		return 0
	}
	return c.Value()
}

// Guards against endpoints that send without end holding requests until their deadlines, filling the
// memory, and disturbing other requests.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 9)
	scope := w.boundAnswers()
	w.endlessFor()
	var wg, others sync.WaitGroup
	var mu sync.Mutex
	var slowest, slowestOther time.Duration
	served := 0
	stop := make(chan struct{})
	memory := answertest.PeakMemory(func() {
		for i := range 4 {
			others.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					began := time.Now()
					got := w.do(http.MethodGet, "/get/x", "", "X-Attempt-Id", fmt.Sprintf("other.%d-%d", i, n))
					mu.Lock()
					served++
					slowestOther = max(slowestOther, time.Since(began))
					if got.status != http.StatusOK {
						t.Errorf("another request: status %d, %v", got.status, got.err)
					}
					mu.Unlock()
				}
			})
		}
		for _, fault := range []platformtest.Fault{platformtest.EndlessStatus, platformtest.EndlessHeaders, platformtest.EndlessChunkLine, platformtest.EndlessLine, platformtest.EndlessBody} {
			for i := range 4 {
				wg.Go(func() {
					path := "/post/x"
					if fault == platformtest.EndlessLine {
						path = "/once/stream"
					}
					began := time.Now()
					got := w.do(http.MethodPost, path, "body", "X-Attempt-Id", fmt.Sprintf("%s.%d", fault, i))
					mu.Lock()
					defer mu.Unlock()
					slowest = max(slowest, time.Since(began))
					if got.status != http.StatusBadGateway {
						t.Errorf("%s: status %d, %v", fault, got.status, got.err)
					}
				})
			}
		}
		wg.Wait()
		close(stop)
		others.Wait()
	})
	t.Logf("%.1f MB more in use, slowest request %v, slowest of %d others %v", float64(memory)/(1<<20), slowest, served, slowestOther)
	is.True(memory < 64<<20)
	is.True(slowest < time.Second)
	is.True(slowestOther < time.Second) // the objective
	is.Equal(exceeded(scope, "head_bytes"), int64(8))
	is.Equal(exceeded(scope, "chunk_line"), int64(4))
	// Whether one is over at its own bound or at that of all together depends on what the others hold.
	is.Equal(exceeded(scope, "event_bytes")+exceeded(scope, "answer_bytes")+exceeded(scope, "answers_memory"), int64(8))
}

// Guards against a place in an answer where bytes are read without a bound, and against bounds that the
// log and the counters do not name.
func TestEachKindOfAnswerWithoutEndHasItsBound(t *testing.T) {
	for _, tt := range []struct {
		fault            platformtest.Fault
		buffered, stream string
	}{
		{platformtest.EndlessStatus, "head_bytes", "head_bytes"},
		{platformtest.EndlessHeaders, "head_bytes", "head_bytes"},
		{platformtest.EndlessInformational, "informational", "informational"},
		{platformtest.EndlessChunkLine, "chunk_line", "chunk_line"},
		{platformtest.EndlessExtensions, "chunk_overhead", "chunk_overhead"},
		{platformtest.EndlessTrailers, "trailers", "trailers"},
		{platformtest.EndlessLine, "answer_bytes", "event_bytes"},
		{platformtest.EndlessLines, "answer_bytes", "event_bytes"},
		{platformtest.EndlessEmptyLines, "answer_bytes", "event_bytes"},
		{platformtest.EndlessComments, "answer_bytes", "event_bytes"},
		{platformtest.EndlessBody, "answer_bytes", "event_bytes"},
	} {
		t.Run(string(tt.fault), func(t *testing.T) {
			is := is.New(t)
			w := newEnv(t, 3)
			scope := w.boundAnswers()
			w.faults(tt.fault, platformtest.NoFault, tt.fault, tt.fault, platformtest.NoFault)
			began := time.Now()
			w.do(http.MethodGet, "/get/x", "body").assertComplete(is) // from another endpoint
			is.Equal(w.do(http.MethodPost, "/post/x", "body", "X-Attempt-Id", "a2").status, http.StatusBadGateway)
			is.Equal(exceeded(scope, tt.buffered), int64(2))
			got := w.do(http.MethodPost, "/resume/stream", "body", "X-Attempt-Id", "a3")
			is.NoErr(got.err)
			is.True(strings.HasSuffix(got.body, platformtest.WholeStream(0, 5))) // comments are forwarded before
			is.True(exceeded(scope, tt.stream) >= 1)
			is.True(time.Since(began) < 2*time.Second)
			is.True(strings.Contains(w.logs.String(), `"msg":"ingress: answer exceeds its bound; connection closed.","bound":"`+tt.buffered+`"`))
			is.True(strings.Contains(w.logs.String(), "broken (answer exceeds its bound: "+tt.buffered+")"))
			is.Equal(w.quarantine.State().Suspects, 0) // the request crashes nothing
		})
	}
}

// Guards against bytes after a complete answer being read or taken for a part of it.
func TestBytesAfterACompleteAnswerAreNotRead(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.EndlessAfter)
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
}

// Guards against streams that go on for as long as bytes come, though they form no event: also at a
// request's last attempt, which nothing else bounds.
func TestBytesThatFormNoEventEndAStreamInTime(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.EndlessLine, platformtest.EndlessLines} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newEnv(t, 1)
			scope := w.boundAnswers()
			w.engines[0].Config.EndlessPause = 50 * time.Millisecond
			w.faults(fault)
			began := time.Now()
			got := w.do(http.MethodPost, "/once/stream", "body")
			is.Equal(got.status, http.StatusBadGateway)
			took := time.Since(began)
			is.True(took >= 2500*time.Millisecond) // two and a half times the longest pause
			is.True(took < 3500*time.Millisecond)
			is.Equal(exceeded(scope, "event_time"), int64(1))
		})
	}
}
