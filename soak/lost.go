package soak

import (
	"fmt"
	"strings"
	"time"
)

// A planned stop of an entry must lose no response of a request that the entry has
// accepted, unless the users' bounds allow the cut-off.
const (
	// minGraceShare is the share of the grace after which a stream that arrived
	// early in the stop may be cut off, and earlyInStop how late in the stop it
	// may have arrived: the users' bounds.
	minGraceShare = 5. / 6
	earlyInStop   = 3 * time.Second
	// closeRaceWindow: a request that no engine ran counts as never read if its
	// connection closed within this time after its last byte was sent: the users'
	// bound.
	closeRaceWindow = 200 * time.Millisecond
	// stablePeriod is how long before a request its entry and its engine must have
	// been without any other fault: the users' bound.
	stablePeriod = 3 * time.Second
)

// lostAtStops returns the requests that an entry got during a planned stop, without
// any other fault there, and that ended without a complete response or a refusal.
func (f *faultInjector) lostAtStops(all []result, runs *runLog) []string {
	lastRuns := runs.lastRuns()
	var lost []string
	for _, q := range all {
		if q.complete || q.sent.IsZero() {
			continue
		}
		for _, s := range f.stops {
			if why := f.lost(q, s, lastRuns[q.id]); why != "" {
				lost = append(lost, fmt.Sprintf("%s (%s): sent to %s %v after SIGTERM, cut off at %v with status %d: %s", q.id, q.kind, q.entry,
					q.sent.Sub(s.from).Round(time.Millisecond), q.ended.Sub(s.from).Round(time.Millisecond), q.status, why))
			}
		}
	}
	return lost
}

// lost returns why a request that was cut off counts as lost to a stop. It
// returns "" if it does not, or if something else may have cut it off.
func (f *faultInjector) lost(q result, s plannedStop, last *run) string {
	switch {
	case q.entry != s.entry || !s.overlaps(q.started, q.ended):
		return ""
	case f.faultedDuring(q.entry, q):
		return ""
	case f.cutDuring(q) && f.otherEntryInterrupted(q):
		return "" // it may have gone through that entry
	case q.ended.Sub(q.started) >= timeoutOf(q.kind):
		return "" // its deadline had passed
	case q.mayOutlast(s, f.c.grace):
		return ""
	case strings.HasPrefix(q.id, slowIDs) && isStream(q.kind) && !mayRepeat(q.kind):
		return "" // its endpoint cuts it off as its caller does not read, and it may not be resumed
	case last == nil && q.ended.Sub(q.sent) <= closeRaceWindow:
		return "" // it was sent while its connection closed
	case last == nil:
		return "read, and never answered"
	case last.fault != "" || f.faultedDuring(last.engine, q):
		return "" // the endpoint or the link to it may have caused it
	}
	return "it ran at " + last.engine
}

// lastRuns returns the last run of each request, the one in progress when its
// caller's connection closed.
func (r *runLog) lastRuns() map[string]*run {
	lastRuns := map[string]*run{}
	for i, one := range r.runs {
		if known := lastRuns[one.id]; known == nil || !one.at.Before(known.at) { // runs are in the order of the engine's log
			lastRuns[one.id] = &r.runs[i]
		}
	}
	return lastRuns
}

// mayOutlast reports whether a request is a stream that may last longer than the
// grace of a stop: it arrived early and went on until the grace was nearly over.
func (q result) mayOutlast(s plannedStop, grace time.Duration) bool {
	cutAt := q.ended.Sub(s.from)
	return isStream(q.kind) && q.sent.Sub(s.from) <= earlyInStop && cutAt >= time.Duration(minGraceShare*float64(grace))
}

// faultedDuring reports whether a process had a fault during a request or within
// stablePeriod before it.
func (f *faultInjector) faultedDuring(process string, q result) bool {
	for _, s := range f.faulted[process] {
		if s.overlaps(q.started.Add(-stablePeriod), q.ended) {
			return true
		}
	}
	return false
}
