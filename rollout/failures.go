package rollout

import (
	"math"
	"strings"
)

// Failures are judged against those of the version that is to be replaced, on the same
// route, since the order. Some services fail a share of a route's requests whatever
// their version, and by a fixed bound good versions of them are rolled back; where the
// old version fails none, one that fails a tenth must not pass for a good one. A
// sequential test finds a version that fails many of its answers within a dozen, also
// one that turns bad late; a version that fails few shows in all answers since the order.
const (
	// oldPrefix marks the routes of the old version's answers among the counts told.
	oldPrefix = "(old) "
	// usualFailed is the share of answers that fail where nothing is known of the old
	// version, usualWeight for how many of its answers that stands.
	usualFailed = 0.05
	usualWeight = 10
	// leastFailed is the least share that a good version is taken to fail, so that two
	// failures by chance prove nothing.
	leastFailed = 0.01
	// manyFailed is the least share of failures of a version that fails many, manyMore
	// by how much it is more than the old version's, mostFailed less than all.
	manyFailed = 0.30
	manyMore   = 0.25
	mostFailed = 0.95
	// Were a version like the old one, it would have so many failures by a chance of
	// chanceDoubt at the most where all requests wait to move to it, and of chanceBad
	// where it is halted.
	chanceDoubt = 0.02
	chanceBad   = 3e-3
	// fewestFails are the least that are no single ones.
	fewestFails = 2
)

// oldRoute is what the old version's answers on a route are counted under.
func oldRoute(route string) string { return oldPrefix + route }

func isOldRoute(route string) bool { return strings.HasPrefix(route, oldPrefix) }

// failedShare is the share of answers that fail, as far as counts tell, and how much
// that may be off.
func (c Counts) failedShare() (share, deviation float64) {
	n := float64(c.Samples) + usualWeight
	share = (float64(c.Failed) + usualFailed*usualWeight) / n
	return share, math.Sqrt(share * (1 - share) / n)
}

// usual is the share of answers that may be taken to fail whatever the version: the less
// is known of the old one, the more.
func (c Counts) usual() float64 {
	share, deviation := c.failedShare()
	return max(leastFailed, share+deviation)
}

// failuresTest is the sequential test of a version beside the old one's answers.
func failuresTest(old Counts) test {
	ok := usualFailed
	if old.Samples > 0 {
		ok = min(mostFailed-manyMore, max(ok, old.usual()))
	}
	return newTest(ok, max(manyFailed, ok+manyMore))
}

// failsMore reports whether a version fails more of its answers than the old one: so many
// would fail by less than a chance, were it like that one.
func failsMore(version, old Counts, chance float64) bool {
	return version.Failed >= fewestFails && atLeast(version.Failed, old.usual()*float64(version.Samples)) < chance
}

// atLeast is the chance of n or more events where so many are expected, after Poisson.
func atLeast(n int64, expected float64) float64 {
	term := math.Exp(-expected)
	fewer := 0.0
	for k := range n {
		fewer += term
		term *= expected / float64(k+1)
	}
	return max(0, 1-fewer)
}

// failsMoreOn reports failsMore for one route.
func (e *evidence) failsMoreOn(route string, chance float64) bool {
	return failsMore(e.sums[route], e.sums[oldRoute(route)], chance)
}
