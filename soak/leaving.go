package soak

import "time"

// An engine that leaves gets no new requests after a while. Which entry sent a
// request does not show at the engine, so runs are excused while any entry could
// not hear of changes, and for as long again as one takes to catch up.
const (
	// leavingBound is the entries' default, bounds.leaving_ms.
	leavingBound = 2 * time.Second
	// leavingSlack is for processes that get no processor for a while.
	leavingSlack = time.Second
	// catchUp is how long an entry takes to know all after it could not hear:
	// the pause of a store that was away, and a watch that hung.
	catchUp = 4 * time.Second
	// servesOn is how long a leaving engine serves: longer than the bound, or
	// nothing would show.
	servesOn = 4 * time.Second
)

// span is a stretch of time.
type span struct{ from, to time.Time }

// meets reports whether it shares some time with the stretch between two times.
func (s span) meets(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

// run is one run of a request at an engine.
type run struct {
	id, engine string
	at         time.Time
	fault      string // what the engine did to it; "": it answered well
}

// ran is what the engines ran, as they printed it.
type ran struct {
	times map[string]int // by request
	all   []run
	left  map[string]time.Time // when the store took that an engine leaves
}

// afterLeaving returns the runs that began too long after their engine's
// leaving was known.
func (r *ran) afterLeaving(deaf []span) []run {
	var late []run
	for _, one := range r.all {
		left, ok := r.left[one.engine]
		if ok && one.at.Sub(left) > leavingBound+leavingSlack && !excused(left, one.at, deaf) {
			late = append(late, one)
		}
	}
	return late
}

// excused reports whether some entry could not hear, or was catching up, at any
// time between an engine's leaving and a run.
func excused(left, at time.Time, deaf []span) bool {
	for _, s := range deaf {
		if s.from.Before(at) && s.to.Add(catchUp).After(left) {
			return true
		}
	}
	return false
}
