package rollout

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Latency comparison of the new and the old version. The time of an answer depends on the
// load of its engine, so that neither a fixed limit nor a factor of the baseline separates
// a slow version from a loaded one, or a slow version on nearly idle endpoints from a good
// one on busy ones.
//
// During the canary stage, a control group of as many old endpoints gets an equal share of
// the requests (controlgroup.go). They serve the same routes at the same time under the
// same load. The logarithms of both groups' times (see Answer.logTime) are averaged over all
// entries. The difference of the means shows by which factor the version is slower,
// independent of load.
//
// Of a stream a short pause between events is used, during which the engine read no prompt:
// it varies far less than the mean pause, which would halt good versions.
//
// Answers of plain services are excluded: badrates.go counts the slow ones.
const (
	// comparisonFrom is the progress of the order from which answers count. Before that,
	// the control group's endpoints still carry their earlier load, and the new version's
	// carry none.
	comparisonFrom = 0.08
	// toleratedSlowdown is the tolerated ratio of the version's times to the control
	// group's.
	toleratedSlowdown = 1.45
	// maxHalvesRatio bounds the ratio of the two halves of a group: up to that, the
	// midpoint of both halves is compared. The faster half alone would miss a version that
	// slows some of its answers.
	maxHalvesRatio = 1.3
	// priorFirstEventSpread and priorPauseSpread are the standard deviations of the
	// logarithms assumed for first events, relative to what is expected, and for pauses
	// between events, before control group answers are known. They count as
	// priorSpreadWeight answers.
	priorFirstEventSpread = 1.2
	priorPauseSpread      = 0.4
	priorSpreadWeight     = 4
	// correlationFactor accounts for the correlation of simultaneous answers of one
	// endpoint: means deviate by so much more than those of independent answers.
	correlationFactor = 1.15
	// maxLogTime bounds the logarithm of one first event, so that one that waited for a
	// prompt of a minute does not outweigh all others.
	maxLogTime = 3.0
	// logScale is the unit of the counted logarithms: hundredths.
	logScale = 100
	// minGroupAnswers is the least number of answers of each group for a comparison. The
	// uncertainty of few answers is part of the deviation of their mean.
	minGroupAnswers = 4
	// minHalfAnswers is the least number of answers to judge a half of the endpoints: few,
	// as one endpoint may get most requests.
	minHalfAnswers = 3
	// If one half has soleEndpointRatio times as many answers as the other, it has the only
	// endpoint that is selected.
	soleEndpointRatio = 6
	// The lower of two means has the variance of a mean of lowerOfTwoFactor times the
	// answers of each, pi/(pi-1).
	lowerOfTwoFactor = 1.47
	// Limits in standard deviations. A version is halted from haltLimitAtStart at first,
	// when the answers are few and cover few seconds, falling to limitAtDecision at the end
	// of the canary stage. It may be promoted then below promoteLimitAtCanaryEnd, which
	// rises to limitAtDecision until decisionBy of the order's time: a version held in
	// doubt for longer gives more bad answers than operators allow.
	haltLimitAtStart        = 3.5
	limitAtDecision         = -0.8
	promoteLimitAtCanaryEnd = -3.0
	decisionBy              = 0.65
	// A comparison is decisive if a version as good as the old one would be at
	// decisiveDeviations or below; a version not shown to be as good is then halted.
	// Otherwise, as with a few answers a second, it is halted only from
	// indecisiveHaltLimit, and gives few bad answers while in doubt.
	decisiveDeviations  = -3.0
	indecisiveHaltLimit = 1.5
	// proofBadAnswers is the number of bad answers that operators take as proof.
	// assumedBadShare is the assumed share of bad answers of a bad version; one with more
	// is detected sooner. Only decisionMargin of the time that operators allow after the
	// proof is used, as answers arrive some tenths of a second apart.
	proofBadAnswers = 50
	assumedBadShare = 0.5
	decisionMargin  = 0.85
	// minExposed answers and copies are needed to estimate their rate.
	minExposed = 12
)

const (
	firstEvents = iota
	pauses
	timeKinds
)

