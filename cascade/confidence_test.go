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

// Guards against the wait of less urgent requests taking the larger model from urgent ones: it counts only where
// requests do not differ in urgency.
func TestUrgentRequestsAreJudgedByTheirOwnDelay(t *testing.T) {
	is := is.New(t)
	p := EscalationPolicy{MinConfidence: DefaultMinConfidence}
	e := idleEstimate()
	e.Wait, e.Utilization = time.Second, maxLoad
	is.Equal(p.Decide(10, e), NoTime)
	e.Urgent = &UrgentEstimate{Wait: 100 * time.Millisecond, Cost: 1}
	is.Equal(p.Decide(10, e), Escalate)
	e.Urgent.Wait = 1700 * time.Millisecond
	is.Equal(p.Decide(10, e), NoTime)
	e.Urgent = &UrgentEstimate{Shortage: 1, Cost: 1}
	is.Equal(p.Decide(0, e), EnginesBusy)
}

// A costly request of an urgency yields before a cheap one, and one in excess gets no larger model at all.
func TestCostlyRequestsYieldFirst(t *testing.T) {
	is := is.New(t)
	p := EscalationPolicy{MinConfidence: DefaultMinConfidence}
	e := idleEstimate()
	e.Urgent = &UrgentEstimate{Shortage: 0.5, Cost: 0.5}
	is.Equal(p.Decide(30, e), Escalate)
	e.Urgent.Cost = 2
	is.Equal(p.Decide(30, e), EnginesBusy)
	is.Equal(p.Decide(5, e), Escalate) // the most doubt
	e.InExcess = true
	is.Equal(p.Decide(5, e), OverShare)
}
