package rollout

import (
	"math"
	"math/bits"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
)

// sequentialTest tests the share of bad answers: at okShare or below the version is good,
// at badShare or above it is unfit to serve.
type sequentialTest struct{ stepBad, stepGood float64 }

func newSequentialTest(okShare, badShare float64) sequentialTest {
	return sequentialTest{stepBad: math.Log(badShare / okShare), stepGood: math.Log((1 - badShare) / (1 - okShare))}
}

// slowTest is the test of slow answers; badrates.go has those of failures. Good versions
// often give slow answers: a crash elsewhere, or prompts not cached yet, slow many. A
// version that is bad by slowness slows half of its answers or more, and reaches the higher
// threshold within some dozens of them, which a crash of some endpoints does not.
var slowTest = newSequentialTest(0.15, 0.50)

// Thresholds of the test statistics.
const (
	failedThreshold = 6.0
	slowThreshold   = 13.5
	// slowImmediateThreshold halts without minSlowPeriod: the after-effects of a crash stay
	// far below it.
	slowImmediateThreshold = 30.0
	// Promotion waits from slowDoubt and failedDoubt.
	slowDoubt   = 4.5
	failedDoubt = 3.0
	// Promotion also waits if doubtShare of all answers are slow, from minDoubtAnswers: the
	// statistic decays, and may be zero when it is read.
	doubtShare      = 0.12
	minDoubtAnswers = 20
)

// minBadEndpoints, and half of those seen, must have answered badly if the version has
// several: some faulty endpoints do not make a version bad.
const minBadEndpoints = 2

// Source identifies one entry's counts for one route under one order. Routes are counted
// separately, as a version may be bad on one only.
type Source struct {
	Instance string
	Boot     int64
	Service  string
	Ordered  kv.Revision
	Route    string
}

// Counts never decrease. The masks have a bit for each endpoint, by its hash: which were
// seen, and which answered badly.
type Counts struct {
	Samples, Failed, Slow int64
	// LogTime is the sum of the logarithms of the compared times, in hundredths. See
	// Answer.logTime.
	LogTime   int64
	Seen, Bad uint64
}

func (c *Counts) add(o Counts) {
	c.Samples += o.Samples
	c.Failed += o.Failed
	c.Slow += o.Slow
	c.LogTime += o.LogTime
	c.Seen |= o.Seen
	c.Bad |= o.Bad
}

// since returns the difference to earlier counts of the same source.
func (c Counts) since(earlier Counts) Counts {
	c.Samples -= earlier.Samples
	c.Failed -= earlier.Failed
	c.Slow -= earlier.Slow
	c.LogTime -= earlier.LogTime
	return c
}

// hasMoreThan reports whether the counts have more samples than others of the same source.
func (c Counts) hasMoreThan(other Counts) bool {
	return c.Samples > other.Samples && c.Failed >= other.Failed && c.Slow >= other.Slow
}

func endpointBit(id fleet.EndpointID) uint64 { return 1 << (place.ShortID(id) % 64) }

// minSlowPeriod is how long slow answers must persist: a crash of some endpoints slows the
// others for a second or two, a version that is bad by slowness stays slow. For single
// answers, minSlowSpells of them at intervals of slowSpellInterval cover the same time.
const (
	minSlowPeriod     = 4 * time.Second
	slowSpellInterval = minSlowPeriod / 2
	minSlowSpells     = 3
)

// routeEvidence holds the evidence on one route.
type routeEvidence struct {
	failed, slow float64 // the tests' statistics
	recent       recentFailures
	slowSince    time.Time // when slow was last zero
	// spells counts the times of slow answers at least slowSpellInterval apart; lastSpell
	// is the latest.
	spells    int
	lastSpell time.Time
	seen, bad uint64
}

// allRoutes pools slow answers of all routes: it detects slowness sooner, and few versions
// are slow on one route only.
const allRoutes = ""

// evidence pools the counts of all entries for one order.
type evidence struct {
	rows   map[Source]Counts
	routes map[string]*routeEvidence
	// sums are the totals of the rows by route, callers those of callers' requests. They
	// are cached as each request reads them, and a large fleet has thousands of rows.
	sums      map[string]Counts
	callers   Counts
	oldTotals Counts // of the old version on all routes
	// spreads estimate how much the old version's times vary on this entry.
	spreads [timeKinds]spread
}

func newEvidence() *evidence {
	return &evidence{rows: map[Source]Counts{}, routes: map[string]*routeEvidence{}, sums: map[string]Counts{}}
}

