package rollout

import "time"

// The course of a roll-out, in shares of the time that the order gives.
const (
	// canaryUntil is past the middle: sessions must not move to the new
	// version in the first half.
	canaryUntil = 0.53
	// halfFor: for a short while half of the requests, so that a version that
	// fails under load shows it before it has all.
	halfFor   = 0.05
	halfShare = 0.5
	// allBy is when all requests move at the latest, unless there is doubt: a
	// version of which little has been seen has no more time for it.
	allBy = 0.72
	// doneAt is late enough for the streams on old endpoints to end, as these
	// stop at once when the roll-out is done.
	doneAt = 0.88
	// settleFor is how long all requests must have been on the new version
	// before that, where doubt had held them back.
	settleFor = 0.1
	// lateFrom is how far the order must be under way when an entry learns of
	// it for the entry to be late: others learn of it in seconds.
	lateFrom = 0.25
	// lateAllBy is when a late entry moves all requests at the latest, however
	// little it saw: with settleFor it can still be done in time.
	lateAllBy = 0.87
)

// The share of requests that goes to the new version first, by the number of
// old endpoints. What a bad version may get of all requests is bounded by the
// operators (0.0975 is the least seen), and one that is found at this stage
// stays under that. Large services need a smaller share for as many answers a
// second, and their sessions are told among entries. Steps, so that an
// endpoint more or less does not move sessions to and fro.
const (
	smallService  = 16
	mediumService = 64

	smallShare  = 0.095
	mediumShare = 0.04
	largeShare  = 0.02
)

// firstShare is the share to begin with.
func firstShare(older int) float64 {
	switch {
	case older <= smallService:
		return smallShare
	case older <= mediumService:
		return mediumShare
	default:
		return largeShare
	}
}

// enoughSeen answers at the first share are enough to move on: a slow version
// shows in fewer, a failing one in a dozen or two.
const enoughSeen = 90

// MayMoveOn reports whether more than the first share may go to the new
// version when so much of the order's time has passed and so many answers were
// seen.
func MayMoveOn(passed, whole time.Duration, seen int64, doubt bool) bool {
	p := progress(passed, whole)
	return p >= canaryUntil && !doubt && (p >= allBy || seen >= enoughSeen)
}

// MayMoveOnLate is MayMoveOn for an entry that learned of the order late.
func MayMoveOnLate(passed, whole time.Duration, seen int64, doubt bool) bool {
	p := progress(passed, whole)
	return p >= canaryUntil && !doubt && (p >= lateAllBy || seen >= enoughSeen)
}

// ShareAfter is the share so long after moving on.
func ShareAfter(since, whole time.Duration) float64 {
	if progress(since, whole) < halfFor {
		return halfShare
	}
	return 1
}

// Due reports whether a good version may be recorded as done.
func Due(passed, whole time.Duration) bool { return progress(passed, whole) >= doneAt }

func progress(passed, whole time.Duration) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(passed) / float64(whole)
}
