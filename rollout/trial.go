package rollout

import (
	"sort"
	"strconv"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
)

// A version may be well while few requests are on an endpoint and fail when
// many are. With the first share of the requests its endpoints are no fuller
// than the old ones, and a day's traffic may never fill them: such a version
// would be brought in, and fail as soon as they fill. So, before all requests
// move, one of its endpoints is filled with copies of requests that
// may be repeated; nobody waits for their answers. If it answers badly, another
// endpoint is filled: a single one in trouble is no bad version. No caller is
// sent to the two meanwhile, if there are others.

// The trial's times, in shares of the time that the order gives: late enough
// for a version that fails at any load to be found out by the first share, and
// over before anything moves.
const (
	trialFrom = 0.12
	// trialTurn is when a doubt of the first endpoint is enough to try another.
	trialTurn = 0.33
	trialEnd  = canaryUntil
	// trialLoad of its slots is how full an endpoint is made; full, it would
	// refuse, which says nothing of its version.
	trialLoad = 0.95
	// trialQueue of its slots may wait there. What waits arrived at an endpoint that
	// was not full yet, and says nothing of a version that fails as it fills: with a
	// long queue most copies would come before it is full.
	trialQueue = 0.125
	// trialCounts of the slots must run or wait for an answer to count: before,
	// it says what the first share's answers say as well. A failure is told
	// before what it found waiting has begun to run.
	trialCounts = 0.5
	// trialEnough such answers of the first endpoint, none of them suspect, end
	// its trial.
	trialEnough = 40
	// exposureUse is how much of the operators' bound on what a bad version may
	// get is used up: the entries count apart, and the first share goes on.
	exposureUse = 0.9
	// trialSuspect failures among an endpoint's answers are a doubt, trialFailed
	// are its failure, and trialSecond those of a second endpoint: a version that
	// is well fails hardly any copy. The tests for callers' answers do not fit:
	// they weigh many good ones against few, and most of a trial's come before the
	// endpoint is full.
	trialSuspect = 1
	trialFailed  = 4
	trialSecond  = 2
	// trialGivenUp is when a version of which the first endpoint failed its trial, and no
	// second one was shown to be well, is rolled back: there is no time left to bring it
	// in, and left undecided it would keep its first callers for good.
	trialGivenUp = 0.8
	// trialPause is the statistic of callers' failures from which copies wait: one
	// failure raises it there, and a handful of good answers bring it down again.
	trialPause = 1.5
	// trialDone answers on the second endpoint, and what the first did was its
	// own trouble.
	trialDone = 10
)

// Exposure is the operators' bound on what a bad version may get of all
// requests of its service between the order and the end of its time.
type Exposure struct {
	Share float64
	Slack float64 // requests besides, of all entries together
}

// The answers of copies are counted apart, by endpoint on trial: that they are
// slow says nothing, and that they fail says more than among others.
var trialRoutes = [2]string{"(trial 1)", "(trial 2)"}

// trialRoute reports whether evidence is of a trial.
func trialRoute(route string) bool { return route == trialRoutes[0] || route == trialRoutes[1] }

// Trial is where a copy of a request is to go.
type Trial struct {
	Endpoint fleet.Endpoint
	route    string
}

// Trial returns the endpoint to fill with a copy of a request that may be
// repeated, if one is on trial now and is not full enough by its load.
func (c *Controller) Trial(g *fleet.Group, load func(fleet.EndpointID) place.Standing) (Trial, bool) {
	r := g.Rollout
	if r == nil || final(r.State) {
		return Trial{}, false
	}
	entries := max(1, len(c.View().Entries))
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackLocked(r)
	turn := c.turnLocked(t, r)
	if turn < 0 || t.halted || !t.movedOn.IsZero() || t.late(r.Duration) || t.evidence.failsCallers() {
		return Trial{}, false
	}
	older, newer := split(g.Ready, r.Target)
	newer = inTrialOrder(newer, r.Ordered)
	if turn >= len(newer) {
		return Trial{}, false
	}
	ep := newer[turn]
	if t.copies >= c.copiesLocked(t, r, len(older), entries) || filled(ep, load(ep.ID)) {
		return Trial{}, false
	}
	t.copies++
	return Trial{Endpoint: ep, route: trialRoutes[turn]}, true
}

// failsCallers reports whether callers' answers speak against the version of late. If it
// fails at any load, its callers show that; copies would be failed as well, and use up
// what it may get of all requests before it is halted.
func (e *evidence) failsCallers() bool {
	for name, r := range e.routes {
		if !trialRoute(name) && r.failed >= trialPause {
			return true
		}
	}
	return false
}

