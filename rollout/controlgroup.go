package rollout

import "github.com/lovageweir/lovageweir/fleet"

// The control group of a roll-out: endpoints of the old version that get the same share of
// the requests as the canary endpoints, so that both have the same load. Compared with all
// old endpoints, which have several times as many requests each, a slow version would look
// as fast as the old one.

// minForControlGroup is the least number of old endpoints with a separate control group.
// With fewer, the remaining ones would lack capacity, and all are the control group.
const minForControlGroup = 5

// controlSize returns the size of the control group.
func controlSize(older int) int {
	if older < minForControlGroup {
		return older
	}
	return canaryCount(older, canaryShare(older))
}

// canaryCount returns how many endpoints serve a share of the requests, so that each has the
// load of an old one: at least two, as a single one may be faulty.
func canaryCount(older int, share float64) int {
	return max(2, int(share*float64(older)+0.999))
}

// endpointOrder holds the endpoints of one view's group in the order in which they are
// selected for canaries and trials, identical on all entries. It is cached for a view, as
// sorting hashes each endpoint many times.
type endpointOrder struct {
	fleetGroup   *fleet.Group
	older, newer []fleet.Endpoint
	index        map[fleet.EndpointID]int // position among the endpoints of its version
}

// endpointOrderLocked returns the cached order of a group's endpoints, or computes it.
func (t *tracker) endpointOrderLocked(g *fleet.Group) *endpointOrder {
	if t.endpoints != nil && t.endpoints.fleetGroup == g {
		return t.endpoints
	}
	older, newer := splitByVersion(g.Ready, g.Rollout.Target)
	o := &endpointOrder{fleetGroup: g, older: sortForTrial(older, t.first), newer: sortForTrial(newer, t.first), index: map[fleet.EndpointID]int{}}
	for _, eps := range [][]fleet.Endpoint{o.older, o.newer} {
		for i, ep := range eps {
			o.index[ep.ID] = i
		}
	}
	t.endpoints = o
	return o
}

// choose selects the control group's endpoints first for its requests, and the other old
// endpoints first for the rest.
func (o *endpointOrder) choose(inControl bool) Choice {
	n := controlSize(len(o.older))
	if n == len(o.older) {
		return Choice{Preferred: o.older}
	}
	control, others := o.older[:n:n], o.older[n:]
	if inControl {
		return Choice{Preferred: control, Fallback: others}
	}
	return Choice{Preferred: others, Fallback: control}
}

// memberOf returns an endpoint's group in the comparison, if it has one, and the half of
// that group.
func (o *endpointOrder) memberOf(ep fleet.Endpoint) (group, half int, ok bool) {
	at, ok := o.index[ep.ID]
	switch {
	case !ok:
		return 0, 0, false
	case ep.Version == o.fleetGroup.Rollout.Target:
		return newGroup, at % 2, true
	}
	return controlGroup, at % 2, at < controlSize(len(o.older))
}
