package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/engine"
)

// stopping is a gate on a clock that stands still.
type stopping struct {
	*drain.Gate
	clock *clockwork.FakeClock
}

func newStopping() stopping {
	clock := clockwork.NewFakeClock()
	return stopping{drain.NewGate(clock), clock}
}

// timeIsOver begins a stop that has no time left, and returns what waits until
// its last answers are written.
func (s stopping) timeIsOver() (wait func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Drain(drain.Times{}, func() {})
	}()
	return func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
				s.clock.Advance(time.Millisecond)
			}
		}
	}
}

// keys is a claimer that grants every claim.
type keys struct{ claimed, released atomic.Int32 }

func (k *keys) Claim(context.Context, string, string, string) error { k.claimed.Add(1); return nil }
func (k *keys) Release(string, string, string)                      { k.released.Add(1) }

// send sends a request with an idempotency key and hands over the answer once
// its head is there. When the test ends its connection is closed: a request that
// a broken stop left would hold up the server's close.
func send(t *testing.T, srv *httptest.Server, stream bool, body io.Reader) <-chan *http.Response {
	t.Cleanup(srv.CloseClientConnections)
	out := make(chan *http.Response, 1)
	if body == nil {
		body = strings.NewReader(fmt.Sprintf(`{"model":"m","stream":%v,"messages":[]}`, stream))
	}
	go func() {
		defer close(out)
		req, _ := http.NewRequest(http.MethodPost, srv.URL+chatPath, body)
		req.Header.Set("Authorization", "Bearer k")
		req.Header.Set(openai.HeaderIdempotencyKey, "key")
		if resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req); err == nil {
			out <- resp
		}
	}()
	return out
}

// take reads the whole answer.
func take(t *testing.T, ch <-chan *http.Response) (*http.Response, string) {
	t.Helper()
	select {
	case resp := <-ch:
		if resp == nil {
			t.Fatal("the connection closed without an answer")
		}
		defer resp.Body.Close()
		guard := time.AfterFunc(callerGuard, func() { resp.Body.Close() })
		defer guard.Stop()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal("the answer was cut off: ", err)
		}
		return resp, string(body)
	case <-time.After(callerGuard):
		t.Fatal("the caller is still waiting: silence")
		return nil, ""
	}
}

// TestWhatOutlastsAStopIsToldSo: symptom: at the end of a planned stop callers'
// connections close without an answer. Sequence: a stream that has begun, a
// whole answer and a posting are at their back end when the stop's time is over.
// Cause: nothing ended them before the process did. Here each is told that it
// may have run, and billed so; the posting keeps its claim, since a repeat must
// not run; and neither the back end nor its version is blamed, nor another
// asked.
func TestWhatOutlastsAStopIsToldSo(t *testing.T) {
	for _, mode := range []struct {
		name, kind string
		stream     bool
		claims     int32
	}{{"stream", config.KindEngine, true, 0}, {"whole", config.KindEngine, false, 0}, {"posting", config.KindService, false, 1}} {
		t.Run(mode.name, func(t *testing.T) {
			is := is.New(t)
			clock := &handClock{FakeClock: clockwork.NewFakeClock()}
			reached := make(chan struct{})
			hang := fault{"hang", true, false, partly(1, func(_ http.ResponseWriter, r *http.Request, _ *faultyBackend) {
				close(reached)
				<-r.Context().Done()
			})}
			first, other := &faultyBackend{fault: hang, clock: clock, kind: mode.kind}, &faultyBackend{fault: faults[0], clock: clock, kind: mode.kind}
			doc := oneModel(backendSpec{"a", "fd-1", mode.kind, first.start(t)}, backendSpec{"b", "fd-2", mode.kind, other.start(t)})
			doc.Models["m"].Versions["v1"] = config.Version{State: config.StateActive, Weight: 1, Guard: &config.Guard{Baseline: "v0", MinScore: 0.5}}
			gate, bill, claims, guard := newStopping(), newBooks(), &keys{}, &counter{seen: make(chan struct{}, 1)}
			d := testDeps(doc, clock)
			d.Gate, d.Bill, d.Claims, d.Guard = gate.Gate, bill, claims, guard

			answer := send(t, serveGateway(t, d), mode.stream, nil)
			<-reached
			if mode.stream { // its first event has reached the caller
				begun := <-answer
				is.Equal(begun.StatusCode, http.StatusOK)
				again := make(chan *http.Response, 1)
				again <- begun
				answer = again
			}
			wait := gate.timeIsOver()
			resp, body := take(t, answer)
			wait()

			is.True(strings.Contains(body, openai.OutcomeUnknown))
			is.True(strings.Contains(body, codeStopped))
			is.True(!strings.Contains(body, "[DONE]"))
			is.True(mode.stream || resp.StatusCode == http.StatusGatewayTimeout && resp.Close && resp.Header.Get("Retry-After") != "")
			billed, open := bill.counts()
			is.Equal(billed, 1)
			is.Equal(open, 0)
			is.Equal(claims.claimed.Load(), mode.claims)
			is.Equal(claims.released.Load(), int32(0))
			is.Equal(other.begun(), 0)
			is.True(!d.Endpoints.Snapshot().Backends["a"].Avoided)
			is.Equal(len(guard.seen), 0)
		})
	}
}