// filled reports whether an endpoint is as full as a trial makes it.
func filled(ep fleet.Endpoint, s place.Standing) bool {
	slots := float64(ep.Slots)
	waiting := s.Load - float64(s.Running)
	return float64(s.Running) >= trialLoad*slots || waiting >= max(1, trialQueue*slots)
}

// turnLocked is which endpoint is on trial now, by its place; -1: none.
func (c *Controller) turnLocked(t *track, r *fleet.Rollout) int {
	p := progress(c.Clock.Since(t.seen), r.Duration)
	if p < trialFrom || p >= trialEnd {
		return -1
	}
	first := t.evidence.on(trialRoutes[0])
	switch {
	case first.Failed >= trialFailed, first.Failed >= trialSuspect && p >= trialTurn:
		return 1
	case first.Failed < trialSuspect && first.Samples >= trialEnough:
		return -1
	}
	return 0
}

// copiesLocked is how many copies this entry may send in all: what the bound on
// exposure leaves beside the first share, if the requests go on coming as they
// have.
func (c *Controller) copiesLocked(t *track, r *fleet.Rollout, older, entries int) int {
	p := progress(c.Clock.Since(t.seen), r.Duration)
	if p <= 0 {
		return 0
	}
	expected := float64(t.answers) / p
	left := exposureUse*c.Exposure.Share - firstShare(older)*canaryUntil
	return int(max(0, left)*expected + exposureUse*c.Exposure.Slack/float64(entries))
}

// inTrialOrder sorts a version's endpoints, alike on all entries.
func inTrialOrder(eps []fleet.Endpoint, ordered kv.Revision) []fleet.Endpoint {
	sorted := append([]fleet.Endpoint(nil), eps...)
	sort.Slice(sorted, func(i, j int) bool { return trialLess(sorted[i].ID, sorted[j].ID, ordered) })
	return sorted
}

func trialLess(a, b fleet.EndpointID, ordered kv.Revision) bool {
	seed := strconv.FormatInt(int64(ordered), 10)
	return place.Hash(seed, string(a)) < place.Hash(seed, string(b))
}

// ObserveTrial counts how a copy was answered, with so many running and waiting there.
func (c *Controller) ObserveTrial(g *fleet.Group, trial Trial, load int, failed bool) {
	r := g.Rollout
	if r == nil || trial.Endpoint.Version != r.Target || float64(load) < trialCounts*float64(trial.Endpoint.Slots) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackLocked(r)
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: r.Service, Ordered: r.Ordered, Route: trial.route}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Seen |= endpointBit(trial.Endpoint.ID)
	if failed {
		counts.Failed++
		counts.Bad |= endpointBit(trial.Endpoint.ID)
	}
	t.evidence.take(src, counts, c.Clock.Now())
	c.judgeLocked(g, t)
}

// trialBad reports whether the version failed its trial: at both endpoints, or
// at the only one that it has.
func (e *evidence) trialBad(endpoints int) bool {
	if e.on(trialRoutes[0]).Failed < trialFailed {
		return false
	}
	return endpoints <= 1 || e.on(trialRoutes[1]).Failed >= trialSecond
}

// giveUpTrialLocked halts a version that failed at one endpoint when its time is nearly
// over. Where traffic is thin, the copies that the bound on exposure allows are used up
// by the first endpoint.
func (c *Controller) giveUpTrialLocked(r *fleet.Rollout, t *track) {
	first := t.evidence.on(trialRoutes[0])
	if t.halted || !t.movedOn.IsZero() || first.Failed < trialFailed || !t.evidence.trialDoubt() ||
		progress(c.Clock.Since(t.seen), r.Duration) < trialGivenUp {
		return
	}
	t.halted = true
	c.Log.Warn("rollout: version failed its trial at one endpoint and was not shown to be well at another; halting it.", "service", r.Service,
		"order", t.ordered, "samples", first.Samples, "failed", first.Failed, "age_ms", c.Clock.Since(t.seen).Milliseconds())
}

// trialDoubt reports whether the first endpoint failed and the second has not
// shown that it was that endpoint's own trouble.
func (e *evidence) trialDoubt() bool {
	if e.on(trialRoutes[0]).Failed < trialSuspect {
		return false
	}
	second := e.on(trialRoutes[1])
	return second.Failed >= trialSuspect || second.Samples < trialDone
}
