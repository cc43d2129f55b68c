package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// Choice is which endpoints may get a request.
type Choice struct {
	// First are the endpoints of the version that the request falls to, Then
	// those that may take it when none of First can.
	First, Then []fleet.Endpoint
	// LastResort are those that lapsed and may be tried when neither can. A version
	// that gets no requests gets none of these either: an endpoint that is cut off from
	// the store answers its callers as badly as before.
	LastResort []fleet.Lapsed
}

// Request is what the choice of a version needs to know.
type Request struct {
	ID      string
	Session string
	Route   string
}

// Choose splits a group's endpoints for one request.
func (c *Controller) Choose(g *fleet.Group, q Request) Choice {
	r := g.Rollout
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strataLocked(g.Service.Name).note(q)
	if r == nil {
		return Choice{First: g.Ready, LastResort: g.Lapsed}
	}
	t := c.trackLocked(r)
	older, newer := split(g.Ready, r.Target)
	if r.State != fleet.RolloutDone && (t.halted || r.State == fleet.RolloutRolledBack) {
		return Choice{First: older, LastResort: lapsedWithout(g.Lapsed, r.Target)}
	}
	choice := c.chooseLocked(g, t, q, older, newer)
	choice.LastResort = g.Lapsed
	return choice
}

// chooseLocked splits the ready endpoints while the version may get requests.
func (c *Controller) chooseLocked(g *fleet.Group, t *track, q Request, older, newer []fleet.Endpoint) Choice {
	r := g.Rollout
	switch {
	case r.State == fleet.RolloutDone:
		return Choice{First: newer, Then: older}
	case len(newer) == 0:
		return Choice{First: older}
	}
	ofAll := c.shareLocked(t, r, len(older))
	share := c.strataShareLocked(t, q, g, ofAll)
	if c.fallsToNewLocked(r, q, share) {
		return Choice{First: c.canaries(r, newer, len(older), ofAll), Then: older}
	}
	if len(older) == 0 {
		return Choice{First: newer}
	}
	if !t.movedOn.IsZero() || t.holding {
		return Choice{First: older}
	}
	point := q.point(r.Target)
	return t.trialOrderLocked(g).choose(point >= share && point < 2*share)
}

// lapsedWithout returns the endpoints that are not of a version.
func lapsedWithout(all []fleet.Lapsed, version string) []fleet.Lapsed {
	var out []fleet.Lapsed
	for _, l := range all {
		if l.Version != version {
			out = append(out, l)
		}
	}
	return out
}

// shareLocked is the new version's share now. Once it has moved on it does not
// go back, short of a halt: sessions would go to and fro.
func (c *Controller) shareLocked(t *track, r *fleet.Rollout, older int) float64 {
	if !t.movedOn.IsZero() {
		return ShareAfter(c.Clock.Since(t.movedOn), r.Duration)
	}
	sum := t.evidence.totals()
	seen := sum.Samples
	age := c.Clock.Since(t.seen)
	doubt := t.evidence.doubt(c.decisionTimeLocked(t, r))
	if doubt {
		t.doubted = c.Clock.Now()
	}
	if t.late(r.Duration) && !MayMoveOnLate(age, r.Duration, seen, doubt) {
		return c.lateShareLocked(t, r, older, age)
	}
	if !MayMoveOn(age, r.Duration, seen, doubt) {
		return firstShare(older)
	}
	// Where the time alone is the reason, it counts from then, so that entries
	// with few requests are not behind the others.
	t.movedOn = c.Clock.Now()
	slower, _ := t.evidence.slower()
	latest := t.seen.Add(time.Duration(allBy * float64(r.Duration)))
	if latest.Before(t.movedOn) && t.doubted.Before(latest) {
		t.movedOn = latest
	}
	c.Log.Info("rollout: moving on from the first share.", "service", r.Service, "order", t.ordered, "seen", seen,
		"failed", sum.Failed, "slow", sum.Slow, "slow_statistic", t.evidence.at(allRoutes).slow, "slower_by", slower.by, "age_ms", age.Milliseconds())
	return ShareAfter(c.Clock.Since(t.movedOn), r.Duration)
}