const (
	controlGroup = iota
	newGroup
	comparedGroups
)

// comparedRoutes are the routes under which logarithms are counted: by kind, group, and
// half of the group's endpoints.
var comparedRoutes = [timeKinds][comparedGroups][2]string{
	{{"(first control 1)", "(first control 2)"}, {"(first new 1)", "(first new 2)"}},
	{{"(pace control 1)", "(pace control 2)"}, {"(pace new 1)", "(pace new 2)"}},
}

var isComparedRoute = func() map[string]bool {
	routes := map[string]bool{}
	for _, groups := range comparedRoutes {
		for _, halves := range groups {
			routes[halves[0]], routes[halves[1]] = true, true
		}
	}
	return routes
}()

// compareLocked counts the time of an answer if its endpoint is in one of the groups.
func (c *Controller) compareLocked(t *tracker, b *baseline, a Answer) {
	now := c.Clock.Now()
	if a.plain() || a.Failed || a.Took <= 0 || !t.promotedAt.IsZero() || !b.known() ||
		progress(now.Sub(t.orderedAt), a.Group.Rollout.Duration) < comparisonFrom {
		return
	}
	kind := firstEvents
	if a.Pace {
		kind = pauses
	}
	// Requests of a lost endpoint queue at the others, but hardly slow down their
	// generation.
	if kind == firstEvents && now.Before(t.ignoreSlowUntil) {
		return
	}
	group, half, ok := t.endpointOrderLocked(a.Group).memberOf(a.Endpoint)
	if !ok {
		return
	}
	logTime := a.logTime(b)
	if kind == firstEvents {
		logTime = clampLog(logTime, maxLogTime)
	}
	if group == controlGroup {
		t.evidence.spreads[kind].add(logTime)
	}
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered,
		Route: comparedRoutes[kind][group][half]}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.LogTime += int64(math.Round(logTime * logScale))
	t.evidence.update(src, counts, now)
}

// logTime returns the logarithm of the time to compare. For pauses it uses the short one,
// which shows how fast the engine generates; the mean also depends on how many prompts were
// read in between. A first event is taken relative to the baseline, as routes differ. A
// pause is not, as the baseline varies more by entry and moment than short pauses do.
func (a Answer) logTime(b *baseline) float64 {
	took := relativeTime(a.net(), a.Expected)
	switch {
	case a.ShortPause > 0:
		took = relativeTime(a.ShortPause, 0)
	case !a.Pace:
		took /= b.mean
	}
	return math.Log(took)
}

// clampLog bounds a logarithm, so that one answer does not outweigh all others.
func clampLog(log, limit float64) float64 { return max(-limit, min(limit, log)) }

// spread estimates the standard deviation of logarithms.
type spread struct{ n, sum, squares float64 }

func (s *spread) add(log float64) {
	s.n++
	s.sum += log
	s.squares += log * log
}

// deviation returns the estimate, where the prior counts as priorSpreadWeight values.
func (s spread) deviation(prior float64) float64 {
	if s.n == 0 {
		return prior
	}
	squaredDeviations := max(0, s.squares-s.sum*s.sum/s.n)
	return math.Sqrt((squaredDeviations + priorSpreadWeight*prior*prior) / (s.n + priorSpreadWeight))
}

// comparison is the result of comparing a version with the control group.
type comparison struct {
	// deviations is by how many standard deviations the version is slower than tolerated;
	// goodDeviations is the mean of that for a version as good as the old one.
	deviations, goodDeviations float64
}

// decisive reports whether there were enough answers to separate a version as good as the
// old one from one at the tolerated limit.
func (c comparison) decisive() bool { return c.goodDeviations <= decisiveDeviations }

// slower compares the version's pauses, or these and its first events together. First
// events alone are not used if there are pauses: the new endpoints' caches hold no prompts
// yet. ok is false if too few answers were compared.
func (e *evidence) slower() (c comparison, ok bool) {
	first, firstOK := e.slowerIn(firstEvents, priorFirstEventSpread)
	pause, pauseOK := e.slowerIn(pauses, priorPauseSpread)
	if !pauseOK {
		return first, firstOK
	}
	if firstOK {
		pause.deviations = max(pause.deviations, (first.deviations+pause.deviations)/math.Sqrt2)
	}
	return pause, true
}

