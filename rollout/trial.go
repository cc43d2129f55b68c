package rollout

import (
	"sort"
	"strconv"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
)

// Trial under load. A version may serve well while its endpoints have few requests and fail
// when they have many. With the canary share its endpoints are no busier than the old ones,
// and a day's traffic may never fill them: such a version would complete its roll-out and
// fail as soon as they fill up. Therefore, before promotion, one endpoint is filled with
// copies of requests that may be repeated; no caller waits for their answers. If it answers
// badly, a second endpoint is filled, as a single one may be faulty. Both get no callers'
// requests meanwhile, if there are other endpoints.

// Schedule and limits of the trial, with times as fractions of the order's duration. It
// starts late enough for the canary share to detect a version that fails at any load, and
// ends before promotion.
const (
	trialFrom = 0.12
	// secondTrialFrom is when a suspicion of the first endpoint is enough to try a second
	// one.
	secondTrialFrom = 0.33
	trialEnd        = canaryUntil
	// trialLoad is the share of an endpoint's slots that is filled. A full endpoint would
	// refuse requests, which is no evidence about its version.
	trialLoad = 0.95
	// trialQueue is the share of slots that may queue there. Queued requests arrived before
	// the endpoint was full, and cannot show that a version fails as it fills: with a long
	// queue most copies would arrive before that.
	trialQueue = 0.125
	// trialMinLoad is the share of slots that must be running or queued for an answer to
	// count. At a lower load the canary answers show the same. A failure is reported before
	// the requests that were queued ahead of it have begun to run, so that these count as
	// well.
	trialMinLoad = 0.5
	// trialMinAnswers of the first endpoint without a suspicion end its trial.
	trialMinAnswers = 40
	// exposureUse is the part of the operators' bound on exposure that is used: entries
	// count separately, and the canary share continues.
	exposureUse = 0.9
	// trialSuspect failures of an endpoint are a suspicion, trialFailed fail its trial, and
	// secondTrialFailed that of a second endpoint: a good version fails hardly any copy.
	// The tests for callers' answers are unsuitable: they weigh many good answers against
	// few bad ones, and most answers of a trial come before the endpoint is full.
	trialSuspect      = 1
	trialFailed       = 4
	secondTrialFailed = 2
	// trialGiveUpAt is when a version is rolled back whose first endpoint failed its trial
	// without a second one shown to be good. No time is left to complete it, and undecided
	// it would keep its canary callers indefinitely.
	trialGiveUpAt = 0.8
	// trialPauseStatistic is the statistic of callers' failures from which copies pause:
	// one failure reaches it, and a handful of good answers bring it down again.
	trialPauseStatistic = 1.5
	// secondTrialMinAnswers good answers of the second endpoint show that the fault is the
	// first endpoint's own.
	secondTrialMinAnswers = 10
)

// Exposure is the operators' bound on the requests of a service that a bad version may get
// during an order.
type Exposure struct {
	Share float64
	Slack float64 // additional requests, over all entries
}

// Answers to copies are counted separately, by endpoint under trial: their slowness is not
// evidence, and their failures are stronger evidence than among other answers.
var trialRoutes = [2]string{"(trial 1)", "(trial 2)"}

// isTrialRoute reports whether a route counts answers of a trial.
func isTrialRoute(route string) bool { return route == trialRoutes[0] || route == trialRoutes[1] }

// Trial is the destination of a request copy.
type Trial struct {
	Endpoint fleet.Endpoint
	route    string
}

// Trial returns the endpoint to send a copy of a repeatable request to, if one is under
// trial now and not filled yet.
func (c *Controller) Trial(g *fleet.Group, load func(fleet.EndpointID) place.Standing) (Trial, bool) {
	r := g.Rollout
	if r == nil || isFinal(r.State) {
		return Trial{}, false
	}
	entries := max(1, len(c.View().Entries))
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackerLocked(r)
	index := c.trialIndexLocked(t, r)
	if index < 0 || t.halted || !t.promotedAt.IsZero() || t.late(r.Duration) || t.evidence.callersFailing() {
		return Trial{}, false
	}
	older, newer := splitByVersion(g.Ready, r.Target)
	newer = sortForTrial(newer, r.First)
	if index >= len(newer) {
		return Trial{}, false
	}
	ep := newer[index]
	if t.copies >= c.copyLimitLocked(t, r, len(older), entries) || filled(ep, load(ep.ID)) {
		return Trial{}, false
	}
	t.copies++
	return Trial{Endpoint: ep, route: trialRoutes[index]}, true
}

// callersFailing reports whether recent callers' answers are evidence against the version.
// A version that fails at any load is detected by these; copies would fail as well and use
// up its exposure before it is halted.
func (e *evidence) callersFailing() bool {
	for name, r := range e.routes {
		if !isTrialRoute(name) && r.failed >= trialPauseStatistic {
			return true
		}
	}
	return false
}