// update replaces a source's counts by newer ones and reports whether they were newer.
func (e *evidence) update(s Source, c Counts, now time.Time) (isNew bool) {
	old := e.rows[s]
	if !c.hasMoreThan(old) {
		return false
	}
	e.rows[s] = c
	delta := c.since(old)
	sum := e.sums[s.Route]
	sum.add(delta)
	e.sums[s.Route] = sum
	if isOldRoute(s.Route) {
		e.oldTotals.add(delta)
	}
	if isOldRoute(s.Route) || isComparedRoute[s.Route] {
		return true
	}
	if !isTrialRoute(s.Route) {
		e.callers.add(delta)
	}
	samples, failed, slow := delta.Samples, delta.Failed, delta.Slow
	route, all := e.routeFor(s.Route), e.routeFor(allRoutes)
	route.failed = highFailureTest(e.oldOn(s.Route)).add(route.failed, samples, failed)
	route.recent.add(samples, failed)
	slowOn := []*routeEvidence{route, all}
	if isTrialRoute(s.Route) {
		slowOn = slowOn[:1] // the speed of copies is not evidence for callers' requests
	}
	for _, r := range slowOn {
		r.addSlow(samples, slow, now)
		r.seen |= c.Seen
		r.bad |= c.Bad
	}
	return true
}

// rebase gives all rows the revision that the order has in a new era of the store.
func (e *evidence) rebase(ordered kv.Revision) {
	rows := make(map[Source]Counts, len(e.rows))
	for s, n := range e.rows {
		s.Ordered = ordered
		rows[s] = n
	}
	e.rows = rows
}

func (e *evidence) routeFor(route string) *routeEvidence {
	r := e.routes[route]
	if r == nil {
		r = &routeEvidence{}
		e.routes[route] = r
	}
	return r
}

func (r *routeEvidence) addSlow(samples, slow int64, now time.Time) {
	if r.slow == 0 {
		r.slowSince = now
	}
	r.slow = slowTest.add(r.slow, samples, slow)
	if slow > 0 && now.Sub(r.lastSpell) >= slowSpellInterval {
		r.spells++
		r.lastSpell = now
	}
}

// add returns the statistic after new answers. It is the cumulative log likelihood ratio of
// bad against good, bounded below by zero, so that a long good history does not delay the
// halt of a version that turns bad. Bad answers within one update count as spread among the
// good ones: it may cover a long time.
func (t sequentialTest) add(statistic float64, samples, bad int64) float64 {
	return math.Max(0, statistic+float64(samples-bad)*t.stepGood+float64(bad)*t.stepBad)
}

// bad reports whether the version is to be halted, and the route that shows it; alive is
// the mask of its current endpoints.
func (e *evidence) bad(alive uint64, now time.Time) (route string, bad bool) {
	if e.failedTrial(bits.OnesCount64(alive)) {
		return trialRoutes[0], true
	}
	for name, r := range e.routes {
		if isTrialRoute(name) {
			continue // checked above
		}
		slow := r.slow >= slowThreshold && now.Sub(r.slowSince) >= minSlowPeriod || r.slow >= slowImmediateThreshold
		failed := r.failed >= failedThreshold || e.countsOn(name).Failed >= minBadAnswers && e.pairedOn(name).failsMoreOften(haltPValue)
		if (failed || slow) && r.widespread(alive) {
			return name, true
		}
		if e.lowRateBad(name, alive) {
			return name, true
		}
	}
	return "", false
}

// inDoubt reports whether the evidence delays promotion at progress p of the order.
func (e *evidence) inDoubt(p float64) bool {
	if e.trialDoubt() || e.maybeSlower(p) || e.doubtAgainstOld() {
		return true
	}
	for name, r := range e.routes {
		if !isTrialRoute(name) && (r.failed >= failedDoubt || e.lowRateDoubted(name, p) || r.slow >= slowDoubt) {
			return true
		}
	}
	sum := e.totals()
	return sum.Samples >= minDoubtAnswers && float64(sum.Slow) > doubtShare*float64(sum.Samples)
}

// widespread reports whether enough endpoints answered badly for the version to be the
// cause. Endpoints that are gone do not count: they would count as good, and a bad version
// of which half has crashed would never be halted.
func (r *routeEvidence) widespread(alive uint64) bool {
	seen, bad := bits.OnesCount64(r.seen&alive), bits.OnesCount64(r.bad&alive)
	return seen <= 1 || bad >= max(minBadEndpoints, (seen+1)/2)
}

// totals returns the counts of callers' requests.
func (e *evidence) totals() Counts { return e.callers }

// countsOn returns the counts of one route.
func (e *evidence) countsOn(route string) Counts { return e.sums[route] }
