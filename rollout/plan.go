package rollout

import "time"

// The course of a roll-out, in shares of the time that the order gives.
const (
	// canaryShare of the requests go to the new version first. The operators
	// bound what a bad version gets of all requests (0.0975 at the least seen);
	// a bad version that is found within the canary stays under that.
	canaryShare = 0.07
	// canaryUntil is past the middle: sessions must not move to the new
	// version in the first half.
	canaryUntil = 0.53
	// halfUntil: for a short while half of the requests, so that a version
	// that fails under load shows it before it has all.
	halfUntil = 0.58
	halfShare = 0.5
	// doneAt is late enough for the streams on old endpoints to end, as these
	// stop at once when the roll-out is done.
	doneAt = 0.88
)

// Share is the share of new requests that go to the new version when so much
// of the order's time has passed.
func Share(passed, whole time.Duration) float64 {
	switch p := progress(passed, whole); {
	case p < canaryUntil:
		return canaryShare
	case p < halfUntil:
		return halfShare
	default:
		return 1
	}
}

// Due reports whether a good version may be recorded as done.
func Due(passed, whole time.Duration) bool { return progress(passed, whole) >= doneAt }

func progress(passed, whole time.Duration) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(passed) / float64(whole)
}
