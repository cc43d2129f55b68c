package ingress_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/rollout"
)

// Symptom: a reminder is sent twice.
// Events: a non-idempotent request reaches an endpoint, which runs it and
// then resets, sends bytes that are no answer, or answers for another.
// Cause: a router that takes the lost answer for a request that did not run.
func TestNonIdempotentRunsOnceWhateverBecomesOfItsAnswer(t *testing.T) {
	for _, f := range []platformtest.Fault{platformtest.ResetBefore, platformtest.ResetMiddle, platformtest.Garbage, platformtest.Unsealed,
		platformtest.OtherID} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3)
			w.faults(f)
			a := w.do(http.MethodPost, "/post/x", "body")
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusBadGateway) // says nothing of whether it ran
			is.Equal(len(w.runs()), 1)
		})
	}
}

// Symptom: a caller is told that its request did not run, repeats it, and it
// has run twice.
// Events: the only endpoint runs a request and resets; no other is left.
// Cause: the refusal for want of endpoints forgot that one send may have run.
func TestNoEndpointLeftIsNoRefusalAfterARun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.faults(platformtest.ResetBefore, platformtest.ResetBefore, platformtest.ResetBefore)
	for _, path := range []string{"/post/x", "/get/x", "/once/stream", "/resume/stream"} {
		a := w.do(http.MethodPost, path, "body")
		is.True(a.status != http.StatusServiceUnavailable) // it may have run
		is.True(a.status != http.StatusTooManyRequests)
	}
}

// Symptom: a request fails although other endpoints would have served it.
// Events: an endpoint breaks off, fails or sends rubbish; the request may be
// repeated.
func TestIdempotentIsServedByAnotherEndpoint(t *testing.T) {
	for _, f := range []platformtest.Fault{platformtest.ResetBefore, platformtest.ResetMiddle, platformtest.Garbage, platformtest.Unsealed,
		platformtest.OtherID, platformtest.Fail, platformtest.Refuse} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3)
			w.faults(f)
			w.do(http.MethodGet, "/get/x", "").whole(is)
		})
	}
}

// Symptom: an endpoint without room makes requests fail that may not repeat.
// Events: the endpoint says that it did not run the request.
func TestARefusedSendGoesElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.faults(platformtest.Refuse, platformtest.Refuse)
	w.do(http.MethodPost, "/post/x", "body").whole(is)
	is.Equal(len(w.runs()), 1)
}

// Symptom: callers hang while every endpoint is full.
// Events: all endpoints refuse.
// The caller is told at once, truly that it did not run, and when to return.
func TestAllEndpointsFullIsARefusalWithATime(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.faults(platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse)
	a := w.do(http.MethodPost, "/post/x", "body")
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(w.runs()), 0)
}

// Symptom: an answer holds bytes of another's.
// Events: an endpoint sends a second answer right after the first.
// Cause: a kept connection on which the next request reads what is left over.
func TestASecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.faults(platformtest.Extra)
	w.do(http.MethodPost, "/post/x", "body").whole(is)
	w.do(http.MethodPost, "/post/x", "body").whole(is)
}

// An answer without a length ends with its connection.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.faults(platformtest.Unframed)
	w.do(http.MethodPost, "/post/x", "body").whole(is)
}

// Symptom: entry and endpoint wait for each other until the deadline.
// Events: an endpoint answers before it has read a long body.
func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.faults(platformtest.Early)
	w.do(http.MethodPost, "/post/x", strings.Repeat("b", 60<<10)).whole(is)
}

// Symptom: a caller gets a stream with a hole, or a piece twice, or one that
// ends early and looks whole.
// Events: an endpoint resets in the middle of an event.
// The stream goes on at another endpoint from the last whole event.
func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.faults(platformtest.ResetMiddle, platformtest.ResetMiddle)
	w.do(http.MethodPost, "/resume/stream", "body").wholeStream(is)
	runs := w.runs()
	is.Equal(len(runs), 3)
}

// Symptom: the same, on a route whose streams may not resume.
// The caller's stream ends without its end, and nothing runs twice.
func TestAStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.faults(platformtest.ResetMiddle)
	a := w.do(http.MethodPost, "/once/stream", "body")
	is.True(a.err != nil) // what came does not look whole
	is.Equal(len(w.runs()), 1)
}

// A caller that resumes gets what it lacks, also across a second break.
func TestACallersOwnResumptionIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.faults(platformtest.ResetMiddle)
	a := w.do(http.MethodPost, "/resume/stream", "body", "Last-Event-Id", "2")
	is.NoErr(a.err)
	is.Equal(a.body, platformtest.WholeStream(2, 5))
}

// Symptom: a caller waits past its deadline.
// Events: an endpoint takes a request and never answers.
func TestAHangingEndpointEndsWithTheDeadline(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.faults(platformtest.Hang)
	a := w.do(http.MethodPost, "/quick/x", "body")
	is.Equal(a.status, http.StatusGatewayTimeout) // it may have run
}

// Symptom: an idempotent request waits for a hanging endpoint although
// another would answer.
func TestAHangingEndpointIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.faults(platformtest.Hang)
	w.do(http.MethodGet, "/get/x", "").whole(is)
}

// Symptom: engines work for callers that are gone.
// Events: a caller closes its connection while its request waits.
func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
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
	waitFor(t, func() bool { return w.runs()[0].Left })
	waitFor(t, func() bool { return w.gate.InFlight() == 0 })
	is.Equal(len(w.runs()), 1) // it was not sent on to another either
}

// waitFor waits until something holds; the test's own limit bounds it.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		select {
		case <-t.Context().Done():
			t.Fatal("never came true")
		case <-time.After(time.Millisecond):
		}
	}
}

// Symptom: a request runs at a service that it was never meant for.
// Events: an engine ends; another has its address now.
// The engine that was meant is named, any other refuses.
func TestAnAddressTakenOverByAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.engines[0].Config.ID = "another" // the registration names e1
	for range 5 {
		w.do(http.MethodPost, "/post/x", "body").whole(is)
	}
	is.Equal(len(w.engines[0].Runs()), 0)
}

// Guards against a halted version getting requests when only endpoints are left whose registration has lapsed.
func TestTheLastResortIsNoHaltedVersion(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "old", Service: service, Domain: "d1", Version: "v1"})
	w.addEngine(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2"})
	w.put("op/rollout/"+service, []byte(`{"service":"`+service+`","target":"v2","duration_s":1000}`))
	w.sync()
	order := w.fleet.View().Group(service).Rollout.Ordered
	w.orders.Hear([]rollout.Told{{Service: service, Ordered: order, Halted: true}}, nil, nil)
	for _, e := range w.engines {
		name, _ := e.Registration(false)
		_, err := w.kv.Delete(context.Background(), name, false)
		is.NoErr(err)
	}
	w.sync()
	w.server.LapsedFor = time.Hour // however slow the machine is
	for range 10 {
		w.do(http.MethodPost, "/post/x", "body").whole(is)
	}
	is.Equal(len(w.engines[0].Runs()), 10)
	is.True(strings.Contains(w.logs.String(), `"sends":"old v1 lapsed at=`)) // the line says so
	w.engines[0].FaultOf = func(*http.Request) platformtest.Fault { return platformtest.Refuse }
	is.Equal(w.do(http.MethodPost, "/post/x", "body").status, http.StatusServiceUnavailable)
	is.Equal(len(w.engines[1].Runs()), 0)
}