// slowerIn is slower for one kind of times, if both groups have enough answers.
func (e *evidence) slowerIn(kind int, prior float64) (c comparison, ok bool) {
	old, oldN := e.groupMean(comparedRoutes[kind][controlGroup])
	newer, newN := e.groupMean(comparedRoutes[kind][newGroup])
	if min(oldN, newN) < minGroupAnswers {
		return comparison{}, false
	}
	deviation := correlationFactor * e.spreads[kind].deviation(prior) * math.Sqrt(1/oldN+1/newN)
	goodDeviations := -math.Log(toleratedSlowdown) / deviation
	return comparison{deviations: (newer-old)/deviation + goodDeviations, goodDeviations: goodDeviations}, true
}

// groupMean returns the mean logarithm of a group and the number of independent answers
// with the same variance. One faulty endpoint does not make a group slow: the better half
// of the endpoints counts in full, the other one only up to maxHalvesRatio. If one half has
// too few answers, the group is judged only if the other has so many that it has the only
// endpoint.
func (e *evidence) groupMean(halves [2]string) (mean, n float64) {
	one, two := e.sums[halves[0]], e.sums[halves[1]]
	if one.Samples < two.Samples {
		one, two = two, one
	}
	if two.Samples < minHalfAnswers {
		if one.Samples < soleEndpointRatio*(two.Samples+1) {
			return 0, 0
		}
		return one.meanLog(), float64(one.Samples)
	}
	if two.meanLog() < one.meanLog() {
		one, two = two, one
	}
	gap := two.meanLog() - one.meanLog()
	return one.meanLog() + min(gap, math.Log(maxHalvesRatio))/2, lowerOfTwoFactor * float64(one.Samples)
}

// meanLog returns the mean of the counted logarithms.
func (c Counts) meanLog() float64 { return float64(c.LogTime) / float64(c.Samples) / logScale }

// comparisonLimits returns the deviations from which a version is halted at progress p of
// the order, and below which it is good enough for promotion.
func comparisonLimits(p float64) (haltLimit, promoteLimit float64) {
	early := min(1, p/canaryUntil)
	haltLimit = limitAtDecision + (haltLimitAtStart-limitAtDecision)*(1-early*early)
	late := max(0, min(1, (p-canaryUntil)/(decisionBy-canaryUntil)))
	promoteLimit = promoteLimitAtCanaryEnd + (limitAtDecision-promoteLimitAtCanaryEnd)*late
	return haltLimit, promoteLimit
}

// decisionProgressLocked returns the progress of the order to use for the comparison. A bad
// version also answers the copies for the trial under load badly, so that it may be proven
// bad before callers' requests alone would show it. The limits then reach their final
// values sooner, in time for the operators' bound on halting it.
func (c *Controller) decisionProgressLocked(t *tracker, r *fleet.Rollout) float64 {
	age := c.Clock.Since(t.orderedAt)
	p := progress(age, r.Duration)
	exposed := float64(t.evidence.totals().Samples) + float64(t.copies*max(1, len(c.View().Entries)))
	if exposed < minExposed || age <= 0 {
		return p
	}
	proven := time.Duration(float64(age) * proofBadAnswers / (assumedBadShare * exposed))
	deadline := progress(proven+time.Duration(decisionMargin*float64(c.haltWithin())), r.Duration)
	return p * max(1, decisionBy/deadline)
}

// tooSlow reports whether the comparison halts the version.
func (e *evidence) tooSlow(p float64) bool {
	c, ok := e.slower()
	limit, _ := comparisonLimits(p)
	if !c.decisive() {
		limit = max(limit, indecisiveHaltLimit)
	}
	return ok && c.deviations >= limit
}

// maybeSlower reports whether the comparison delays promotion.
func (e *evidence) maybeSlower(p float64) bool {
	c, ok := e.slower()
	_, limit := comparisonLimits(p)
	return ok && c.deviations >= limit
}