// TestAStopAnswersACallerThatSendsSlowly: symptom: as above. Sequence: the
// stop's time is over before the caller has sent all of its request. Cause:
// the end of a request's context does not end the reading of its body. Here the
// caller is told, truthfully, that the request did not run.
func TestAStopAnswersACallerThatSendsSlowly(t *testing.T) {
	is := is.New(t)
	gate := newStopping()
	d := testDeps(oneModel(backendSpec{"a", "fd-1", config.KindEngine, nobody}), clockwork.NewFakeClock())
	d.Gate = gate.Gate
	body, caller := io.Pipe()
	defer caller.Close()
	answer := send(t, serveGateway(t, d), false, body)
	_, err := caller.Write([]byte(`{"model":`))
	is.NoErr(err)
	for gate.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	wait := gate.timeIsOver()
	resp, text := take(t, answer)
	wait()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, openai.OutcomeNotRun))
	is.True(strings.Contains(text, errDraining.Code))
}

// TestAStopGivesTheAnswerThatIsHeld: symptom: a caller gets nothing though an
// answer is there. Sequence: a cascade's first step has answered, below its
// target; the next is under way when the stop's time is over. The caller gets
// the answer of the first.
func TestAStopGivesTheAnswerThatIsHeld(t *testing.T) {
	is := is.New(t)
	gate := newStopping()
	d := testDeps(twoSteps(t, engine.Faults{}, engine.Faults{Silent: true}), clockwork.NewFakeClock())
	d.Gate, d.Rater = gate.Gate, scores{"cheap": 0.2}
	srv := serveGateway(t, d)
	t.Cleanup(srv.CloseClientConnections)
	answer := askModel(srv, "draft", true)
	for d.Endpoints.Snapshot().Backends["costly"].InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	wait := gate.timeIsOver()
	a := await(t, answer)
	wait()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get(openai.HeaderQuality), openai.QualityBelow)
	is.True(strings.Contains(a.body, "[DONE]"))
}

// TestAnswersOfAStoppingEntryEndTheirConnection: symptom: requests are lost as
// an entry closes. Sequence: a caller keeps the connection on which it was
// answered, or refused, by an entry that stops; its next request crosses the
// close. Cause: the answer did not say that the connection ends with it.
func TestAnswersOfAStoppingEntryEndTheirConnection(t *testing.T) {
	is := is.New(t)
	clock := &handClock{FakeClock: clockwork.NewFakeClock()}
	reached, goOn := make(chan struct{}), make(chan struct{})
	answer := sync.OnceFunc(func() { close(goOn) })
	slow := fault{"slow", true, true, func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		close(reached)
		<-goOn
		faults[0].serve(w, r, b)
	}}
	b := &faultyBackend{fault: slow, clock: clock, kind: config.KindEngine}
	gate := newStopping()
	d := testDeps(oneModel(backendSpec{"a", "fd-1", config.KindEngine, b.start(t)}), clock)
	d.Gate = gate.Gate
	srv := serveGateway(t, d)
	t.Cleanup(answer)
	inFlight := send(t, srv, false, nil)
	<-reached
	gate.Begin(drain.Times{End: time.Hour})

	resp, text := take(t, send(t, srv, false, nil))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, openai.OutcomeNotRun))
	is.True(resp.Close)
	is.Equal(b.begun(), 1) // it did not run
	answer()
	resp, _ = take(t, inFlight)
	is.Equal(resp.StatusCode, http.StatusOK) // it had begun before the stop
	is.True(resp.Close)
}
