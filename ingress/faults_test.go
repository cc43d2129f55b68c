package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/rollout"
)

// Guards against a non-idempotent request running twice (a reminder sent twice)
// because a lost answer is taken for a request that did not run. The endpoint runs it
// and then resets, sends an invalid response, or answers for another request.
func TestNonIdempotentRequestRunsOnceIfItsAnswerIsLost(t *testing.T) {
	for _, f := range []platformtest.Fault{platformtest.ResetBefore, platformtest.ResetMiddle, platformtest.Garbage, platformtest.Unsealed,
		platformtest.OtherID} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			w := newEnv(t, 3)
			w.faults(f)
			a := w.do(http.MethodPost, "/post/x", "body")
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusBadGateway) // it may have run
			is.Equal(len(w.runs()), 1)
		})
	}
}

// Guards against a caller being told that its request did not run, so that it repeats
// it and it runs twice. The only endpoint runs the request and resets; the refusal for
// lack of endpoints ignored that one send may have run.
func TestNoEndpointLeftAfterARunIsAFailure(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.ResetBefore, platformtest.ResetBefore, platformtest.ResetBefore)
	for _, path := range []string{"/post/x", "/get/x", "/once/stream", "/resume/stream"} {
		a := w.do(http.MethodPost, path, "body")
		is.True(a.status != http.StatusServiceUnavailable) // it may have run
		is.True(a.status != http.StatusTooManyRequests)
	}
}

// Guards against a repeatable request failing although other endpoints could serve it,
// when an endpoint breaks off, fails or sends an invalid response.
func TestIdempotentIsServedByAnotherEndpoint(t *testing.T) {
	for _, f := range []platformtest.Fault{platformtest.ResetBefore, platformtest.ResetMiddle, platformtest.Garbage, platformtest.Unsealed,
		platformtest.OtherID, platformtest.Fail, platformtest.Refuse} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			w := newEnv(t, 3)
			w.faults(f)
			w.do(http.MethodGet, "/get/x", "").assertComplete(is)
		})
	}
}

// Guards against a full endpoint making non-repeatable requests fail, though its
// response says that it did not run them.
func TestRefusedRequestIsSentToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 3)
	w.faults(platformtest.Refuse, platformtest.Refuse)
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
	is.Equal(len(w.runs()), 1)
}

// Guards against callers hanging while every endpoint is full. They are told at once
// that the request did not run, and when to retry.
func TestAllEndpointsFullIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 3)
	w.faults(platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse)
	a := w.do(http.MethodPost, "/post/x", "body")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(w.runs()), 0)
}

// Guards against an answer containing bytes of another one: an endpoint sends a second
// response right after the first, and the next request on a reused connection reads it.
func TestExtraResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.Extra)
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
}

// A response without a length ends with its connection.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.Unframed)
	w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
}

// Guards against entry and endpoint waiting for each other until the deadline when the
// endpoint responds before it has read a long body.
func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.Early)
	w.do(http.MethodPost, "/post/x", strings.Repeat("b", 60<<10)).assertComplete(is)
}

// Guards against a caller getting a stream with a gap, with duplicate events, or one
// that ends early and looks complete, when an endpoint resets in the middle of an event.
// Another endpoint continues the stream after the last complete event.
func TestResumableStreamContinuesAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 3)
	w.faults(platformtest.ResetMiddle, platformtest.ResetMiddle)
	w.do(http.MethodPost, "/resume/stream", "body").assertCompleteStream(is)
	runs := w.runs()
	is.Equal(len(runs), 3)
}

// Guards against a stream that breaks off being resumed, or looking complete, on a route
// whose streams are not resumable. It breaks off recognisably, and nothing runs twice.
func TestAStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 3)
	w.faults(platformtest.ResetMiddle)
	a := w.do(http.MethodPost, "/once/stream", "body")
	is.True(a.err != nil) // what was received does not look complete
	is.Equal(len(w.runs()), 1)
}

