package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// Choice holds the endpoints that may get a request.
type Choice struct {
	// Preferred are the endpoints of the version selected for the request, Fallback those
	// used if none of Preferred can take it.
	Preferred, Fallback []fleet.Endpoint
	// LastResort are endpoints with a lapsed registration, tried if neither can. A halted
	// or rolled-back version gets none of these either: an endpoint that is partitioned
	// from the store still answers its callers badly.
	LastResort []fleet.Lapsed
}

// Request holds the properties of a request that select its version.
type Request struct {
	ID      string
	Session string
	Route   string
}

// Choose selects the endpoints for one request.
func (c *Controller) Choose(g *fleet.Group, q Request) Choice {
	r := g.Rollout
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strataLocked(g.Service.Name).count(q)
	if r == nil {
		return Choice{Preferred: g.Ready, LastResort: g.Lapsed}
	}
	t := c.trackerLocked(r)
	older, newer := splitByVersion(g.Ready, r.Target)
	if r.State != fleet.RolloutDone && (t.halted || r.State == fleet.RolloutRolledBack) {
		return Choice{Preferred: older, LastResort: lapsedWithout(g.Lapsed, r.Target)}
	}
	choice := c.chooseLocked(g, t, q, older, newer)
	choice.LastResort = g.Lapsed
	return choice
}

// chooseLocked selects among the ready endpoints while the version may get requests.
func (c *Controller) chooseLocked(g *fleet.Group, t *tracker, q Request, older, newer []fleet.Endpoint) Choice {
	r := g.Rollout
	switch {
	case r.State == fleet.RolloutDone:
		return Choice{Preferred: newer, Fallback: older}
	case len(newer) == 0:
		return Choice{Preferred: older}
	}
	overall := c.shareLocked(t, r, len(older))
	share := c.routeShareLocked(t, q, g, overall)
	if c.routedToNewLocked(r, q, share) {
		return Choice{Preferred: c.canaryEndpoints(r, newer, len(older), overall), Fallback: older}
	}
	if len(older) == 0 {
		return Choice{Preferred: newer}
	}
	if !t.promotedAt.IsZero() || t.holdingHalf {
		return Choice{Preferred: older}
	}
	position := q.position(r.Target)
	return t.endpointOrderLocked(g).choose(position >= share && position < 2*share)
}

// lapsedWithout returns the lapsed endpoints of all other versions.
func lapsedWithout(all []fleet.Lapsed, version string) []fleet.Lapsed {
	var out []fleet.Lapsed
	for _, l := range all {
		if l.Version != version {
			out = append(out, l)
		}
	}
	return out
}

// shareLocked returns the new version's current share. After promotion it does not go back
// except by a halt, as sessions would move back and forth.
func (c *Controller) shareLocked(t *tracker, r *fleet.Rollout, older int) float64 {
	if !t.promotedAt.IsZero() {
		return ShareAfterPromotion(c.Clock.Since(t.promotedAt), r.Duration)
	}
	sum := t.evidence.totals()
	seen := sum.Samples
	age := c.Clock.Since(t.orderedAt)
	inDoubt := t.evidence.inDoubt(c.decisionProgressLocked(t, r))
	if inDoubt {
		t.lastDoubtAt = c.Clock.Now()
	}
	if t.late(r.Duration) && !MayPromoteLate(age, r.Duration, seen, inDoubt) {
		return c.lateShareLocked(t, r, older, age)
	}
	if !MayPromote(age, r.Duration, seen, inDoubt) {
		return canaryShare(older)
	}
	// A promotion by time alone is dated to its deadline, so that entries with few requests
	// do not fall behind the others.
	t.promotedAt = c.Clock.Now()
	slower, _ := t.evidence.slower()
	latest := t.orderedAt.Add(time.Duration(fullShareBy * float64(r.Duration)))
	if latest.Before(t.promotedAt) && t.lastDoubtAt.Before(latest) {
		t.promotedAt = latest
	}
	c.Log.Info("rollout: moving on from the first share.", "service", r.Service, "order", t.ordered, "seen", seen,
		"failed", sum.Failed, "slow", sum.Slow, "slow_statistic", t.evidence.routeFor(allRoutes).slow, "slower_by", slower.deviations, "age_ms", age.Milliseconds())
	return ShareAfterPromotion(c.Clock.Since(t.promotedAt), r.Duration)
}

// late reports whether the entry learned of the order late, for example because it was
// started after the order.
func (t *tracker) late(total time.Duration) bool {
	return progress(t.learnedAt.Sub(t.orderedAt), total) >= lateFrom
}

