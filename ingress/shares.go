package ingress

import (
	"log/slog"
	"time"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/shares"
)

const (
	// outputWeight is the engine time of a generated token in relation to that of a prompt's token. With all of twelve
	// slots taken an event of six tokens comes every 57 ms instead of every 24, so that each stream adds some 0.5 ms to a
	// token, while a mid-sized model reads one in 0.03 ms.
	outputWeight = 15
	// mostUrgentCost and the number of more urgent kinds of requests weigh the cost of a larger model, so that under
	// shortage the least urgent yield first.
	mostUrgentCost = 0.5
	// minExcessCost is the engine time of a larger model, in relation to the mean of the service's, from which a request
	// in excess gets none. Cheaper ones hardly take capacity from others.
	minExcessCost = 1
	// plainWork stands for the work of a request that is not a stream, of which nothing tells the size; only
	// the relation between the requests of a service matters.
	plainWork = 50 * time.Millisecond
)

// engineTime returns the engine time that the request is expected to take with a model.
func (x *exchange) engineTime(model string) time.Duration {
	if x.route.Kind != fleet.Streaming {
		return plainWork
	}
	u := x.metadata.Usage
	return max(time.Millisecond, x.server.Rates.PrefillTime(model, u.Prompt+outputWeight*u.Output))
}

// customerName returns the name of the request's customer; empty: it needs none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// standing returns the standing of the request at its service. Whether it is in excess of its customer's share is decided
// once, before its first send.
func (x *exchange) standing() shares.Standing {
	if x.share == nil {
		st := x.server.Shares.Standing(x.target(), x.customerName(), x.ownUrgency(), x.metadata.ID)
		x.share = &st
		if st.InExcess {
			x.server.metrics.scope.Counter("requests_in_excess_total").Inc(1)
		}
		return st
	}
	return x.server.Shares.Now(x.target(), *x.share)
}

// usualDelay returns the delay of first events that is usual at the request's urgency while the service is short of
// capacity. If all engines are equally busy, a request that is sent again only adds load.
func (x *exchange) usualDelay() time.Duration {
	st := x.standing()
	if !st.Short || !st.SeveralUrgencies {
		return 0
	}
	return time.Duration(st.Delay * float64(x.route.Objective))
}

// addStanding adds to an estimate for a larger model what follows from the request's urgency and its customer's share;
// wait is that at the chosen engine.
func (x *exchange) addStanding(e *cascade.Estimate, wait time.Duration) {
	st := x.standing()
	cost := x.server.Shares.CostRatio(x.target(), x.engineTime(x.modelName()))
	e.InExcess = st.InExcess && st.Short && cost >= minExcessCost
	if !st.ByUrgency {
		return
	}
	e.Urgent = &cascade.UrgentEstimate{Wait: st.Wait(wait, x.route.Objective), Shortage: st.Shortage, Cost: cost * (mostUrgentCost + float64(st.Rank))}
}

// observeDelay records the delay of an answer's first event at the urgency that the request was sent with.
func (x *exchange) observeDelay(delay time.Duration) {
	if x.route.Kind == fleet.Streaming {
		x.server.Shares.ObserveDelay(x.target(), x.standing().Urgency, delay, x.route.Objective)
	}
}

// observeNoFirstEvent records the delay of a call that was cancelled because it had no first event. Without these, delays
// over the limit would never be seen and the limit would not grow.
func (x *exchange) observeNoFirstEvent(a *attempt) {
	waited := x.server.Clock.Since(x.received) - a.begun
	x.observeDelay(waited - x.server.Rates.TimeToFirstEvent(a.model, x.metadata.Usage.Prompt))
}

// standingAttrs returns what the request's log line tells of its standing, while its service was short of capacity.
func (x *exchange) standingAttrs() []slog.Attr {
	st := x.share
	if st == nil || !st.Short && !st.ByUrgency {
		return nil
	}
	return []slog.Attr{slog.Int("urgency", st.Urgency), slog.Int("delay_permille", int(1000*st.Delay)), slog.Int("shortage_permille", int(1000*st.Shortage)),
		slog.Int("service_shortage_permille", int(1000*st.ServiceShortage)), slog.Bool("by_urgency", st.ByUrgency), slog.Bool("in_excess", st.InExcess)}
}

// qualityPurpose returns the purpose of asking a larger model: under shortage, urgent requests come first.
func (x *exchange) qualityPurpose() retry.Purpose {
	st := x.standing()
	if !st.SeveralUrgencies {
		return retry.ForQuality
	}
	return retry.QualityUnder(st.Shortage)
}