// filled reports whether an endpoint has reached the load of a trial.
func filled(ep fleet.Endpoint, s place.Standing) bool {
	slots := float64(ep.Slots)
	waiting := s.Load - float64(s.Running)
	return float64(s.Running) >= trialLoad*slots || waiting >= max(1, trialQueue*slots)
}

// trialIndexLocked returns the index of the endpoint under trial, or -1 if there is none.
func (c *Controller) trialIndexLocked(t *tracker, r *fleet.Rollout) int {
	p := progress(c.Clock.Since(t.orderedAt), r.Duration)
	if p < trialFrom || p >= trialEnd {
		return -1
	}
	first := t.evidence.countsOn(trialRoutes[0])
	switch {
	case first.Failed >= trialFailed, first.Failed >= trialSuspect && p >= secondTrialFrom:
		return 1
	case first.Failed < trialSuspect && first.Samples >= trialMinAnswers:
		return -1
	}
	return 0
}

// copyLimitLocked returns how many copies this entry may send in total: what the bound on
// exposure leaves besides the canary share, extrapolated from the request rate so far.
func (c *Controller) copyLimitLocked(t *tracker, r *fleet.Rollout, older, entries int) int {
	p := progress(c.Clock.Since(t.orderedAt), r.Duration)
	if p <= 0 {
		return 0
	}
	expected := float64(t.answers) / p
	left := exposureUse*c.Exposure.Share - canaryShare(older)*canaryUntil
	return int(max(0, left)*expected + exposureUse*c.Exposure.Slack/float64(entries))
}

// sortForTrial sorts a version's endpoints identically on all entries that know the order from the
// same revision on.
func sortForTrial(eps []fleet.Endpoint, ordered kv.Revision) []fleet.Endpoint {
	sorted := append([]fleet.Endpoint(nil), eps...)
	sort.Slice(sorted, func(i, j int) bool { return trialLess(sorted[i].ID, sorted[j].ID, ordered) })
	return sorted
}

func trialLess(a, b fleet.EndpointID, ordered kv.Revision) bool {
	seed := strconv.FormatInt(int64(ordered), 10)
	return place.Hash(seed, string(a)) < place.Hash(seed, string(b))
}

// ObserveTrial counts the answer to a copy; load is the number of requests running and
// queued at the endpoint.
func (c *Controller) ObserveTrial(g *fleet.Group, trial Trial, load int, failed bool) {
	r := g.Rollout
	if r == nil || trial.Endpoint.Version != r.Target || float64(load) < trialMinLoad*float64(trial.Endpoint.Slots) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackerLocked(r)
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: r.Service, Ordered: r.Ordered, Route: trial.route}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Seen |= endpointBit(trial.Endpoint.ID)
	if failed {
		counts.Failed++
		counts.Bad |= endpointBit(trial.Endpoint.ID)
	}
	t.evidence.update(src, counts, c.Clock.Now())
	c.haltIfBadLocked(g, t)
}

// failedTrial reports whether the version failed its trial: on both endpoints, or on its
// only one.
func (e *evidence) failedTrial(endpoints int) bool {
	if e.countsOn(trialRoutes[0]).Failed < trialFailed {
		return false
	}
	return endpoints <= 1 || e.countsOn(trialRoutes[1]).Failed >= secondTrialFailed
}

// giveUpTrialLocked halts a version that failed on one endpoint when its time is nearly
// over. With little traffic, the first endpoint uses up the copies that the bound on
// exposure allows.
func (c *Controller) giveUpTrialLocked(r *fleet.Rollout, t *tracker) {
	first := t.evidence.countsOn(trialRoutes[0])
	if t.halted || !t.promotedAt.IsZero() || first.Failed < trialFailed || !t.evidence.trialDoubt() ||
		progress(c.Clock.Since(t.orderedAt), r.Duration) < trialGiveUpAt {
		return
	}
	t.halted = true
	c.Log.Warn("rollout: version failed its trial at one endpoint and was not shown to be well at another; halting it.", "service", r.Service,
		"order", t.ordered, "samples", first.Samples, "failed", first.Failed, "age_ms", c.Clock.Since(t.orderedAt).Milliseconds())
}

// trialDoubt reports whether the first endpoint failed and the second has not shown that
// the fault is the first endpoint's own.
func (e *evidence) trialDoubt() bool {
	if e.countsOn(trialRoutes[0]).Failed < trialSuspect {
		return false
	}
	second := e.countsOn(trialRoutes[1])
	return second.Failed >= trialSuspect || second.Samples < secondTrialMinAnswers
}
