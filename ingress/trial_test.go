package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rollout"
)

// newTrialEnv returns an environment with an engine of the old and one of the new version,
// in the phase of the roll-out in which endpoints are tried under load. The session of
// the requests stays with the old version.
func newTrialEnv(t *testing.T) *testEnv {
	w := newEnv(t, 0)
	w.addEngine(platformtest.EngineConfig{ID: "old", Service: service, Domain: "d1", Version: "v1", Slots: 64})
	w.addEngine(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2", Slots: 64, Events: 50, Pause: 20 * time.Millisecond})
	w.put("op/rollout/"+service, []byte(`{"service":"`+service+`","target":"v2","duration_s":1000}`))
	w.sync()
	order := w.fleet.View().Group(service).Rollout.Ordered
	w.rolloutController.Merge([]rollout.OrderState{{Service: service, Ordered: order, Age: 200 * time.Second}}, nil, nil)
	return w
}

// trialHeaders are the headers of a request whose answer keeps an endpoint busy.
var trialHeaders = []string{"X-Model", "*", "X-Token-Usage", "100,200", "Session", "s1"}

// awaitRuns waits until n runs of an engine fulfil a condition, and returns all its runs.
func awaitRuns(e *platformtest.Engine, n int, ended func(platformtest.Run) bool) []platformtest.Run {
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

// sendAsync sends a request; the channel receives the error of reading its answer.
func sendAsync(req *http.Request) <-chan error {
	ended := make(chan error)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close() // the answer may be cut off
		}
		ended <- err
	}()
	return ended
}

// A copy of a stream loads the new version's endpoint; the caller gets its answer
// from the old one without delay.
func TestACopyGoesToTheEndpointOnTrial(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.do(http.MethodPost, "/sized/stream", "body", trialHeaders...).assertCompleteStream(is)
	copies := awaitRuns(w.engines[1], 1, func(r platformtest.Run) bool { return r.Done })
	is.Equal(len(copies), 1)
	is.Equal(copies[0].Model, largeM) // which runs the longest
	is.Equal(copies[0].Customer, "cust")
	is.Equal(len(w.engines[0].Runs()), 1)
}

// Guards against a request that may run only once running twice because it comes
// while a new version's endpoint is on trial.
func TestWhatMayNotBeRepeatedIsNotCopied(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.do(http.MethodPost, "/once/stream", "body", trialHeaders...).assertCompleteStream(is)
	w.do(http.MethodPost, "/post/x", "body", trialHeaders...).assertComplete(is)
	is.Equal(len(w.engines[0].Runs()), 2)
	is.Equal(len(w.engines[1].Runs()), 0)
}

// Guards against an endpoint on trial working for an entry that has exited: an entry
// that is stopping serves a stream, and the copy would outlast it.
func TestAStoppingEntryCopiesNothing(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.gate.Begin(drain.Times{AcceptAllFor: time.Second, ServeAtLeast: time.Second, End: time.Second})
	w.do(http.MethodPost, "/sized/stream", "body", trialHeaders...).assertCompleteStream(is)
	is.Equal(len(w.engines[1].Runs()), 0)
}

// Guards against engines working on for callers that left before they had their
// answer: the copy is cancelled with the request.
func TestACopyEndsWhenItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.engines[0].Config.Events, w.engines[0].Config.Pause = 500, 20*time.Millisecond
	ctx, leave := context.WithCancel(context.Background())
	ended := sendAsync(w.request(http.MethodPost, "/sized/stream", "body", trialHeaders...).WithContext(ctx))
	awaitRuns(w.engines[1], 1, func(platformtest.Run) bool { return true })
	leave()
	is.True(<-ended != nil)
	awaitRuns(w.engines[1], 1, func(r platformtest.Run) bool { return r.Disconnected })
}

// Guards against a crash not being recorded for its request because the request's copy caused it, before
// the request itself crashed an engine.
func TestCrashOfACopyCountsForItsRequest(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.engines[0].Config.Events, w.engines[0].Config.Pause = 500, 20*time.Millisecond
	trial, err := platformtest.StartProcess(platformtest.EngineConfig{ID: "new", Service: service, Domain: "d1", Version: "v2", Slots: 64,
		CrashOn: func([]byte) bool { return true }})
	is.NoErr(err)
	t.Cleanup(trial.Close)
	w.put(trial.Engine().Registration(false)) // replaces the healthy one
	w.sync()
	ctx, leave := context.WithCancel(context.Background())
	ended := sendAsync(w.request(http.MethodPost, "/sized/stream", poison, trialHeaders...).WithContext(ctx))
	fingerprint := quarantine.FingerprintOf("cust", http.MethodPost, host, "/sized/stream", []byte(poison))
	for !w.quarantine.Check(quarantine.Subject{Request: fingerprint}).Suspect {
		runtime.Gosched()
	}
	leave()
	is.True(<-ended != nil)
	is.Equal(trial.Crashes(), 1)
}

// Guards against a limit that is named in the answer to a copy, and known to nobody.
func TestLimitInTheAnswerToACopyIsKept(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.engines[1].SetLimit(2)
	ended := sendAsync(w.request(http.MethodPost, "/resume/stream", "body", trialHeaders...))
	awaitRuns(w.engines[1], 1, func(r platformtest.Run) bool { return true })
	is.NoErr(<-ended)
	for !w.limits.Any() {
		runtime.Gosched()
	}
}

// Guards against a copy that waits at an endpoint crashing it although its request has been quarantined.
func TestQuarantineCancelsAWaitingCopy(t *testing.T) {
	is := is.New(t)
	w := newTrialEnv(t)
	w.quarantine.Answering(quarantine.Subject{}, 0, time.Now())
	time.Sleep(1100 * time.Millisecond) // its evidence counts at once from then on
	w.engines[1].FaultOf = func(*http.Request) platformtest.Fault { return platformtest.Hang }
	ended := sendAsync(w.request(http.MethodPost, "/sized/stream", "body", append([]string{"X-Prompt-Prefix", "f:10,m:10,own:10"}, trialHeaders...)...))
	awaitRuns(w.engines[1], 1, func(platformtest.Run) bool { return true })
	for n, part := range quarantine.PartFingerprints(service, []string{"m", "m"}) {
		w.quarantine.Crashed(quarantine.Subject{Request: quarantine.Fingerprint(n), Parts: []quarantine.Fingerprint{part}}, fleet.EndpointID(fmt.Sprint(n)), 0, quarantine.Started)
	}
	quarantined := time.Now()
	awaitRuns(w.engines[1], 1, func(r platformtest.Run) bool { return r.Disconnected })
	is.True(time.Since(quarantined) < 2*time.Second) // copies end by themselves after four
	<-ended
}
