package soak

import (
	"fmt"
	"time"
)

// A planned stop of an entry costs no request that it has taken its answer,
// unless what the users allow cut it off.
const (
	// servedOn is the part of the grace after which a stream that came early in
	// the stop may be cut, and longTaken how late in a stop it may have come:
	// what the users allow.
	servedOn  = 5. / 6
	longTaken = 3 * time.Second
	// lossSlack is how soon after its last byte a request must have met the
	// closing of its connection to count as never read: the users' bound.
	lossSlack = 200 * time.Millisecond
	// stable is for how long before a request nothing else may have gone wrong
	// where it went: the users' bound.
	stable = 3 * time.Second
)

// lostAtStops returns the requests that came to an entry under a planned stop,
// with nothing else wrong there, and got neither a whole answer nor a refusal.
func (f *faults) lostAtStops(all []seen, runs *ran) []string {
	last := runs.last()
	var lost []string
	for _, q := range all {
		if q.whole || q.sent.IsZero() {
			continue
		}
		for _, s := range f.stops {
			if why := f.lost(q, s, last[q.id]); why != "" {
				lost = append(lost, fmt.Sprintf("%s (%s): sent to %s %v after SIGTERM, cut off at %v with status %d: %s", q.id, q.kind, q.entry,
					q.sent.Sub(s.from).Round(time.Millisecond), q.ended.Sub(s.from).Round(time.Millisecond), q.status, why))
			}
		}
	}
	return lost
}

// lost says why a request that was cut off was lost to a stop; "": it was not,
// or something else may have cut it off.
func (f *faults) lost(q seen, s stop, last *run) string {
	switch {
	case q.entry != s.entry || !s.meets(q.begun, q.ended):
		return ""
	case f.disturbedAt(q.entry, q):
		return ""
	case q.ended.Sub(q.begun) >= limitOf(q.kind):
		return "" // its time was over
	case q.mayOutlast(s, f.c.grace):
		return ""
	case last == nil && q.ended.Sub(q.sent) <= lossSlack:
		return "" // it crossed the closing of its connection
	case last == nil:
		return "read, and never answered"
	case last.fault != "" || f.disturbedAt(last.engine, q):
		return "" // the endpoint, or the link to it, may have broken off
	}
	return "it ran at " + last.engine
}

// last is the last run of each request: the one that was under way when its
// caller's connection closed.
func (r *ran) last() map[string]*run {
	last := map[string]*run{}
	for i, one := range r.all {
		if known := last[one.id]; known == nil || one.at.After(known.at) {
			last[one.id] = &r.all[i]
		}
	}
	return last
}

// mayOutlast reports whether a request is a stream that may last longer than
// the grace of a stop: it came early and was at work until the end.
func (q seen) mayOutlast(s stop, grace time.Duration) bool {
	cutAt := q.ended.Sub(s.from)
	return isStream(q.kind) && q.sent.Sub(s.from) <= longTaken && cutAt >= time.Duration(servedOn*float64(grace))
}

// disturbedAt reports whether a process met a fault while a request was under
// way or shortly before.
func (f *faults) disturbedAt(process string, q seen) bool {
	for _, s := range f.disturbed[process] {
		if s.meets(q.begun.Add(-stable), q.ended) {
			return true
		}
	}
	return false
}
