package rollout

import "math/bits"

// Detection of low failure rates: where the old version hardly ever fails, a version that
// fails a small share of its answers is detected by how close its latest failures on a
// route are to each other.
const (
	// lowRateExcess is the difference to the old version's failure share that the test
	// treats as bad.
	lowRateExcess = 0.09
	// lowRateMinShare is the least failure share assumed for the old version. The test
	// applies if that share is at most lowRateMaxShare.
	lowRateMinShare = 0.006
	lowRateMaxShare = 0.015
	// lowRateMinAnswers of the old version on a route establish its failure share there. It
	// is combined with the share over all routes, which counts as lowRatePriorWeight
	// answers.
	lowRateMinAnswers  = 100
	lowRatePriorWeight = 30
	// lowRateThreshold is the value of the statistic that halts the version.
	lowRateThreshold = 5.5
	// Promotion waits from lowRateDoubt, and from lowRateLateDoubt once lowRateLateFrom of
	// the order's time has passed: a good version must still be completed.
	lowRateDoubt     = 0.5
	lowRateLateDoubt = 3.0
	lowRateLateFrom  = 0.8
	// maxRecentFailures is the number of failures kept per route.
	maxRecentFailures = 12
)

// recentFailures holds the latest failures on a route, oldest first, each as the number of
// answers before it.
type recentFailures struct {
	answers int64
	at      []int64
}

// add counts new answers, with the failures spread evenly among them.
func (f *recentFailures) add(answers, failed int64) {
	for k := max(0, failed-maxRecentFailures); k < failed; k++ {
		f.at = append(f.at, f.answers+(2*k+1)*answers/(2*failed))
	}
	f.at = f.at[max(0, len(f.at)-maxRecentFailures):]
	f.answers += answers
}

// statistic returns the largest log likelihood ratio of bad against good over all windows
// of latest answers.
func (f *recentFailures) statistic(t sequentialTest) float64 {
	largest := 0.0
	for i, at := range f.at {
		largest = max(largest, t.add(0, f.answers-at, int64(len(f.at)-i)))
	}
	return largest
}

// lowRateTest returns the test for low failure rates, given the old version's counts on the
// route and on all routes. There is none if the old version fails more than lowRateMaxShare
// or has too few answers.
func lowRateTest(on, all Counts) (t sequentialTest, ok bool) {
	if on.Samples < lowRateMinAnswers {
		return sequentialTest{}, false
	}
	prior := (float64(all.Failed) + priorBadShare*priorWeight) / (float64(all.Samples) + priorWeight)
	share := (float64(on.Failed) + prior*lowRatePriorWeight) / (float64(on.Samples) + lowRatePriorWeight)
	if share > lowRateMaxShare {
		return sequentialTest{}, false
	}
	share = max(lowRateMinShare, share)
	return newSequentialTest(share, share+lowRateExcess), true
}

// lowRateStatistic returns the statistic of the low failure rate test on a route.
func (e *evidence) lowRateStatistic(route string) float64 {
	r := e.routes[route]
	if r == nil || len(r.recent.at) == 0 {
		return 0
	}
	t, ok := lowRateTest(e.oldOn(route), e.oldTotals)
	if !ok {
		return 0
	}
	return r.recent.statistic(t)
}

// lowRateBad reports whether the low failure rate test halts the version. The failures need
// not reach half of the endpoints, but must come from half as many as there are failures.
func (e *evidence) lowRateBad(route string, alive uint64) bool {
	if e.lowRateStatistic(route) < lowRateThreshold {
		return false
	}
	r := e.routes[route]
	seen, bad := bits.OnesCount64(r.seen&alive), bits.OnesCount64(r.bad&alive)
	return seen <= 1 || bad >= max(minBadEndpoints, min((seen+1)/2, int(e.countsOn(route).Failed+1)/2))
}

// lowRateDoubted reports whether the low failure rate test delays promotion at progress p
// of the order.
func (e *evidence) lowRateDoubted(route string, p float64) bool {
	limit := lowRateDoubt
	if p >= lowRateLateFrom {
		limit = lowRateLateDoubt
	}
	return e.lowRateStatistic(route) >= limit
}
