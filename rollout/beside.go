package rollout

import (
	"math"
	"strings"
)

// Bad answers of a version are judged beside those of the version that is to be replaced:
// some services fail a share of a route's requests whatever their version. A sequential
// test finds versions that fail many answers, the sum since the order those that fail few.
const (
	// oldPrefix marks the routes of the old version's answers among the counts told,
	// oldPlainPrefix where they are of a plain service.
	oldPrefix      = "(old) "
	oldPlainPrefix = "(old plain) "
	// usualBad is the share of answers that fail, or are slow, where nothing is known of
	// the old version, usualWeight for how many of its answers that stands.
	usualBad    = 0.05
	usualWeight = 10
	// failedDeviations and slowDeviations above what the old version's answers tell may be
	// usual as well.
	failedDeviations = 2.0
	slowDeviations   = 1.5
	// leastBad is the least share that is taken to be usual, so that two bad answers by
	// chance prove nothing.
	leastBad = 0.01
	// manyFailed is the least share of failures of a version that fails many, manyMore
	// by how much it is more than the old version's, mostFailed less than all.
	manyFailed = 0.30
	manyMore   = 0.25
	mostFailed = 0.95
	// Were a version like the old one, it would have so many bad answers by a chance of
	// chanceDoubt at the most where all requests wait to move to it, and of chanceBad
	// where it is halted. chanceSlow takes the place of chanceDoubt for slow answers: to
	// wait costs a plain service little, and it has few answers to tell by.
	chanceDoubt = 0.02
	chanceSlow  = 0.05
	chanceBad   = 3e-3
	// fewestBad answers are the least that tell anything: a single one is chance.
	fewestBad = 2
)

// oldRoute is what an answer of the old version is counted under.
func (a Answer) oldRoute() string {
	if a.plain() {
		return oldPlainPrefix + a.Route
	}
	return oldPrefix + a.Route
}

func isOldRoute(route string) bool {
	return strings.HasPrefix(route, oldPrefix) || strings.HasPrefix(route, oldPlainPrefix)
}

// oldOn are the old version's answers on a route.
func (e *evidence) oldOn(route string) Counts {
	old := e.on(oldPlainPrefix + route)
	old.add(e.on(oldPrefix + route))
	return old
}

// usualShare is the share of bad answers that may be taken to be usual where the old
// version gave so many among its answers: the fewer these are, the more.
func usualShare(bad, answers int64, deviations float64) float64 {
	n := float64(answers) + usualWeight
	share := (float64(bad) + usualBad*usualWeight) / n
	deviation := math.Sqrt(share * (1 - share) / n)
	return max(leastBad, share+deviations*deviation)
}

// failuresTest is the sequential test of a version beside the old one's answers.
func failuresTest(old Counts) test {
	ok := usualBad
	if old.Samples > 0 {
		ok = min(mostFailed-manyMore, max(ok, usualShare(old.Failed, old.Samples, failedDeviations)))
	}
	return newTest(ok, max(manyFailed, ok+manyMore))
}

// moreThanUsual reports whether a version has more bad answers than the old one: so many
// would come by less than a chance, were it like that one.
func moreThanUsual(bad, answers int64, usual, chance float64) bool {
	return bad >= fewestBad && atLeast(bad, usual*float64(answers)) < chance
}

// manyExpected events are as many as the normal distribution stands in for Poisson's,
// whose terms would become too small to be told from nothing.
const manyExpected = 100

// atLeast is the chance of n or more events where so many are expected.
func atLeast(n int64, expected float64) float64 {
	if expected > manyExpected {
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

// beside are a version's answers and the old one's, of the same routes.
type beside struct{ version, old Counts }

func (b *beside) add(o beside) {
	b.version.add(o.version)
	b.old.add(o.old)
}

// failsMore reports whether the version fails more of its answers than the old one does;
// chance is the least that a good version has to have so many.
func (b beside) failsMore(chance float64) bool {
	return moreThanUsual(b.version.Failed, b.version.Samples, usualShare(b.old.Failed, b.old.Samples, failedDeviations), chance)
}

// slowMore reports the same of slow answers.
func (b beside) slowMore(chance float64) bool {
	return b.old.Samples > 0 && moreThanUsual(b.version.Slow, b.version.Samples, usualShare(b.old.Slow, b.old.Samples, slowDeviations), chance)
}

// besideOn are the answers on a route.
func (e *evidence) besideOn(route string) beside {
	return beside{version: e.on(route), old: e.oldOn(route)}
}

// onPlain are the answers on a route of a plain service, none if it is not of one. Its
// answers take much the same time whatever came before, so that a few slow ones tell more
// than the mean does. Where engines answer, the load decides, and times are compared.
func (e *evidence) onPlain(route string) beside {
	old := e.on(oldPlainPrefix + route)
	if old.Samples == 0 {
		return beside{}
	}
	return beside{version: e.on(route), old: old}
}

// pooled are the answers on all routes that callers use, and those of plain services
// among them: with few requests, what is bad on every route shows there first.
func (e *evidence) pooled() (all, plain beside) {
	var routes, plainRoutes []beside
	for name := range e.routes {
		if name == allRoutes || trialRoute(name) {
			continue
		}
		routes = append(routes, e.besideOn(name))
		plainRoutes = append(plainRoutes, e.onPlain(name))
	}
	return pool(routes), pool(plainRoutes)
}

// pool sums the answers of routes. A version's first share has other parts of the routes
// than the old version's answers, which are weighed as the version's are: on routes that
// fail often it would fail more by that alone.
func pool(routes []beside) beside {
	var out beside
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

// besideDoubt reports whether the version has more bad answers beside the old one's than
// it may have for all requests to move to it.
func (e *evidence) besideDoubt() bool {
	if e.callers.Failed < fewestBad && e.callers.Slow < fewestBad {
		return false // asked for each request, and mostly there is nothing to tell
	}
	all, plain := e.pooled()
	if all.failsMore(chanceDoubt) || plain.slowMore(chanceSlow) {
		return true
	}
	for name := range e.routes {
		if !trialRoute(name) && (e.besideOn(name).failsMore(chanceDoubt) || e.onPlain(name).slowMore(chanceSlow)) {
			return true
		}
	}
	return false
}

// slowOnPlain returns a route of a plain service on which the version is slow.
func (e *evidence) slowOnPlain(alive uint64) (route string, slow bool) {
	if e.callers.Slow < fewestBad {
		return "", false
	}
	_, plain := e.pooled()
	all := plain.slowMore(chanceBad)
	for name, r := range e.routes {
		on := e.onPlain(name)
		bad := on.slowMore(chanceBad) || all && on.version.Slow >= fewestBad
		if bad && r.spells >= fewestSpells && r.widespread(alive) {
			return name, true
		}
	}
	return "", false
}
