package ingress

import (
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/rollout"
)

// pick returns the best endpoint for the next send.
func (x *exchange) pick() (*fleet.Group, place.Ranked, *refusal) {
	x.view = x.server.Fleet.View()
	group := x.view.Group(x.target())
	if group == nil {
		return nil, place.Ranked{}, refuseNoEndpoint
	}
	if !x.server.Egress.Reaches(group) {
		return nil, place.Ranked{}, refuseUnreached
	}
	choice := x.server.Rollouts.Choose(group, rollout.Request{ID: x.metadata.ID, Session: x.metadata.Session, Route: x.route.Name})
	req := place.Request{Domain: x.server.Domain, Tried: x.tried, SharedTokens: x.metadata.SharedTokens(), Affinity: x.affinity()}
	req.PrefillTime = x.server.Rates.PrefillTime(x.modelName(), req.SharedTokens)
	opensIn := time.Duration(0) // when the first of the closed endpoints accepts a request
	closed, blocked, blockedAny := x.closed(group, choice, &opensIn), x.blocked(), false
	full, fullAny, fullUntried := x.fullEndpoints(), false, false
	req.Closed = func(ep fleet.Endpoint) bool {
		is := blocked(ep)
		isFull := !is && full[ep.ID]
		blockedAny, fullAny = blockedAny || is, fullAny || isFull
		fullUntried = fullUntried || isFull && !x.tried[ep.ID]
		return is || isFull || closed(ep)
	}
	ranked := x.server.Board.Rank(choice.Preferred, req)
	if !fullUntried && (len(ranked) == 0 || ranked[0].Standing.Ejected) { // else the preferred version is only full
		ranked = append(ranked, x.server.Board.Rank(choice.Fallback, req)...)
	}
	if fullAny && (len(ranked) == 0 || ranked[0].Standing.Ejected) {
		return nil, place.Ranked{}, x.refuseFull(choice, opensIn)
	}
	if len(ranked) == 0 {
		ranked = x.server.Board.Rank(x.recentlyLapsed(choice.LastResort), req)
	}
	if len(ranked) == 0 && blockedAny && opensIn == 0 {
		return nil, place.Ranked{}, refuseQuarantined(x.quarantinedFor)
	}
	if len(ranked) == 0 {
		return nil, place.Ranked{}, x.refuseUnavailable(group, choice, opensIn)
	}
	best := ranked[0]
	for _, r := range ranked {
		if !r.Standing.Ejected {
			best = r
			break
		}
	}
	if rest, _ := x.restEndsIn(choice); best.Standing.Ejected && rest > 0 {
		return nil, place.Ranked{}, refuseResting(rest) // the others are sound
	}
	return group, best, nil
}

// refuseUnavailable returns the refusal for a request that no endpoint takes now; limitOpensIn is when
// the first of those at their limits does, 0 if there is none.
func (x *exchange) refuseUnavailable(g *fleet.Group, choice rollout.Choice, limitOpensIn time.Duration) *refusal {
	restEndsIn, full := x.restEndsIn(choice)
	switch {
	case limitOpensIn > 0 && (restEndsIn == 0 || limitOpensIn <= restEndsIn):
		return refuseLimited(limitOpensIn)
	case restEndsIn > 0 && !full:
		return refuseResting(restEndsIn)
	case len(x.tried) > 0 && x.reachedNone():
		return refuseUnreached
	case len(x.tried) > 0:
		return refuseEndpointsFull
	case len(g.Ready) == 0 && len(g.Evacuated) > 0:
		return refuseEvacuated
	}
	return refuseNoEndpoint
}

// reachedNone reports whether no endpoint accepted a connection for the request.
func (x *exchange) reachedNone() bool {
	return !slices.ContainsFunc(x.attempts, func(a attempt) bool { return a.outcome != place.Unreached && a.outcome != place.NoPath })
}

