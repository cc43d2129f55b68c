package rollout

import (
	"math"
	"strings"
)

// The rates of bad answers of the new and the old version are compared: some services fail
// a share of a route's requests whatever their version. A sequential test detects versions
// with a high failure rate; the total since the order detects those with a low one.
const (
	// oldPrefix marks the routes of the old version's answers among the exchanged counts,
	// oldPlainPrefix those of a plain service.
	oldPrefix      = "(old) "
	oldPlainPrefix = "(old plain) "
	// priorBadShare is the expected share of failed or slow answers before any answer of
	// the old version is known. It counts as priorWeight answers.
	priorBadShare = 0.05
	priorWeight   = 10
	// failedDeviations and slowDeviations are how many standard deviations above the old
	// version's share still count as expected.
	failedDeviations = 2.0
	slowDeviations   = 1.5
	// minExpectedShare is the least expected share, so that two bad answers by chance prove
	// nothing.
	minExpectedShare = 0.01
	// highFailureShare is the least failure share that the test for high failure rates
	// treats as bad, highFailureExcess its least distance from the old version's share.
	// maxFailureShare keeps that share below 1.
	highFailureShare  = 0.30
	highFailureExcess = 0.25
	maxFailureShare   = 0.95
	// P-values under the hypothesis that the version equals the old one: below doubtPValue
	// promotion waits, below haltPValue the version is halted. slowDoubtPValue replaces
	// doubtPValue for slow answers: waiting costs a plain service little, and it has few
	// answers to judge by.
	doubtPValue     = 0.02
	slowDoubtPValue = 0.05
	haltPValue      = 3e-3
	// minBadAnswers is the least number of bad answers that counts as evidence: a single
	// one may be chance.
	minBadAnswers = 2
)

// oldRoute returns the route that an answer of the old version is counted under.
func (a Answer) oldRoute() string {
	if a.plain() {
		return oldPlainPrefix + a.Route
	}
	return oldPrefix + a.Route
}

func isOldRoute(route string) bool {
	return strings.HasPrefix(route, oldPrefix) || strings.HasPrefix(route, oldPlainPrefix)
}

// oldOn returns the old version's counts on a route.
func (e *evidence) oldOn(route string) Counts {
	old := e.countsOn(oldPlainPrefix + route)
	old.add(e.countsOn(oldPrefix + route))
	return old
}

// expectedBadShare returns an upper bound of the share of bad answers to expect, given
// those of the old version. The fewer answers there are, the higher it is.
func expectedBadShare(bad, answers int64, deviations float64) float64 {
	n := float64(answers) + priorWeight
	share := (float64(bad) + priorBadShare*priorWeight) / n
	deviation := math.Sqrt(share * (1 - share) / n)
	return max(minExpectedShare, share+deviations*deviation)
}

// highFailureTest returns the sequential test for high failure rates, given the old
// version's answers.
func highFailureTest(old Counts) sequentialTest {
	ok := priorBadShare
	if old.Samples > 0 {
		ok = min(maxFailureShare-highFailureExcess, max(ok, expectedBadShare(old.Failed, old.Samples, failedDeviations)))
	}
	return newSequentialTest(ok, max(highFailureShare, ok+highFailureExcess))
}

// exceedsExpected reports whether a version has significantly more bad answers than
// expected: so many occur with a probability below pValue.
func exceedsExpected(bad, answers int64, expectedShare, pValue float64) bool {
	return bad >= minBadAnswers && poissonTail(bad, expectedShare*float64(answers)) < pValue
}

// normalApproxFrom is the mean above which the normal distribution approximates Poisson's,
// whose terms would underflow.
const normalApproxFrom = 100

// poissonTail returns the probability of n or more events for an expected number.
func poissonTail(n int64, expected float64) float64 {
	if expected > normalApproxFrom {
		return math.Erfc((float64(n)-0.5-expected)/math.Sqrt(2*expected)) / 2
	}
	term := math.Exp(-expected)
	fewer := 0.0
	for k := range n {
		fewer += term
		term *= expected / float64(k+1)
	}
	return max(0, 1-fewer)
}

// pairedCounts holds the counts of the new and the old version on the same routes.
type pairedCounts struct{ version, old Counts }

