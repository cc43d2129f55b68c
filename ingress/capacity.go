package ingress

import (
	"time"

	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// addOwnTimes adds the times that the request takes at an endpoint, at factor 1.
func (x *exchange) addOwnTimes(req *place.Request) {
	tokens := x.metadata.Usage.Prompt
	if tokens <= 0 {
		req.OwnTime = x.server.Board.PlainTime(x.target())
		return
	}
	req.OwnTime = x.server.Rates.TimeToFirstEvent(x.modelName(), tokens)
	if x.route.Kind == fleet.Streaming {
		req.ReadTime, req.MaxPause = x.server.Rates.PrefillTime(x.modelName(), tokens), x.route.MaxGap
	}
}

// expectedFirstEvent returns the expected time to the first event at an endpoint. A quick moment of an
// endpoint may end before, so that its usual factor counts at least.
func (x *exchange) expectedFirstEvent(id fleet.EndpointID) time.Duration {
	board := x.server.Board
	s := board.Standing(id)
	return s.Wait + scaled(x.server.Rates.TimeToFirstEvent(x.modelName(), x.metadata.Usage.Prompt), max(s.Factor, board.UsualFactor(id)))
}

// answerFactor returns the factor of the endpoint of an answer: as the answer tells it, or as it was
// assumed when the request was sent. It is bounded like the factors of the table.
func (x *exchange) answerFactor(c *upstreamCall) float64 {
	if load := c.head.Load; load != nil && capacity.Valid(load.SlowdownPercent) {
		return capacity.Bounded(float64(load.SlowdownPercent) / 100)
	}
	return c.standing.Factor
}

// leastFactor returns the smaller of the factors of the endpoint at the send and at the answer.
func (x *exchange) leastFactor(c *upstreamCall) float64 {
	factor := x.answerFactor(c)
	if c.standing.HasFactor {
		factor = min(factor, c.standing.Factor)
	}
	return factor
}

// learnTime updates the estimates of how long answers take with one that took the given time. An
// endpoint may have become slow only before the end, and estimates follow the quickest answers: a
// factor that is too high would lower them, so that the smaller of two counts.
func (x *exchange) learnTime(c *upstreamCall, tokens int, took time.Duration) {
	took = scaled(took, 1/x.leastFactor(c))
	if tokens > 0 {
		x.server.Rates.Learn(x.modelName(), tokens, took)
		return
	}
	x.server.Board.ObservePlainTime(x.target(), took)
}

// knownFactor returns the factor of an endpoint; 0: it has reported none.
func knownFactor(s place.Standing) float64 {
	if !s.HasFactor {
		return 0
	}
	return s.Factor
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
