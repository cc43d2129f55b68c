package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Answer describes an endpoint's answer to a request.
type Answer struct {
	Group    *fleet.Group
	Endpoint fleet.Endpoint
	Route    string
	Model    string
	Failed   bool // the endpoint answered with a failure
	// Took is the time to the first event; 0: there was none.
	Took time.Duration
	// Expected is the expected time to the first event for the prompt, 0 without one. Wait
	// is the known time spent queued behind other requests.
	Expected time.Duration
	Wait     time.Duration
	// If Pace is set, Took is the mean pause between the events of a stream. It varies less
	// than the time to the first event and reveals a slow version sooner.
	Pace bool
	// ShortPause is the second shortest of these pauses; 0: unknown.
	ShortPause time.Duration
	// Factor is the smaller of the factors of the endpoint at the send and at the answer (package
	// capacity); 0: not known.
	Factor float64
}

// lossGracePeriod is how long the remaining endpoints, which take over a lost endpoint's
// requests, may be slow without the version being at fault.
const lossGracePeriod = 4 * time.Second

// RecordLoss records that an endpoint accepts no connections. It is ignored for endpoints of
// other versions than the new one.
func (c *Controller) RecordLoss(g *fleet.Group, ep fleet.Endpoint) {
	if g.Rollout == nil || ep.Version != g.Rollout.Target {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackerLocked(g.Rollout).ignoreSlowUntil = c.Clock.Now().Add(lossGracePeriod)
}

// evidenceRoute returns the route that the answer is counted under. The pace of streams is
// counted separately, over all routes: a version may be slow in pace only, which would not
// show among first events that are in time.
func (a Answer) evidenceRoute() string {
	if a.Pace {
		return "(pace)"
	}
	return a.Route
}

// plain reports whether a plain service gave the answer: its expected time does not depend
// on a prompt.
func (a Answer) plain() bool { return a.Model == "" && a.Expected == 0 && !a.Pace }

// net returns the time without the queueing time. The known queueing time grows with each
// request that a slow version delays, so at least half of the time always counts.
func (a Answer) net() time.Duration { return a.Took - min(a.Wait, a.Took/2) }

// Observe counts an answer as evidence if its version is being rolled out, and towards the
// latency baseline otherwise. It reports whether the answer counted towards the baseline.
func (c *Controller) Observe(a Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a = c.boundFactorLocked(a).atUsualSpeed()
	key := baselineKey{a.Model, a.Pace}
	if a.Model == "" {
		key.name = a.Route
	}
	b := c.baseline[key]
	if b == nil {
		b = &baseline{}
		c.baseline[key] = b
	}
	r := a.Group.Rollout
	if r == nil || a.Endpoint.Version != r.Target || r.State == fleet.RolloutDone {
		if r != nil && !isFinal(r.State) {
			c.observeOldLocked(b, a)
		}
		if a.Took > 0 && !a.Failed {
			b.add(a.net(), a.Expected)
		}
		return true
	}
	t := c.trackerLocked(r)
	if t.ordered != r.Ordered {
		return false
	}
	if !a.Pace {
		t.answers++
	}
	c.compareLocked(t, b, a)
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: r.Service, Ordered: r.Ordered, Route: a.evidenceRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Seen |= endpointBit(a.Endpoint.ID)
	switch {
	case a.Failed:
		counts.Failed++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	case c.Clock.Now().Before(t.ignoreSlowUntil):
		return false // latency is not meaningful shortly after a loss
	case a.Pace && !b.known():
		return false // without a baseline it would count as good in any case
	case b.slow(a, !t.promotedAt.IsZero()):
		counts.Slow++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	}
	t.evidence.update(src, counts, c.Clock.Now())
	c.haltIfBadLocked(a.Group, t)
	return false
}

// observeOldLocked counts an answer of the old version.
func (c *Controller) observeOldLocked(b *baseline, a Answer) {
	t := c.trackerLocked(a.Group.Rollout)
	if t.ordered != a.Group.Rollout.Ordered {
		return
	}
	if !a.Pace {
		t.answers++
		c.countOldLocked(t, b, a)
	}
	c.compareLocked(t, b, a)
}

// countOldLocked counts whether an answer of the old version failed or was slow, as the
// reference for the new version.
func (c *Controller) countOldLocked(t *tracker, b *baseline, a Answer) {
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered, Route: a.oldRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	switch {
	case a.Failed:
		counts.Failed++
	case b.slow(a, false):
		counts.Slow++
	}
	t.evidence.update(src, counts, c.Clock.Now())
}

// haltIfBadLocked halts the version if the evidence shows that it is bad.
func (c *Controller) haltIfBadLocked(g *fleet.Group, t *tracker) {
	service := g.Rollout.Service
	if t.halted {
		return
	}
	route, bad := t.evidence.bad(aliveBits(g), c.Clock.Now())
	slower, _ := t.evidence.slower()
	if !bad {
		route, bad = c.slowAgainstOldLocked(g, t)
	}
	if !bad {
		return
	}
	t.halted = true
	sum, onRoute, paired := t.evidence.totals(), t.evidence.routeFor(route), t.evidence.pairedOn(route)
	c.Log.Warn("rollout: version answers badly; halting it.", "service", service, "order", t.ordered, "route", route,
		"samples", sum.Samples, "failed", sum.Failed, "slow", sum.Slow, "failed_statistic", onRoute.failed, "few_statistic", t.evidence.lowRateStatistic(route), "slow_statistic", onRoute.slow, "slower_by", slower.deviations,
		"route_samples", paired.version.Samples, "route_failed", paired.version.Failed, "route_slow", paired.version.Slow,
		"old_samples", paired.old.Samples, "old_failed", paired.old.Failed, "old_slow", paired.old.Slow,
		"age_ms", c.Clock.Since(t.orderedAt).Milliseconds())
}

// slowAgainstOldLocked reports whether the version is slower than the old one, and on which
// route.
func (c *Controller) slowAgainstOldLocked(g *fleet.Group, t *tracker) (route string, slow bool) {
	if !t.promotedAt.IsZero() {
		return "", false // no old endpoints get requests to compare with
	}
	if t.evidence.tooSlow(c.decisionProgressLocked(t, g.Rollout)) {
		return "(compared)", true
	}
	return t.evidence.slowOnPlain(aliveBits(g))
}
