package cascade

import (
	"math"
	"time"
)

// EscalationPolicy decides which of a route's models answers first, and whether an answer
// of low confidence is dropped in favour of one of a larger model.
//
// Small models are cheap and fast and answer easy requests as well as large ones
// do; how hard a request is shows only in the answer. So the smallest model goes
// first, and an answer for which it reports low confidence is dropped before the
// caller has received any of it.
//
// The largest model takes many times the engine time. When engines are
// overloaded, its answer is late and delays others; then only answers that are
// almost certainly poor are dropped. Where requests differ in urgency, the time and the
// capacity are those at the request's own: the least urgent ones yield first.
type EscalationPolicy struct {
	// MinConfidence is the confidence, 0 to 100, below which an answer is dropped while
	// neither time nor engine capacity is short.
	MinConfidence int
}

// DefaultMinConfidence is the default threshold; docs/CASCADES.md has the results at other
// values.
const DefaultMinConfidence = 50

// How the confidence threshold falls with the time left and the engines' load.
const (
	// relaxedSlack is the share of the objective that must be left after the
	// larger model's first event for the full threshold to apply.
	relaxedSlack = 0.45
	// minSlack is the share below which a larger model's answer would be late,
	// and the present one is kept.
	minSlack = 0.1
	// urgentRelaxedSlack replaces relaxedSlack where the wait is that at the request's own urgency, which is not
	// multiplied.
	urgentRelaxedSlack = 0.25
	// waitFactor multiplies the wait: if the best engine has a queue all engines
	// have, and any added request makes others wait as well.
	waitFactor = 3
	// relaxedLoad and maxLoad, as fractions of the engines' slots, are where the
	// threshold begins to fall and where it reaches 0. While slots are free, streams
	// hardly slow each other for callers: with all of twelve slots taken an event
	// comes every 57 ms instead of every 24, while gaps of up to a second are on time.
	// Without a free slot a request waits for a whole stream to end, and streams of
	// the largest model last for seconds.
	relaxedLoad = 0.7
	maxLoad     = 1.1
)

// Verdict is the decision on an answer of low confidence.
type Verdict string

// Verdicts.
const (
	// Escalate: the request goes to a larger model.
	Escalate Verdict = "asked"
	// NoTime: a larger model's answer would be late.
	NoTime Verdict = "no time"
	// EnginesBusy: the engines are too busy for an answer of this confidence, or at their
	// rate limits.
	EnginesBusy Verdict = "engines busy"
	// Suspect: endpoints crashed while they held the request.
	Suspect Verdict = "endpoints crashed under it"
	// OverShare: the request is in excess of its customer's share of a service that is short of capacity.
	OverShare Verdict = "over its share"
	// NoRetry: the retry budget or the number of attempts is exhausted.
	NoRetry Verdict = "no repeat"
)

// Estimate estimates what a larger model's answer would take.
type Estimate struct {
	Elapsed   time.Duration // since the request arrived
	Wait      time.Duration // behind other requests: at the chosen engine, or the service's mean if longer
	First     time.Duration // from the end of the wait to the larger model's first event
	Objective time.Duration
	// Utilization is the number of requests that run and wait at the service's engines, as
	// a fraction of their slots, by their latest reports.
	Utilization float64
	// Urgent is set while requests wait and differ in urgency; engines then serve them by urgency, and the figures over
	// all of them do not apply. nil: they do.
	Urgent *UrgentEstimate
	// InExcess: the request is in excess of its customer's share, the service is short of capacity, and the larger model
	// takes more than a little of it.
	InExcess bool
}

// UrgentEstimate is the part of an estimate that depends on the urgency of the request.
type UrgentEstimate struct {
	// Wait is the present delay at the request's urgency, or the known wait at the chosen engine if that is longer.
	Wait time.Duration
	// Shortage, 0 to 1, is that among requests at least as urgent.
	Shortage float64
	// Cost is the engine time of the larger model in relation to its mean for the service's requests, times a weight
	// that grows with the number of more urgent kinds of requests.
	Cost float64
}

// headroom is the capacity left for a larger model's answer, from 1 at relaxedLoad
// or less to 0 at maxLoad or more. By urgency it is what is not short, and less for a costlier answer.
func (e Estimate) headroom() float64 {
	if u := e.Urgent; u != nil {
		return math.Pow(1-min(1, max(0, u.Shortage)), u.Cost)
	}
	return min(1, max(0, (maxLoad-e.Utilization)/(maxLoad-relaxedLoad)))
}

// slack is the share of the objective that would be left.
func (e Estimate) slack() float64 {
	if e.Objective <= 0 {
		return 1
	}
	wait := waitFactor * e.Wait
	if e.Urgent != nil {
		wait = e.Urgent.Wait
	}
	return 1 - float64(e.Elapsed+wait+e.First)/float64(e.Objective)
}

// First returns the index of the model that a request starts with.
func (p EscalationPolicy) First(int) int { return 0 }

// Next returns the model to ask after an answer of the model at index with
// the given confidence. It is the largest: an intermediate one costs an attempt
// and is little better.
func (p EscalationPolicy) Next(models, index, confidence int) (next int, ok bool) {
	if index >= models-1 || confidence < 0 || confidence >= p.MinConfidence {
		return index, false
	}
	return models - 1, true
}

// Decide decides whether to ask the larger model, by the time left and the engines'
// load.
func (p EscalationPolicy) Decide(confidence int, e Estimate) Verdict {
	if e.InExcess {
		return OverShare
	}
	slack := e.slack()
	if slack < minSlack {
		return NoTime
	}
	relaxed := relaxedSlack
	if e.Urgent != nil {
		relaxed = urgentRelaxedSlack
	}
	timeFactor := min(1, (slack-minSlack)/(relaxed-minSlack))
	threshold := float64(p.MinConfidence) * timeFactor
	switch {
	case float64(confidence) >= threshold:
		return NoTime
	case float64(confidence) >= threshold*e.headroom():
		return EnginesBusy
	}
	return Escalate
}
