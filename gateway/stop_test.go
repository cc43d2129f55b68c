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

// testGate is a drain gate on a fake clock.
type testGate struct {
	*drain.Gate
	clock *clockwork.FakeClock
}

func newTestGate() testGate {
	clock := clockwork.NewFakeClock()
	return testGate{drain.NewGate(clock), clock}
}

// expire begins a stop that has no time left. The returned function waits until
// its last answers are written.
func (s testGate) expire() (wait func()) {
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

// fakeClaims grants every claim.
type fakeClaims struct{ claimed, released atomic.Int32 }

func (k *fakeClaims) Claim(context.Context, string, string, string) error {
	k.claimed.Add(1)
	return nil
}
func (k *fakeClaims) Release(string, string, string) { k.released.Add(1) }

// sendWithKey sends a request with an idempotency key and delivers the response once
// its headers have arrived. The connections are closed when the test ends, since a
// request that a faulty stop left open would block the server's close.
func sendWithKey(t *testing.T, srv *httptest.Server, stream bool, body io.Reader) <-chan *http.Response {
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

// readAnswer reads a complete response.
func readAnswer(t *testing.T, ch <-chan *http.Response) (*http.Response, string) {
	t.Helper()
	select {
	case resp := <-ch:
		if resp == nil {
			t.Fatal("the connection closed without an answer")
		}
		defer resp.Body.Close()
		timer := time.AfterFunc(testTimeout, func() { resp.Body.Close() })
		defer timer.Stop()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal("the answer was cut off: ", err)
		}
		return resp, string(body)
	case <-time.After(testTimeout):
		t.Fatal("the caller got no response")
		return nil, ""
	}
}

// Guards against connections that close without an answer at the end of a planned
// stop because nothing ends their requests before the process exits. A started
// stream, a non-streamed answer and a posting are at their back end when the stop's
// time is over. Each caller must be told that the request may have run, and be
// billed. The posting keeps its claim, since a repeat must not run; the back end and
// its version are not blamed, and no other back end is tried.
func TestRequestsCutByStopGetUnknownOutcome(t *testing.T) {
	for _, mode := range []struct {
		name, kind string
		stream     bool
		claims     int32
	}{{"stream", config.KindEngine, true, 0}, {"whole", config.KindEngine, false, 0}, {"posting", config.KindService, false, 1}} {
		t.Run(mode.name, func(t *testing.T) {
			is := is.New(t)
			clock := &manualClock{FakeClock: clockwork.NewFakeClock()}
			reached := make(chan struct{})
			hang := fault{"hang", true, false, streamThen(1, func(_ http.ResponseWriter, r *http.Request, _ *faultyBackend) {
				close(reached)
				<-r.Context().Done()
			})}
			first, other := &faultyBackend{fault: hang, clock: clock, kind: mode.kind}, &faultyBackend{fault: faults[0], clock: clock, kind: mode.kind}
			doc := oneModelConfig(backendSpec{"a", "fd-1", mode.kind, first.start(t)}, backendSpec{"b", "fd-2", mode.kind, other.start(t)})
			doc.Models["m"].Versions["v1"] = config.Version{State: config.StateActive, Weight: 1, Guard: &config.Guard{Baseline: "v0", MinScore: 0.5}}
			gate, bill, claims, guard := newTestGate(), newFakeLedger(), &fakeClaims{}, &countingGuard{seen: make(chan struct{}, 1)}
			d := testDeps(doc, clock)
			d.Gate, d.Bill, d.Claims, d.Guard = gate.Gate, bill, claims, guard

			answer := sendWithKey(t, serveGateway(t, d), mode.stream, nil)
			<-reached
			if mode.stream { // the first event has reached the caller
				started := <-answer
				is.Equal(started.StatusCode, http.StatusOK)
				again := make(chan *http.Response, 1)
				again <- started
				answer = again
			}
			wait := gate.expire()
			resp, body := readAnswer(t, answer)
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
			is.Equal(other.started(), 0)
			is.True(!d.Endpoints.Snapshot().Backends["a"].Avoided)
			is.Equal(len(guard.seen), 0)
		})
	}
}

// Guards against a connection that closes without an answer when a planned stop
// ends before the caller has sent its whole request: the end of a request's context
// does not end the reading of its body. The caller must be told "not run".
func TestStopAnswersRequestWithUnreadBody(t *testing.T) {
	is := is.New(t)
	gate := newTestGate()
	d := testDeps(oneModelConfig(backendSpec{"a", "fd-1", config.KindEngine, closedAddress}), clockwork.NewFakeClock())
	d.Gate = gate.Gate
	body, caller := io.Pipe()
	defer caller.Close()
	answer := sendWithKey(t, serveGateway(t, d), false, body)
	_, err := caller.Write([]byte(`{"model":`))
	is.NoErr(err)
	for gate.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	wait := gate.expire()
	resp, text := readAnswer(t, answer)
	wait()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, openai.OutcomeNotRun))
	is.True(strings.Contains(text, errDraining.Code))
}

// Guards against a caller that gets nothing although an answer is available: the
// first step of a cascade scored below its target, and the stop's time is over
// during the next step. The caller must get the answer of the first step.
func TestStopDeliversHeldCascadeAnswer(t *testing.T) {
	is := is.New(t)
	gate := newTestGate()
	d := testDeps(twoStepConfig(t, engine.Faults{}, engine.Faults{Silent: true}), clockwork.NewFakeClock())
	d.Gate, d.Rater = gate.Gate, scoreRater{"cheap": 0.2}
	srv := serveGateway(t, d)
	t.Cleanup(srv.CloseClientConnections)
	answer := askModel(srv, "draft", true)
	for d.Endpoints.Snapshot().Backends["costly"].InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	wait := gate.expire()
	a := await(t, answer)
	wait()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.header.Get(openai.HeaderQuality), openai.QualityBelow)
	is.True(strings.Contains(a.body, "[DONE]"))
}

// Guards against requests that are lost when a caller reuses its connection as the
// entry closes it. Answers and refusals during a stop must announce that they are
// the last on their connection.
func TestAnswersDuringStopCloseTheConnection(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{FakeClock: clockwork.NewFakeClock()}
	reached, resume := make(chan struct{}), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(resume) })
	slow := fault{"slow", true, true, func(w http.ResponseWriter, r *http.Request, b *faultyBackend) {
		close(reached)
		<-resume
		faults[0].serve(w, r, b)
	}}
	b := &faultyBackend{fault: slow, clock: clock, kind: config.KindEngine}
	gate := newTestGate()
	d := testDeps(oneModelConfig(backendSpec{"a", "fd-1", config.KindEngine, b.start(t)}), clock)
	d.Gate = gate.Gate
	srv := serveGateway(t, d)
	t.Cleanup(unblock)
	inFlight := sendWithKey(t, srv, false, nil)
	<-reached
	gate.Begin(drain.Times{End: time.Hour})

	resp, text := readAnswer(t, sendWithKey(t, srv, false, nil))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, openai.OutcomeNotRun))
	is.True(resp.Close)
	is.Equal(b.started(), 1) // the refused request did not run
	unblock()
	resp, _ = readAnswer(t, inFlight)
	is.Equal(resp.StatusCode, http.StatusOK) // it had started before the stop
	is.True(resp.Close)
}
