package rollout

import (
	"math"
	"math/bits"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
)

// test is a sequential test of a share of answers: at okShare or below the
// version is well, at badShare or above it is not worth serving.
type test struct{ stepBad, stepGood float64 }

func newTest(okShare, badShare float64) test {
	return test{stepBad: math.Log(badShare / okShare), stepGood: math.Log((1 - badShare) / (1 - okShare))}
}

// The test of slow answers; beside.go has those of failures. Slow answers are
// frequent from a version that is well: a crash elsewhere, or prompts that no
// cache holds yet, slow many; but a version that is bad by slowness slows half
// of its answers or more, and is found within some dozens of them by the higher
// threshold, which a crash of some endpoints does not reach.
var slowness = newTest(0.15, 0.50)

// Thresholds of the statistics.
const (
	failedThreshold = 6.0
	slowThreshold   = 13.5
	// slowAtOnce needs no time to prove itself: what a crash leaves behind does not
	// come near it.
	slowAtOnce = 30.0
	// slowDoubt and failedDoubt are reason to wait before all requests move.
	slowDoubt   = 4.5
	failedDoubt = 3.0
	// doubtShare of all answers seen being slow is one as well, from doubtNeeds
	// answers: the statistic forgets, and may stand at zero the moment that it is
	// asked.
	doubtShare = 0.12
	doubtNeeds = 20
)

// fewestEndpoints must have answered badly, and half of those seen, where
// the version has several: some endpoints in trouble are no bad version.
const fewestEndpoints = 2

// Source is one entry's count for one route under one order. Routes are told
// apart as a version may be bad on one only.
type Source struct {
	Instance string
	Boot     int64
	Service  string
	Ordered  kv.Revision
	Route    string
}

// Counts only ever rise. The masks have a bit for each endpoint, by its hash:
// which were seen, and which answered badly.
type Counts struct {
	Samples, Failed, Slow int64
	// LogTime is the sum of the logarithms of the answers' times in parts of the
	// usual, in hundredths, where versions are compared.
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

// since returns what came after earlier counts of the same source.
func (c Counts) since(earlier Counts) Counts {
	c.Samples -= earlier.Samples
	c.Failed -= earlier.Failed
	c.Slow -= earlier.Slow
	c.LogTime -= earlier.LogTime
	return c
}

// newer reports whether counts have more in them than others.
func (c Counts) newer(than Counts) bool {
	return c.Samples > than.Samples && c.Failed >= than.Failed && c.Slow >= than.Slow
}

func endpointBit(id fleet.EndpointID) uint64 { return 1 << (place.ShortID(id) % 64) }

// slowPersists is how long slow answers must go on: a crash of some endpoints
// slows the answers of the others for a second or two, a version that is bad
// by slowness stays so. Where single answers count, fewestSpells of them, slowSpell
// apart, take as long.
const (
	slowPersists = 4 * time.Second
	slowSpell    = slowPersists / 2
	fewestSpells = 3
)

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	failed, slow float64 // the tests' statistics
	recent       recentFailures
	slowSince    time.Time // when slow was last zero
	// spells are times at which there were slow answers, slowSpell apart or more;
	// lastSpell is the latest.
	spells    int
	lastSpell time.Time
	seen, bad uint64
}

// allRoutes pools what is slow on any route: that shows sooner, and few
// versions are slow on one only.
const allRoutes = ""

// evidence pools the counts for one order.
type evidence struct {
	rows   map[Source]Counts
	routes map[string]*routeEvidence
	// sums are those of the rows by route, callers those of callers' requests: they
	// are read for each request, and a large fleet has thousands of rows.
	sums    map[string]Counts
	callers Counts
	older   Counts // of the old version, on all routes
	// spreads are how much the times of the old version vary, at this entry.
	spreads [timeKinds]spread
}

func newEvidence() *evidence {
	return &evidence{rows: map[Source]Counts{}, routes: map[string]*routeEvidence{}, sums: map[string]Counts{}}
}

