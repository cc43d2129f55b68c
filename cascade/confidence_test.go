package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// escalates reports whether Decide chooses a larger model.
func (p EscalationPolicy) escalates(confidence int, e Estimate) bool {
	return p.Decide(confidence, e) == Escalate
}

func idleEstimate() Estimate {
	return Estimate{First: 200 * time.Millisecond, Objective: 2 * time.Second}
}

func TestLowConfidenceEscalatesWhenIdle(t *testing.T) {
	is := is.New(t)
	p := EscalationPolicy{MinConfidence: DefaultMinConfidence}
	is.True(p.escalates(DefaultMinConfidence-1, idleEstimate()))
	is.True(!p.escalates(DefaultMinConfidence, idleEstimate()))
}

// Guards against all answers being late when half of the engines have crashed: the
// others are full, and two answers in five are dropped for the largest model's,
// which runs for seconds and slows the requests beside it. The higher the load, the
// lower the confidence must be for an answer to be dropped.
func TestThresholdFallsWithEngineLoad(t *testing.T) {
	is := is.New(t)
	p := EscalationPolicy{MinConfidence: DefaultMinConfidence}
	e := idleEstimate()
	e.Utilization = (relaxedLoad + maxLoad) / 2
	is.True(!p.escalates(DefaultMinConfidence-1, e))
	is.True(p.escalates(DefaultMinConfidence/2-1, e))
	e.Utilization = maxLoad
	is.True(!p.escalates(0, e))
}

// More elapsed time, a longer wait or a higher load never causes an answer to be
// dropped that would otherwise be kept.
func TestDelayAndLoadNeverCauseEscalation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := EscalationPolicy{MinConfidence: DefaultMinConfidence}
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
		}
		e := Estimate{Elapsed: ms("elapsed"), Wait: ms("wait"), First: ms("first"), Objective: 2 * time.Second, Utilization: rapid.Float64Range(0, 2).Draw(t, "busy")}
		worse := e
		worse.Elapsed += ms("more_elapsed")
		worse.Wait += ms("more_wait")
		worse.Utilization += rapid.Float64Range(0, 1).Draw(t, "more_busy")
		confidence := rapid.IntRange(0, 100).Draw(t, "confidence")
		if p.escalates(confidence, worse) && !p.escalates(confidence, e) {
			t.Fatalf("escalated at %+v but not at %+v", worse, e)
		}
	})
}