// A caller that resumes gets the missing events, also if its stream breaks again.
func TestCallerResumptionIsForwarded(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 2)
	w.faults(platformtest.ResetMiddle)
	a := w.do(http.MethodPost, "/resume/stream", "body", "Last-Event-Id", "2")
	is.NoErr(a.err)
	is.Equal(a.body, platformtest.WholeStream(2, 5))
}

// Guards against a caller waiting past its deadline when an endpoint accepts a request
// and never answers.
func TestAHangingEndpointEndsWithTheDeadline(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.Hang)
	a := w.do(http.MethodPost, "/quick/x", "body")
	is.Equal(a.status, http.StatusGatewayTimeout) // it may have run
}

// Guards against an idempotent request waiting for a hanging endpoint although
// another one would answer.
func TestHangingEndpointIsReplacedByAnother(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 2)
	w.faults(platformtest.Hang)
	w.do(http.MethodGet, "/get/x", "").assertComplete(is)
}

// Guards against engines working for callers that closed their connection while the
// request was waiting.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 1)
	w.faults(platformtest.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.DefaultClient.Do(w.request(http.MethodPost, "/resume/stream", "body").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
	}()
	waitFor(t, func() bool { return len(w.runs()) == 1 })
	cancel()
	<-done
	waitFor(t, func() bool { return w.runs()[0].Disconnected })
	waitFor(t, func() bool { return w.gate.InFlight() == 0 })
	is.Equal(len(w.runs()), 1) // nor was it sent to another endpoint
}

// waitFor waits until a condition holds, bounded by the test's own deadline.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition was not met before the end of the test")
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a refusal while most registrations name endpoints that were replaced at their addresses.
func TestMassRestartLeavesTheOtherEndpointsInUse(t *testing.T) {
	is := is.New(t)
	for range 8 {
		w := newEnv(t, 1)
		for i := range 6 {
			e := w.addEngine(platformtest.EngineConfig{ID: fmt.Sprint("old", i), Service: service, Domain: "d1", Version: "v1"})
			e.Config.ID = fmt.Sprint("new", i) // restarted, and not registered yet
		}
		w.sync()
		is.Equal(w.do(http.MethodPost, "/get/x", "body").status, http.StatusOK)
	}
}

// Guards against a request running at another service's engine that has taken over the
// address of one that ended. Each send names the intended engine; any other refuses.
func TestAnAddressTakenOverByAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 2)
	w.engines[0].Config.ID = "another" // the registration names e1
	for range 5 {
		w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
	}
	is.Equal(len(w.engines[0].Runs()), 0)
}

// Guards against a halted version getting requests when the only endpoints left are those whose registration has lapsed.
func TestHaltedVersionIsNotALastResort(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "old", Service: service, Domain: "d1", Version: "v1"})
	w.addEngine(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2"})
	w.put("op/rollout/"+service, []byte(`{"service":"`+service+`","target":"v2","duration_s":1000}`))
	w.sync()
	order := w.fleet.View().Group(service).Rollout.Ordered
	w.rolloutController.Merge([]rollout.OrderState{{Service: service, Ordered: order, Halted: true}}, nil, nil)
	for _, e := range w.engines {
		name, _ := e.Registration(false)
		_, err := w.kv.Delete(context.Background(), name, false)
		is.NoErr(err)
	}
	w.sync()
	w.server.LapsedGrace = time.Hour // however slow the machine is
	for range 10 {
		w.do(http.MethodPost, "/post/x", "body").assertComplete(is)
	}
	is.Equal(len(w.engines[0].Runs()), 10)
	is.True(strings.Contains(w.logs.String(), `"sends":"old v1 lapsed at=`)) // the log line shows it
	w.engines[0].FaultOf = func(*http.Request) platformtest.Fault { return platformtest.Refuse }
	is.Equal(w.do(http.MethodPost, "/post/x", "body").status, http.StatusServiceUnavailable)
	is.Equal(len(w.engines[1].Runs()), 0)
}
