package rollout

import "github.com/lovageweir/lovageweir/fleet"

// The control group of a roll-out: endpoints of the old version that get the same
// share of the requests as the new version's first ones do, so that both have the
// same load. Compared with all old endpoints, which have several times as many
// requests each, a slow version would look as quick as the old one.

// controlApart is the least number of old endpoints of which some are kept for
// the control group: with fewer, the others would be short of room, and all are
// the group.
const controlApart = 5

// controlSize is how many of so many old endpoints are the control group.
func controlSize(older int) int {
	if older < controlApart {
		return older
	}
	return firstEndpoints(older, firstShare(older))
}

// firstEndpoints is how many endpoints get a share of the requests, where each of
// so many old ones gets an equal part: not one alone, which may be in trouble of
// its own.
func firstEndpoints(older int, share float64) int {
	return max(2, int(share*float64(older)+0.999))
}

// trialOrder are the endpoints of one view's group in the order in which they are
// chosen for a first share and for a trial, alike on all entries. Sorting them
// hashes each of them many times, so that it is done once a view.
type trialOrder struct {
	of           *fleet.Group
	older, newer []fleet.Endpoint
	place        map[fleet.EndpointID]int // among those of its version
}

// trialOrderLocked returns the order of a group's endpoints.
func (t *track) trialOrderLocked(g *fleet.Group) *trialOrder {
	if t.inOrder != nil && t.inOrder.of == g {
		return t.inOrder
	}
	older, newer := split(g.Ready, g.Rollout.Target)
	r := &trialOrder{of: g, older: inTrialOrder(older, t.ordered), newer: inTrialOrder(newer, t.ordered), place: map[fleet.EndpointID]int{}}
	for _, eps := range [][]fleet.Endpoint{r.older, r.newer} {
		for i, ep := range eps {
			r.place[ep.ID] = i
		}
	}
	t.inOrder = r
	return r
}

// choose splits the old endpoints between the control group's requests and all
// others.
func (r *trialOrder) choose(inControl bool) Choice {
	n := controlSize(len(r.older))
	if n == len(r.older) {
		return Choice{First: r.older}
	}
	control, others := r.older[:n:n], r.older[n:]
	if inControl {
		return Choice{First: control, Then: others}
	}
	return Choice{First: others, Then: control}
}

// memberOf is the group that an endpoint belongs to in the comparison, if it
// does, and which half of it.
func (r *trialOrder) memberOf(ep fleet.Endpoint) (group, half int, ok bool) {
	at, ok := r.place[ep.ID]
	switch {
	case !ok:
		return 0, 0, false
	case ep.Version == r.of.Rollout.Target:
		return newGroup, at % 2, true
	}
	return controlGroup, at % 2, at < controlSize(len(r.older))
}
