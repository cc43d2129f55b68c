package rollout

import "time"

// Schedule of a roll-out, as fractions of the order's duration.
const (
	// canaryUntil is after the midpoint: sessions must not move to the new version in the
	// first half.
	canaryUntil = 0.53
	// Half of the requests are sent for halfShareFor first, so that a version that fails
	// under load shows it before it gets all requests.
	halfShareFor = 0.05
	halfShare    = 0.5
	// fullShareBy is the latest time for moving all requests, unless the evidence is in
	// doubt. A version with few answers cannot wait any longer.
	fullShareBy = 0.72
	// doneAt leaves time for streams on old endpoints to end, as these endpoints stop as
	// soon as the roll-out is done.
	doneAt = 0.88
	// settleFor is how long all requests must have been on the new version before the
	// roll-out is done, if doubt delayed them.
	settleFor = 0.1
	// lateFrom is the progress of the order from which an entry that learns of it counts as
	// late. Others learn of it within seconds.
	lateFrom = 0.25
	// lateFullShareBy is the latest time for a late entry to move all requests, however few
	// answers it has seen. With settleFor the order can still be done in time.
	lateFullShareBy = 0.87
)

// Canary share by the number of old endpoints. Operators bound what a bad version may get
// of all requests (0.0975 is the lowest bound seen), and a version detected at this stage
// stays below that. Large services need a smaller share for the same answer rate, and their
// sessions are exchanged among entries. The share changes in steps, so that adding or
// removing an endpoint does not move sessions back and forth.
const (
	smallService  = 16
	mediumService = 64

	smallShare  = 0.095
	mediumShare = 0.04
	largeShare  = 0.02
)

// canaryShare returns the share of requests in the canary stage, given the number of old
// endpoints.
func canaryShare(older int) float64 {
	switch {
	case older <= smallService:
		return smallShare
	case older <= mediumService:
		return mediumShare
	default:
		return largeShare
	}
}

// minCanaryAnswers are enough canary answers for promotion: a slow version is detected with
// fewer, a failing one with a dozen or two.
const minCanaryAnswers = 90

// MayPromote reports whether the new version may get more than the canary share, given the
// elapsed time of the order, the answers seen and whether the evidence is in doubt.
func MayPromote(elapsed, total time.Duration, seen int64, doubt bool) bool {
	p := progress(elapsed, total)
	return p >= canaryUntil && !doubt && (p >= fullShareBy || seen >= minCanaryAnswers)
}

// MayPromoteLate is MayPromote for an entry that learned of the order late.
func MayPromoteLate(elapsed, total time.Duration, seen int64, doubt bool) bool {
	p := progress(elapsed, total)
	return p >= canaryUntil && !doubt && (p >= lateFullShareBy || seen >= minCanaryAnswers)
}

// ShareAfterPromotion returns the share of requests at a time after promotion, that is,
// after the share was raised above the canary share.
func ShareAfterPromotion(since, total time.Duration) float64 {
	if progress(since, total) < halfShareFor {
		return halfShare
	}
	return 1
}

// CompletionDue reports whether a good version may be recorded as done.
func CompletionDue(elapsed, total time.Duration) bool { return progress(elapsed, total) >= doneAt }

func progress(elapsed, total time.Duration) float64 {
	if total <= 0 {
		return 1
	}
	return float64(elapsed) / float64(total)
}
