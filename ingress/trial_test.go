package ingress_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rollout"
)

// newTrialWorld has an old engine and a new version's, in the part of its
// roll-out in which endpoints are tried under load. The session of the requests
// stays with the old one.
func newTrialWorld(t *testing.T) *world {
	w := newWorld(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "old", Service: service, Domain: "d1", Version: "v1", Slots: 64})
	w.addEngine(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2", Slots: 64, Events: 50, Pause: 20 * time.Millisecond})
	w.put("op/rollout/"+service, []byte(`{"service":"`+service+`","target":"v2","duration_s":1000}`))
	w.sync()
	order := w.fleet.View().Group(service).Rollout.Ordered
	w.orders.Hear([]rollout.Told{{Service: service, Ordered: order, Age: 200 * time.Second}}, nil, nil)
	return w
}

// trialHeaders are a request's that makes an endpoint busy by its answer.
var trialHeaders = []string{"X-Model", "*", "X-Token-Usage", "100,200", "Session", "s1"}

// ran waits until an engine has ended so many runs.
func ran(e *platformtest.Engine, n int, ended func(platformtest.Run) bool) []platformtest.Run {
	for {
		count := 0
		runs := e.Runs()
		for _, r := range runs {
			if ended(r) {
				count++
			}
		}
		if count >= n {
			return runs
		}
		runtime.Gosched()
	}
}

// started sends a request; the channel tells how reading its answer ended.
func started(req *http.Request) <-chan error {
	ended := make(chan error)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close() // it is broken off
		}
		ended <- err
	}()
	return ended
}

// A copy of a stream fills the new version's endpoint; the caller has its
// answer from the old one, at once.
func TestACopyGoesToTheEndpointOnTrial(t *testing.T) {
	is := is.New(t)
	w := newTrialWorld(t)
	w.do(http.MethodPost, "/sized/stream", "body", trialHeaders...).wholeStream(is)
	copies := ran(w.engines[1], 1, func(r platformtest.Run) bool { return r.Done })
	is.Equal(len(copies), 1)
	is.Equal(copies[0].Model, largeM) // which runs the longest
	is.Equal(copies[0].Customer, "cust")
	is.Equal(len(w.engines[0].Runs()), 1)
}

// Symptom: a request that may run once runs twice.
// Events: it comes while a new version's endpoint is on trial.
// What may not be repeated is not copied.
func TestWhatMayNotBeRepeatedIsNotCopied(t *testing.T) {
	is := is.New(t)
	w := newTrialWorld(t)
	w.do(http.MethodPost, "/once/stream", "body", trialHeaders...).wholeStream(is)
	w.do(http.MethodPost, "/post/x", "body", trialHeaders...).whole(is)
	is.Equal(len(w.engines[0].Runs()), 2)
	is.Equal(len(w.engines[1].Runs()), 0)
}

// Symptom: an endpoint on trial works for an entry that is gone.
// Events: an entry that stops serves a stream, and its copy would outlast it.
func TestAStoppingEntryCopiesNothing(t *testing.T) {
	is := is.New(t)
	w := newTrialWorld(t)
	w.gate.Begin(drain.Times{TakesAll: time.Second, Stays: time.Second, End: time.Second})
	w.do(http.MethodPost, "/sized/stream", "body", trialHeaders...).wholeStream(is)
	is.Equal(len(w.engines[1].Runs()), 0)
}

// Symptom: engines work on for callers that are gone.
// Events: a caller whose request was copied leaves before it has its answer.
// Its copy ends as well.
func TestACopyEndsWhenItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newTrialWorld(t)
	w.engines[0].Config.Events, w.engines[0].Config.Pause = 500, 20*time.Millisecond
	ctx, leave := context.WithCancel(context.Background())
	gone := started(w.request(http.MethodPost, "/sized/stream", "body", trialHeaders...).WithContext(ctx))
	ran(w.engines[1], 1, func(platformtest.Run) bool { return true })
	leave()
	is.True(<-gone != nil)
	ran(w.engines[1], 1, func(r platformtest.Run) bool { return r.Left })
}

// Guards against a request that crashes engines being unknown because its copy was the first to crash one.
func TestACrashUnderACopyIsHeldAgainstItsRequest(t *testing.T) {
	is := is.New(t)
	w := newTrialWorld(t)
	w.engines[0].Config.Events, w.engines[0].Config.Pause = 500, 20*time.Millisecond
	trial, err := platformtest.StartProcess(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2", Slots: 64,
		CrashOn: func([]byte) bool { return true }})
	is.NoErr(err)
	t.Cleanup(trial.Close)
	w.put(trial.Engine().Registration(false)) // takes the place of the one that is well
	w.sync()
	ctx, leave := context.WithCancel(context.Background())
	gone := started(w.request(http.MethodPost, "/sized/stream", poison, trialHeaders...).WithContext(ctx))
	of := quarantine.Of("cust", http.MethodPost, host, "/sized/stream", []byte(poison))
	for !w.quarantine.Check(of).Suspect {
		runtime.Gosched()
	}
	leave()
	is.True(<-gone != nil)
	is.Equal(trial.Crashes(), 1)
}
