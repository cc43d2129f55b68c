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
	choice := x.server.Rollouts.Choose(group, rollout.Request{ID: x.facts.ID, Session: x.facts.Session, Route: x.route.Name})
	w := place.Want{Domain: x.server.Domain, Tried: x.tried, SharedTokens: x.facts.SharedTokens(), Affinity: x.affinity()}
	w.Reading = x.server.Rates.Reading(x.modelName(), w.SharedTokens)
	opens := time.Duration(0) // when the first of those at their limits takes a request
	if x.server.Limits.Any() {
		w.Closed = x.closed(choice, &opens)
	}
	ranked := x.server.Board.Rank(choice.First, w)
	if len(ranked) == 0 || ranked[0].Standing.Ejected {
		ranked = append(ranked, x.server.Board.Rank(choice.Then, w)...)
	}
	if len(ranked) == 0 {
		ranked = x.server.Board.Rank(x.lapsed(choice.LastResort), w)
	}
	if len(ranked) == 0 {
		if opens > 0 {
			return nil, place.Ranked{}, refuseLimited(opens)
		}
		if len(x.tried) > 0 {
			return nil, place.Ranked{}, refuseFull
		}
		return nil, place.Ranked{}, refuseNoEndpoint
	}
	best := ranked[0]
	for _, r := range ranked {
		if !r.Standing.Ejected {
			best = r
			break
		}
	}
	return group, best, nil
}

// closed reports endpoints that have no room for the request within their limits, and notes
// when the first of them has. Where all name a limit, no request leaves room for others: those
// that do would hardly be served at all.
func (x *exchange) closed(choice rollout.Choice, opens *time.Duration) func(fleet.Endpoint) bool {
	limits := x.server.Limits
	x.leaves = limits.Leaves(x.target(), x.server.Rates.Reading(x.modelName(), x.facts.Usage.Prompt))
	unlimited := func(ep fleet.Endpoint) bool { return limits.Limit(ep) == 0 }
	if !slices.ContainsFunc(choice.First, unlimited) && !slices.ContainsFunc(choice.Then, unlimited) {
		x.leaves = 0
	}
	return func(ep fleet.Endpoint) bool {
		wait := limits.Wait(ep, x.leaves)
		if wait > 0 && (*opens == 0 || wait < *opens) {
			*opens = wait
		}
		return wait > 0
	}
}

// lapsed are the endpoints whose registration ended a short while ago.
func (x *exchange) lapsed(all []fleet.Lapsed) []fleet.Endpoint {
	var out []fleet.Endpoint
	now := x.server.Clock.Now()
	for _, l := range all {
		if now.Sub(l.Since) < x.server.LapsedFor {
			out = append(out, l.Endpoint)
		}
	}
	return out
}

// affinity is equal for requests that read the same shared prompt with the
// same model.
func (x *exchange) affinity() uint64 {
	shared := x.facts.SharedPrompt()
	if len(shared) == 0 {
		return 0
	}
	return place.Hash(shared[len(shared)-1].ID, x.modelName())
}

// urgency ranks the request at the engines: the customer's priority goes
// before the route's. 5 is what an engine assumes.
func (x *exchange) urgency() (int, bool) {
	if x.route.Kind != fleet.Streaming {
		return 0, false
	}
	p := x.route.Priority
	if x.customer != nil && x.customer.Priority != nil {
		p = *x.customer.Priority
	}
	return min(max(2*p+2, 0), 9), true
}