func (b *pairedCounts) add(o pairedCounts) {
	b.version.add(o.version)
	b.old.add(o.old)
}

// failsMoreOften reports whether the version fails significantly more often than the old
// one: a good version would have so many failures with a probability below pValue.
func (b pairedCounts) failsMoreOften(pValue float64) bool {
	return exceedsExpected(b.version.Failed, b.version.Samples, expectedBadShare(b.old.Failed, b.old.Samples, failedDeviations), pValue)
}

// slowMoreOften is failsMoreOften for slow answers.
func (b pairedCounts) slowMoreOften(pValue float64) bool {
	return b.old.Samples > 0 && exceedsExpected(b.version.Slow, b.version.Samples, expectedBadShare(b.old.Slow, b.old.Samples, slowDeviations), pValue)
}

// pairedOn returns the counts of both versions on a route.
func (e *evidence) pairedOn(route string) pairedCounts {
	return pairedCounts{version: e.countsOn(route), old: e.oldOn(route)}
}

// pairedOnPlain returns the counts on a route of a plain service, and zero counts on other
// routes. Plain answers take similar times whatever preceded them, so that a few slow ones
// show more than the mean. Answers of engines depend on load, and their times are compared
// instead.
func (e *evidence) pairedOnPlain(route string) pairedCounts {
	old := e.countsOn(oldPlainPrefix + route)
	if old.Samples == 0 {
		return pairedCounts{}
	}
	return pairedCounts{version: e.countsOn(route), old: old}
}

// pooled returns the counts on all callers' routes, and on those of plain services. With
// few requests, a version that is bad on every route shows there first.
func (e *evidence) pooled() (all, plain pairedCounts) {
	var routes, plainRoutes []pairedCounts
	for name := range e.routes {
		if name == allRoutes || isTrialRoute(name) {
			continue
		}
		routes = append(routes, e.pairedOn(name))
		plainRoutes = append(plainRoutes, e.pairedOnPlain(name))
	}
	return pool(routes), pool(plainRoutes)
}

// pool sums the counts of routes, with the old version's rates weighted by the new
// version's traffic. The canary share has a different mix of routes, and would otherwise
// fail more just by a higher part of routes that fail often.
func pool(routes []pairedCounts) pairedCounts {
	var out pairedCounts
	for _, r := range routes {
		out.add(r)
	}
	failed, slow := 0.0, 0.0
	for _, r := range routes {
		old := r.old
		if old.Samples == 0 {
			old = out.old
		}
		part := float64(r.version.Samples) / float64(max(1, out.version.Samples))
		failed += part * float64(old.Failed) / float64(max(1, old.Samples))
		slow += part * float64(old.Slow) / float64(max(1, old.Samples))
	}
	out.old.Failed = int64(math.Round(failed * float64(out.old.Samples)))
	out.old.Slow = int64(math.Round(slow * float64(out.old.Samples)))
	return out
}

// doubtAgainstOld reports whether the version has too many bad answers, compared with the
// old one, for promotion.
func (e *evidence) doubtAgainstOld() bool {
	if e.callers.Failed < minBadAnswers && e.callers.Slow < minBadAnswers {
		return false // fast path: this runs for each request, mostly without bad answers
	}
	all, plain := e.pooled()
	if all.failsMoreOften(doubtPValue) || plain.slowMoreOften(slowDoubtPValue) {
		return true
	}
	for name := range e.routes {
		if !isTrialRoute(name) && (e.pairedOn(name).failsMoreOften(doubtPValue) || e.pairedOnPlain(name).slowMoreOften(slowDoubtPValue)) {
			return true
		}
	}
	return false
}

// slowOnPlain returns a route of a plain service on which the version is slow.
func (e *evidence) slowOnPlain(alive uint64) (route string, slow bool) {
	if e.callers.Slow < minBadAnswers {
		return "", false
	}
	_, plain := e.pooled()
	all := plain.slowMoreOften(haltPValue)
	for name, r := range e.routes {
		on := e.pairedOnPlain(name)
		bad := on.slowMoreOften(haltPValue) || all && on.version.Slow >= minBadAnswers
		if bad && r.spells >= minSlowSpells && r.widespread(alive) {
			return name, true
		}
	}
	return "", false
}
