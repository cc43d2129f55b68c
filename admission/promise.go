package admission

import (
	"math"
	"slices"
	"time"
)

// Retry-After of refused callers.
const (
	// minReturn is the least time after which a caller is told to come back.
	minReturn = 50 * time.Millisecond
	// returnSpacing is the least time between two callers' returns. The header has a resolution of 10 ms.
	returnSpacing = 10 * time.Millisecond
	// minRanked is the least time that is divided among the urgencies. In a quarter of less there are few
	// moments to tell.
	minRanked = 200 * time.Millisecond
	// leftDivisor sets the part of its time that a caller waits at most before it comes back.
	leftDivisor = 3
	// maxPromises bounds what is remembered for each service.
	maxPromises = 256
	// earlySlack is how much earlier than told a caller may come back, as its clock may differ.
	earlySlack = 20 * time.Millisecond
	// goldenRatio spreads consecutive numbers evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// promise is a moment at which a refused caller was told to come back.
type promise struct {
	id    string
	class int
	at    time.Time
}

// promises are those of a service, in the order in which they were made.
type promises struct {
	all  []promise
	made int
}

// expire removes the promises whose moment has passed.
func (p *promises) expire(now time.Time) {
	kept := p.all[:0]
	for _, o := range p.all {
		if o.at.After(now) {
			kept = append(kept, o)
		}
	}
	clear(p.all[len(kept):])
	p.all = kept
}

// of returns the moment at which a caller was told to come back; zero: none, or it has come.
func (p *promises) of(id string) time.Time {
	for _, o := range p.all {
		if o.id == id {
			return o.at
		}
	}
	return time.Time{}
}

// early reports whether a caller was told to come back at a later moment.
func (p *promises) early(id string, now time.Time) bool {
	at := p.of(id)
	return !at.IsZero() && at.Sub(now) > earlySlack
}

// remove removes the promise to a caller, which has come back.
func (p *promises) remove(id string) {
	p.all = slices.DeleteFunc(p.all, func(o promise) bool { return o.id == id })
}

// before returns how many callers that are at least as urgent were told to come back.
func (p *promises) before(class int) int {
	n := 0
	for _, o := range p.all {
		if o.class <= class {
			n++
		}
	}
	return n
}

func (p *promises) add(o promise) {
	if len(p.all) == maxPromises {
		p.all = p.all[1:]
	}
	p.all = append(p.all, o)
}

// returnIn returns when a caller is to come back: after those ahead of it, when capacity opens, and within
// a third of the time that it has left. Callers that would come back in the second half of that third, or
// later, are spread over it, the more urgent ones before the others. No two are told the same moment
// unless there is no other.
func (p *promises) returnIn(r *Request, now time.Time, ahead int, rate float64, opensIn time.Duration) time.Duration {
	spacing := max(time.Duration(float64(time.Second)/rate), returnSpacing)
	n := ahead + p.before(r.class()) + 1
	after := max(opensIn, minReturn-returnSpacing) + time.Duration(n)*spacing
	latest := max(r.Deadline.Sub(now)/leftDivisor, minReturn)
	if literal := latest / 2; after > literal {
		_, spread := math.Modf(float64(p.made) * goldenRatio)
		if literal < minRanked {
			literal = min(minReturn, latest) // too little for an order
		} else {
			spread = (float64(r.rank()) + spread) / ranks
		}
		after = literal + time.Duration(float64(latest-literal)*spread)
	}
	p.made++
	return p.free(now, max(after, minReturn).Truncate(returnSpacing), latest)
}

// free returns the first moment from after on that no caller was told, or after if there is none until
// latest.
func (p *promises) free(now time.Time, after, latest time.Duration) time.Duration {
	slot := func(d time.Duration) int64 { return now.Add(d).UnixNano() / int64(returnSpacing) }
	taken := make(map[int64]bool, len(p.all))
	for _, o := range p.all {
		taken[o.at.UnixNano()/int64(returnSpacing)] = true
	}
	for d := after; d <= latest; d += returnSpacing {
		if !taken[slot(d)] {
			return d
		}
	}
	return after
}

// ranks is the number of parts of the time over which callers are spread: one for each of the urgencies 0
// and 1, one for the others, and one for requests in excess of their customer's share.
const ranks = 4

func (r *Request) rank() int {
	if r.Excess {
		return ranks - 1
	}
	return min(max(r.Urgency, 0), ranks-2)
}