// restEndsIn returns when the first of the endpoints that asked for a rest may be used, 0 if none did;
// full reports whether one that was tried did not ask for any.
func (x *exchange) restEndsIn(choice rollout.Choice) (first time.Duration, full bool) {
	for _, endpoints := range [][]fleet.Endpoint{choice.Preferred, choice.Fallback} {
		for _, ep := range endpoints {
			rest := x.server.Board.Resting(ep.ID)
			full = full || rest == 0 && x.tried[ep.ID]
			if rest > 0 && (first == 0 || rest < first) {
				first = rest
			}
		}
	}
	return first, full
}

const (
	// maxDenied is how many endpoints of a version are asked in vain for one request; each takes a
	// round trip.
	maxDenied = 3
	// maxDeniedPermits is the same for permits at brittle endpoints, which are free again after each
	// request.
	maxDeniedPermits = 5
	// deniedDelay is when a caller may retry whose request asked that many in vain.
	deniedDelay = 100 * time.Millisecond
)

// closed returns a filter for endpoints that are cold or at their limits and have no room for the
// request, and records in opensIn when the first of them has.
func (x *exchange) closed(g *fleet.Group, choice rollout.Choice, opensIn *time.Duration) func(fleet.Endpoint) bool {
	limitWait := func(ep fleet.Endpoint) time.Duration {
		if x.denied[ep.Version] >= maxDeniedPermits {
			return deniedDelay
		}
		return 0
	}
	if x.server.Limits.Any() {
		limitWait = x.limitWait(choice)
	}
	return func(ep fleet.Endpoint) bool {
		wait := max(limitWait(ep), x.server.SlowStart.Wait(ep, g.Service), x.server.Concurrency.Wait(ep))
		if wait > 0 && (*opensIn == 0 || wait < *opensIn) {
			*opensIn = wait
		}
		return wait > 0
	}
}

// limitWait returns a function that tells how long until an endpoint has room for the request within
// its limit. If all endpoints announce a limit, no request leaves headroom: requests that do would
// hardly be served at all.
func (x *exchange) limitWait(choice rollout.Choice) func(fleet.Endpoint) time.Duration {
	limits := x.server.Limits
	x.headroom = limits.Headroom(x.target(), x.server.Rates.PrefillTime(x.modelName(), x.metadata.Usage.Prompt))
	unlimited := func(ep fleet.Endpoint) bool { return limits.Limit(ep) == 0 }
	if !slices.ContainsFunc(choice.Preferred, unlimited) && !slices.ContainsFunc(choice.Fallback, unlimited) {
		x.headroom = 0
	}
	return func(ep fleet.Endpoint) time.Duration {
		wait := limits.Wait(ep, x.headroom)
		if wait == 0 && (x.denied[ep.Version] >= maxDenied && limits.Limit(ep) > 0 || x.denied[ep.Version] >= maxDeniedPermits) {
			wait = deniedDelay
		}
		return wait
	}
}

// recentlyLapsed returns the endpoints whose registration ended less than LapsedGrace ago.
func (x *exchange) recentlyLapsed(all []fleet.Lapsed) []fleet.Endpoint {
	var out []fleet.Endpoint
	now := x.server.Clock.Now()
	for _, l := range all {
		if now.Sub(l.Since) < x.server.LapsedGrace {
			out = append(out, l.Endpoint)
		}
	}
	return out
}

// affinity returns a hash that is equal for requests with the same shared prompt
// and model.
func (x *exchange) affinity() uint64 {
	shared := x.metadata.SharedPrompt()
	if len(shared) == 0 {
		return 0
	}
	return place.Hash(shared[len(shared)-1].ID, x.modelName())
}

// urgency returns the request's priority at the engines. An engine that gets none assumes 5.
func (x *exchange) urgency() (int, bool) {
	if x.route.Kind != fleet.Streaming {
		return 0, false
	}
	return min(max(2*x.priority()+2, 0), 9), true
}

// priority returns the request's priority: the customer's overrides the route's.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.Priority != nil {
		return *x.customer.Priority
	}
	return x.route.Priority
}
