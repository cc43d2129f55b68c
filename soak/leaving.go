package soak

import "time"

// An engine that is leaving must get no new requests after leavingBound. The engine
// cannot tell which entry sent a request, so runs are excused while any entry could
// not learn of changes, and for catchUp after that.
const (
	// leavingBound is the entries' default of bounds.leaving_ms.
	leavingBound = 2 * time.Second
	// leavingSlack allows for processes that are not scheduled for a while.
	leavingSlack = time.Second
	// catchUp is how long an entry takes to learn of all changes after it was
	// disconnected: the retry pause after a store outage, and a watch that hung.
	catchUp = 4 * time.Second
	// drainTime is how long a leaving engine keeps serving. It must exceed
	// leavingBound, or late requests would not be seen.
	drainTime = 4 * time.Second
)

// interval is a time interval.
type interval struct{ from, to time.Time }

// overlaps reports whether s overlaps the interval between two times.
func (s interval) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

// run is one run of a request at an engine.
type run struct {
	id, engine string
	at         time.Time
	fault      string        // what the engine did instead of a normal answer; "": none
	leaving    bool          // the answer said that the engine leaves
	rest       time.Duration // the engine refused the request and asked for a rest; 0: it did not
}

// runLog is what the engines ran, according to their logs.
type runLog struct {
	counts map[string]int // by request
	runs   []run
	// refused are requests that an engine refused with a rest.
	refused []run
	leftAt  map[string]time.Time // when the store accepted that an engine leaves, by engine
	// coldUntil is until when an engine was cold from its start on, by engine.
	coldUntil map[string]time.Time
	domainOf  map[string]string // by engine
}

// runsAfterLeaving returns the runs that started too long after the store accepted
// that their engine leaves.
func (r *runLog) runsAfterLeaving(disconnected []interval) []run {
	var late []run
	for _, one := range r.runs {
		leftAt, ok := r.leftAt[one.engine]
		if ok && one.at.Sub(leftAt) > leavingBound+leavingSlack && !excused(leftAt, one.at, disconnected) {
			late = append(late, one)
		}
	}
	return late
}

// excused reports whether some entry was disconnected or catching up at any time
// between an engine's leaving and a run.
func excused(leftAt, at time.Time, disconnected []interval) bool {
	for _, s := range disconnected {
		if s.from.Before(at) && s.to.Add(catchUp).After(leftAt) {
			return true
		}
	}
	return false
}
