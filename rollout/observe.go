package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Answer is how an endpoint answered, as the controller counts it.
type Answer struct {
	Group    *fleet.Group
	Endpoint fleet.Endpoint
	Route    string
	Model    string
	Failed   bool // the endpoint answered that it failed
	// Took is the time to the first event; 0: there was none.
	Took time.Duration
	// Expected is the time to the first event that its prompt should take, 0:
	// it has none; Wait how long it had to wait for others, as far as known.
	Expected time.Duration
	Wait     time.Duration
	// Pace: Took is the mean pause between the events of a stream instead. It
	// varies less than first events do, and shows a slow version sooner.
	Pace bool
	// ShortPause is the second shortest of these pauses, 0: not known.
	ShortPause time.Duration
}

// afterLoss is how long after an endpoint was lost the others, which take over
// its requests, may be slow through no fault of the version.
const afterLoss = 4 * time.Second

// Lost notes that an endpoint of a group accepts no connections. It counts if it
// is of the version that is brought in.
func (c *Controller) Lost(g *fleet.Group, ep fleet.Endpoint) {
	if g.Rollout == nil || ep.Version != g.Rollout.Target {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackLocked(g.Rollout).lostTill = c.Clock.Now().Add(afterLoss)
}

// evidenceRoute is what the answer is counted under. The pace of streams is
// evidence of its own, over all routes: a version may be slow in that only, and
// among first events that are in time it would not show.
func (a Answer) evidenceRoute() string {
	if a.Pace {
		return "(pace)"
	}
	return a.Route
}

// plain reports whether a plain service gave the answer: how long one takes goes by no
// prompt.
func (a Answer) plain() bool { return a.Model == "" && a.Expected == 0 && !a.Pace }

// net is the time without what it waited for others. What is known of that
// grows with each request that a slow version keeps waiting, so that half of
// the time counts in any case.
func (a Answer) net() time.Duration { return a.Took - min(a.Wait, a.Took/2) }

// Observe counts an answer: as evidence where its version is being brought
// in, as the usual time elsewhere. It reports whether it counted as usual.
func (c *Controller) Observe(a Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := usualKey{a.Model, a.Pace}
	if a.Model == "" {
		key.name = a.Route
	}
	u := c.usual[key]
	if u == nil {
		u = &usual{}
		c.usual[key] = u
	}
	r := a.Group.Rollout
	if r == nil || a.Endpoint.Version != r.Target || r.State == fleet.RolloutDone {
		if r != nil && !final(r.State) {
			c.observeOldLocked(u, a)
		}
		if a.Took > 0 && !a.Failed {
			u.add(a.net(), a.Expected)
		}
		return true
	}
	t := c.trackLocked(r)
	if t.ordered != r.Ordered {
		return false
	}
	if !a.Pace {
		t.answers++
	}
	c.compareLocked(t, u, a)
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: r.Service, Ordered: r.Ordered, Route: a.evidenceRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Seen |= endpointBit(a.Endpoint.ID)
	switch {
	case a.Failed:
		counts.Failed++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	case c.Clock.Now().Before(t.lostTill):
		return false // slow or not, it says little now
	case a.Pace && !u.known():
		return false // it would count as well, whatever it is
	case u.slow(a, !t.movedOn.IsZero()):
		counts.Slow++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	}
	t.evidence.take(src, counts, c.Clock.Now())
	c.judgeLocked(a.Group, t)
	return false
}

// observeOldLocked counts an answer of the version that is to be replaced.
func (c *Controller) observeOldLocked(u *usual, a Answer) {
	t := c.trackLocked(a.Group.Rollout)
	if t.ordered != a.Group.Rollout.Ordered {
		return
	}
	if !a.Pace {
		t.answers++
		c.countOldLocked(t, u, a)
	}
	c.compareLocked(t, u, a)
}

// countOldLocked counts whether an answer of the old version failed or was slow, as what
// the new one's are judged against.
func (c *Controller) countOldLocked(t *track, u *usual, a Answer) {
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered, Route: a.oldRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	switch {
	case a.Failed:
		counts.Failed++
	case u.slow(a, false):
		counts.Slow++
	}
	t.evidence.take(src, counts, c.Clock.Now())
}

func (c *Controller) judgeLocked(g *fleet.Group, t *track) {
	service := g.Rollout.Service
	if t.halted {
		return
	}
	route, bad := t.evidence.bad(aliveBits(g), c.Clock.Now())
	slower, _ := t.evidence.slower()
	if !bad {
		route, bad = c.slowBesideOldLocked(g, t)
	}
	if !bad {
		return
	}
	t.halted = true
	sum, on, beside := t.evidence.totals(), t.evidence.at(route), t.evidence.besideOn(route)
	c.Log.Warn("rollout: version answers badly; halting it.", "service", service, "order", t.ordered, "route", route,
		"samples", sum.Samples, "failed", sum.Failed, "slow", sum.Slow, "failed_statistic", on.failed, "few_statistic", t.evidence.failsFew(route), "slow_statistic", on.slow, "slower_by", slower.by,
		"route_samples", beside.version.Samples, "route_failed", beside.version.Failed, "route_slow", beside.version.Slow,
		"old_samples", beside.old.Samples, "old_failed", beside.old.Failed, "old_slow", beside.old.Slow,
		"age_ms", c.Clock.Since(t.seen).Milliseconds())
}

// slowBesideOldLocked reports whether the version is slow beside the old one, and on which
// route.
func (c *Controller) slowBesideOldLocked(g *fleet.Group, t *track) (route string, slow bool) {
	if !t.movedOn.IsZero() {
		return "", false // nothing is left to compare with
	}
	if t.evidence.tooSlow(c.decisionTimeLocked(t, g.Rollout)) {
		return "(compared)", true
	}
	return t.evidence.slowOnPlain(aliveBits(g))
}
