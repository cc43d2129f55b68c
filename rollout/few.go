package rollout

import "math/bits"

// A version that fails few answers, where the old one fails hardly any, is told by how
// close its latest failures on a route are together.
const (
	// fewMore is by how much it fails more of its answers than the old one.
	fewMore = 0.09
	// hardlyAny is the least share of failures of an old version, mostFew the most that
	// are hardly any.
	hardlyAny = 0.006
	mostFew   = 0.015
	// fewKnown answers of the old version on a route tell what share fails there, with
	// the share of all its answers, which counts for fewPrior of them.
	fewKnown = 100
	fewPrior = 30
	// fewThreshold of the statistic halts the version.
	fewThreshold = 5.5
	// fewDoubt is reason to wait until fewLate of the order's time, fewLateDoubt from
	// then on: a version that is well must still be brought in.
	fewDoubt     = 0.5
	fewLateDoubt = 3.0
	fewLate      = 0.8
	// mostRecent failures are remembered.
	mostRecent = 12
)

// recentFailures are the latest failures on a route, by how many answers there were before
// each; the newest is last.
type recentFailures struct {
	answers int64
	at      []int64
}

// add takes new answers; the failures count as spread among them.
func (f *recentFailures) add(answers, failed int64) {
	for k := max(0, failed-mostRecent); k < failed; k++ {
		f.at = append(f.at, f.answers+(2*k+1)*answers/(2*failed))
	}
	f.at = f.at[max(0, len(f.at)-mostRecent):]
	f.answers += answers
}

// statistic is the log likelihood ratio of bad against well, over the number of latest
// answers for which it is the largest.
func (f *recentFailures) statistic(t test) float64 {
	most := 0.0
	for i, at := range f.at {
		most = max(most, t.add(0, f.answers-at, int64(len(f.at)-i)))
	}
	return most
}

// fewTest is the test of a version that fails few answers of a route, by the old one's
// answers on it and on all; there is none where the old one fails some as well, or where
// that is not known.
func fewTest(on, all Counts) (t test, ok bool) {
	if on.Samples < fewKnown {
		return test{}, false
	}
	prior := (float64(all.Failed) + usualBad*usualWeight) / (float64(all.Samples) + usualWeight)
	share := (float64(on.Failed) + prior*fewPrior) / (float64(on.Samples) + fewPrior)
	if share > mostFew {
		return test{}, false
	}
	share = max(hardlyAny, share)
	return newTest(share, share+fewMore), true
}

// failsFew is the statistic of a version that fails few answers of a route.
func (e *evidence) failsFew(route string) float64 {
	r := e.routes[route]
	if r == nil || len(r.recent.at) == 0 {
		return 0
	}
	t, ok := fewTest(e.oldOn(route), e.older)
	if !ok {
		return 0
	}
	return r.recent.statistic(t)
}

// fewBad reports whether a version that fails few answers of a route is to be halted. They
// do not reach half of the endpoints, but come from half as many as there are failures.
func (e *evidence) fewBad(route string, alive uint64) bool {
	if e.failsFew(route) < fewThreshold {
		return false
	}
	r := e.routes[route]
	seen, bad := bits.OnesCount64(r.seen&alive), bits.OnesCount64(r.bad&alive)
	return seen <= 1 || bad >= max(fewestEndpoints, min((seen+1)/2, int(e.on(route).Failed+1)/2))
}

// fewDoubted reports whether a version may fail few answers of a route, when so much of the
// order's time has passed.
func (e *evidence) fewDoubted(route string, p float64) bool {
	limit := fewDoubt
	if p >= fewLate {
		limit = fewLateDoubt
	}
	return e.failsFew(route) >= limit
}
