package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// A version that is in doubt goes on answering while it is judged. Operators take
// it as proven bad from some number of bad answers on, and allow it requests for a
// few seconds more; the order's time says nothing of when that is. Copies for the
// trial under load are answers too, and come faster than a first share: with them
// a version three times as slow was halted 15 to 200 ms too late.
const (
	// badShare is the part of its answers that a bad version spoils: half, as far
	// as versions were seen. One that spoils fewer is proven bad later than is
	// reckoned with.
	badShare = 0.5
	// haltTakes is how long before the operators' bound it must be decided: other
	// entries' answers are heard of within 0.4 s, and so is the halt.
	haltTakes = 800 * time.Millisecond
)

// dueLocked is how far the judging must have come, in shares of the order's time:
// as much of that as has passed, or more if the version, were it bad, may soon have
// had requests for as long as the operators allow. When that is so, it is judged as
// at the end of the first share.
func (c *Controller) dueLocked(t *track, r *fleet.Rollout) float64 {
	now := c.Clock.Now()
	passed := progress(now.Sub(t.seen), r.Duration)
	room := c.Exposure.Within - haltTakes
	if c.Exposure.Proven <= 0 || room <= 0 {
		return passed
	}
	if t.proven.IsZero() && badShare*float64(c.answeredLocked(t)) >= float64(c.Exposure.Proven) {
		t.proven = now
	}
	if t.proven.IsZero() {
		return passed
	}
	return max(passed, canaryUntil*min(1, float64(now.Sub(t.proven))/float64(room)))
}

// answeredLocked is how many answers the version has given: those to callers, as
// all entries tell, and copies, of which each entry sends about as many.
func (c *Controller) answeredLocked(t *track) int64 {
	entries := max(1, len(c.View().Entries))
	return t.evidence.callers + int64(t.copies*entries)
}