// late reports whether the entry learned of the order when it had been under
// way for long, as one does that was started since.
func (t *track) late(whole time.Duration) bool {
	return progress(t.learned.Sub(t.seen), whole) >= lateFrom
}

// lateShareLocked is the share of an entry that learned of the order late and
// has seen too little of the version since. Were it to send all requests to
// the new version because the time has come, no answer of the old one would
// ever tell it what is usual, and a slow version looked well. It does not go
// back from half: sessions would go to and fro.
func (c *Controller) lateShareLocked(t *track, r *fleet.Rollout, older int, age time.Duration) float64 {
	if progress(age, r.Duration) >= allBy && !t.holding {
		t.holding = true
		c.Log.Info("rollout: learned of the order late; half of the requests until enough was seen.", "service", r.Service, "order", t.ordered,
			"age_ms", age.Milliseconds(), "learned_ago_ms", c.Clock.Since(t.learned).Milliseconds())
	}
	if t.holding {
		return halfShare
	}
	return firstShare(older)
}

// fallsToNewLocked decides by a hash that only grows with the share, so that
// nothing goes back and forth.
func (c *Controller) fallsToNewLocked(r *fleet.Rollout, q Request, share float64) bool {
	if q.point(r.Target) >= share {
		return false
	}
	return q.Session == "" || share > smallShare || !c.sessions.underWay(sessionHash(q.Session), c.Clock.Now())
}

// point is where the request stands among all, in [0, 1): those below a share
// are moved with it. All of a session stand at the same.
func (q Request) point(target string) float64 {
	if q.Session == "" {
		return fraction(place.Hash(target, q.ID))
	}
	return sessionShare(sessionHash(q.Session))
}

// strataShareLocked is the share of a request's route in a first share of all.
func (c *Controller) strataShareLocked(t *track, q Request, g *fleet.Group, share float64) float64 {
	s := c.strataLocked(g.Service.Name)
	if t.holding || !t.movedOn.IsZero() || c.firstAnswersLocked(t, g.Rollout, share) < leastOfRoute*float64(len(s.requests)) {
		return share
	}
	return s.share(q, share, func(route string) bool { return t.evidence.failsFew(route) >= fewDoubt })
}

// firstAnswersLocked is how many answers a first share comes to, at the rate at which the
// old version gives them.
func (c *Controller) firstAnswersLocked(t *track, r *fleet.Rollout, share float64) float64 {
	passed := progress(c.Clock.Since(t.seen), r.Duration)
	if passed <= 0 {
		return 0
	}
	return share * canaryUntil / passed * float64(t.evidence.older.Samples) / (1 - share)
}

// strataLocked returns the strata of a service.
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

// aliveBits are the bits of the endpoints of the version that is brought in.
func aliveBits(g *fleet.Group) uint64 {
	var alive uint64
	for _, ep := range g.Ready {
		if ep.Version == g.Rollout.Target {
			alive |= endpointBit(ep.ID)
		}
	}
	return alive
}

func split(all []fleet.Endpoint, target string) (older, newer []fleet.Endpoint) {
	for _, ep := range all {
		if ep.Version == target {
			newer = append(newer, ep)
		} else {
			older = append(older, ep)
		}
	}
	return older, newer
}

// canaries are the few new endpoints that a small share goes to: as many as
// that share would keep as busy as the old ones are, but not one alone.
// Those on trial are left out while there are enough others.
func (c *Controller) canaries(r *fleet.Rollout, newer []fleet.Endpoint, older int, share float64) []fleet.Endpoint {
	n := firstEndpoints(older, share)
	if n >= len(newer) {
		return newer
	}
	sorted := inTrialOrder(newer, r.Ordered)
	if onTrial := len(trialRoutes); onTrial+n <= len(sorted) && c.Exposure != (Exposure{}) {
		sorted = sorted[onTrial:]
	}
	return sorted[:n]
}

// Keep notes that a session's request went to an endpoint, if it is one that a
// roll-out would move first and is not on its version.
func (c *Controller) Keep(session string, g *fleet.Group, version string) {
	if session == "" || g.Rollout != nil && !final(g.Rollout.State) && version == g.Rollout.Target {
		return
	}
	hash := sessionHash(session)
	if sessionShare(hash) >= firstShare(len(g.Ready)/2) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.note(hash, c.Clock.Now())
}