// lateShareLocked returns the share of an entry that learned of the order late and has seen
// too few answers. If it sent all requests to the new version at the deadline, it would
// have no baseline from the old version, and a slow version would look good. It does not go
// back from half, as sessions would move back and forth.
func (c *Controller) lateShareLocked(t *tracker, r *fleet.Rollout, older int, age time.Duration) float64 {
	if progress(age, r.Duration) >= fullShareBy && !t.holdingHalf {
		t.holdingHalf = true
		c.Log.Info("rollout: learned of the order late; half of the requests until enough was seen.", "service", r.Service, "order", t.ordered,
			"age_ms", age.Milliseconds(), "learned_ago_ms", c.Clock.Since(t.learnedAt).Milliseconds())
	}
	if t.holdingHalf {
		return halfShare
	}
	return canaryShare(older)
}

// routedToNewLocked decides by a hash. The set of selected requests only grows with the
// share, so that none moves back and forth.
func (c *Controller) routedToNewLocked(r *fleet.Rollout, q Request, share float64) bool {
	if q.position(r.Target) >= share {
		return false
	}
	return q.Session == "" || share > smallShare || !c.sessions.active(sessionHash(q.Session), c.Clock.Now())
}

// position maps a request to [0, 1): requests below a share are moved with it. All requests
// of a session have the same position.
func (q Request) position(target string) float64 {
	if q.Session == "" {
		return fraction(place.Hash(target, q.ID))
	}
	return sessionPosition(sessionHash(q.Session))
}

// routeShareLocked returns the share for a request's route, given the canary share of all
// requests.
func (c *Controller) routeShareLocked(t *tracker, q Request, g *fleet.Group, share float64) float64 {
	s := c.strataLocked(g.Service.Name)
	if t.holdingHalf || !t.promotedAt.IsZero() || c.expectedCanaryAnswersLocked(t, g.Rollout, share) < minAnswersPerRoute*float64(len(s.requests)) {
		return share
	}
	return s.share(q, share, func(route string) bool { return t.evidence.lowRateStatistic(route) >= lowRateDoubt })
}

// expectedCanaryAnswersLocked estimates the number of canary answers from the rate at which
// the old version answers.
func (c *Controller) expectedCanaryAnswersLocked(t *tracker, r *fleet.Rollout, share float64) float64 {
	elapsed := progress(c.Clock.Since(t.orderedAt), r.Duration)
	if elapsed <= 0 {
		return 0
	}
	return share * canaryUntil / elapsed * float64(t.evidence.oldTotals.Samples) / (1 - share)
}

func (c *Controller) strataLocked(service string) *strata {
	s := c.strata[service]
	if s == nil {
		s = &strata{requests: map[string]int{}}
		c.strata[service] = s
	}
	return s
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// aliveBits returns the mask of the ready endpoints of the new version.
func aliveBits(g *fleet.Group) uint64 {
	var alive uint64
	for _, ep := range g.Ready {
		if ep.Version == g.Rollout.Target {
			alive |= endpointBit(ep.ID)
		}
	}
	return alive
}

func splitByVersion(all []fleet.Endpoint, target string) (older, newer []fleet.Endpoint) {
	for _, ep := range all {
		if ep.Version == target {
			newer = append(newer, ep)
		} else {
			older = append(older, ep)
		}
	}
	return older, newer
}

// canaryEndpoints returns the new endpoints that serve the canary share: so many that each
// has the load of an old one, but at least two. Endpoints under trial are left out if there
// are enough others.
func (c *Controller) canaryEndpoints(r *fleet.Rollout, newer []fleet.Endpoint, older int, share float64) []fleet.Endpoint {
	n := canaryCount(older, share)
	if n >= len(newer) {
		return newer
	}
	sorted := sortForTrial(newer, r.First)
	if onTrial := len(trialRoutes); onTrial+n <= len(sorted) && c.Exposure != (Exposure{}) {
		sorted = sorted[onTrial:]
	}
	return sorted[:n]
}

// RecordSession notes the time of a session's request, if the session is among those that a
// roll-out moves first and is not on the new version.
func (c *Controller) RecordSession(session string, g *fleet.Group, version string) {
	if session == "" || g.Rollout != nil && !isFinal(g.Rollout.State) && version == g.Rollout.Target {
		return
	}
	hash := sessionHash(session)
	if sessionPosition(hash) >= canaryShare(len(g.Ready)/2) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.record(hash, c.Clock.Now())
}