// take brings a source's counts up to date; older ones change nothing.
func (e *evidence) take(s Source, c Counts, now time.Time) (isNew bool) {
	old := e.rows[s]
	if !c.newer(old) {
		return false
	}
	e.rows[s] = c
	fresh := c.since(old)
	sum := e.sums[s.Route]
	sum.add(fresh)
	e.sums[s.Route] = sum
	if isOldRoute(s.Route) {
		e.older.add(fresh)
	}
	if isOldRoute(s.Route) || isComparedRoute[s.Route] {
		return true
	}
	if !trialRoute(s.Route) {
		e.callers.add(fresh)
	}
	samples, failed, slow := fresh.Samples, fresh.Failed, fresh.Slow
	route, all := e.at(s.Route), e.at(allRoutes)
	route.failed = failuresTest(e.oldOn(s.Route)).add(route.failed, samples, failed)
	route.recent.add(samples, failed)
	slowOn := []*routeEvidence{route, all}
	if trialRoute(s.Route) {
		slowOn = slowOn[:1] // that copies are quick or slow says nothing of others
	}
	for _, r := range slowOn {
		r.addSlow(samples, slow, now)
		r.seen |= c.Seen
		r.bad |= c.Bad
	}
	return true
}

func (e *evidence) at(route string) *routeEvidence {
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
	r.slow = slowness.add(r.slow, samples, slow)
	if slow > 0 && now.Sub(r.lastSpell) >= slowSpell {
		r.spells++
		r.lastSpell = now
	}
}

// add takes new answers into a statistic, the log likelihood ratio of bad
// against well and never below zero, so that a long good past does not delay
// the halt of a version that turns bad. Within one update the bad ones count
// as spread among the good: it may bring the answers of a long time at once.
func (t test) add(statistic float64, samples, bad int64) float64 {
	return math.Max(0, statistic+float64(samples-bad)*t.stepGood+float64(bad)*t.stepBad)
}

// bad reports whether the version is to be halted, and by which route; alive
// are the bits of its endpoints that are there now.
func (e *evidence) bad(alive uint64, now time.Time) (route string, bad bool) {
	if e.trialBad(bits.OnesCount64(alive)) {
		return trialRoutes[0], true
	}
	for name, r := range e.routes {
		if trialRoute(name) {
			continue // judged above
		}
		slow := r.slow >= slowThreshold && now.Sub(r.slowSince) >= slowPersists || r.slow >= slowAtOnce
		failed := r.failed >= failedThreshold || e.on(name).Failed >= fewestBad && e.besideOn(name).failsMore(chanceBad)
		if (failed || slow) && r.widespread(alive) {
			return name, true
		}
		if e.fewBad(name, alive) {
			return name, true
		}
	}
	return "", false
}

// doubt reports whether the evidence is on its way to a halt when so much of the
// order's time has passed.
func (e *evidence) doubt(p float64) bool {
	if e.trialDoubt() || e.maybeSlower(p) || e.besideDoubt() {
		return true
	}
	for name, r := range e.routes {
		if !trialRoute(name) && (r.failed >= failedDoubt || e.fewDoubted(name, p) || r.slow >= slowDoubt) {
			return true
		}
	}
	sum := e.totals()
	return sum.Samples >= doubtNeeds && float64(sum.Slow) > doubtShare*float64(sum.Samples)
}

// widespread reports whether enough of the endpoints answered badly for it to
// be the version. Those that are gone do not count: they would stand for well
// ones, and a bad version of which half has crashed would never be halted.
func (r *routeEvidence) widespread(alive uint64) bool {
	seen, bad := bits.OnesCount64(r.seen&alive), bits.OnesCount64(r.bad&alive)
	return seen <= 1 || bad >= max(fewestEndpoints, (seen+1)/2)
}

// totals are the counts of callers' requests.
func (e *evidence) totals() Counts { return e.callers }

// on are the counts of one route.
func (e *evidence) on(route string) Counts { return e.sums[route] }
