package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Report is an entry's report on one limited endpoint, as sent to other entries.
type Report struct {
	Endpoint uint32 // short id
	// Limit is in requests per second; 0: the endpoint no longer announces one.
	Limit float64
	// Age is the time since an answer announced the limit.
	Age time.Duration
	// Sent is the number of requests the entry has sent there since it learned of the limit.
	Sent uint32
}

// Reports returns the reports to send to other entries, sorted by endpoint. It removes expired limits
// and entries that have not reported for maxSilence.
func (l *Limits) Reports() []Report {
	if !l.Any() {
		return nil
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Report, 0, len(l.byID))
	for id, e := range l.byID {
		age := now.Sub(e.updatedAt)
		if age > e.ttl() {
			l.forgetLocked(id, e)
			continue
		}
		if e.endpoint.Domain != "" && l.ownsLocked(id, e, now) {
			e.ownedAt = now
		}
		out = append(out, Report{Endpoint: id, Limit: e.limit, Age: age, Sent: e.sent})
	}
	maps.DeleteFunc(l.heard, func(_ string, p peer) bool { return now.Sub(p.at) > maxSilence })
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// ReceiveReports processes the reports of another entry. An empty list counts as a sign of life. The
// requests of an entry that asks owners have been granted; those of others are counted.
func (l *Limits) ReceiveReports(entry string, reports []Report, asks bool) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[entry] = peer{at: now, asks: asks}
	for _, r := range reports {
		l.mergeLocked(r.Endpoint, fleet.Endpoint{}, r.Limit, now.Add(-max(0, r.Age)))
		if e := l.byID[r.Endpoint]; e != nil && !asks {
			l.countPeerLocked(e, entry, r.Sent)
		}
	}
}

// CountedByReport reports whether an entry counts the requests of others by their reports, as
// builds without Owners do.
func (l *Limits) CountedByReport(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, known := l.heard[entry]
	return known && !p.asks
}

// anyUncountedLocked reports whether some entry has to count the requests of this one.
func (l *Limits) anyUncountedLocked() bool {
	for _, p := range l.heard {
		if !p.asks {
			return true
		}
	}
	return false
}

// Merge merges the limits known to another entry without its sent counts: entries that do not use
// an endpoint must know of its limit as well. It reports whether any limit changed.
func (l *Limits) Merge(reports []Report) (changed bool) {
	if len(reports) == 0 {
		return false
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		changed = l.mergeLocked(r.Endpoint, fleet.Endpoint{}, r.Limit, now.Add(-max(0, r.Age))) || changed
	}
	return changed
}

// countPeerLocked adds the requests an entry has sent since its last report. The count of an entry
// that has restarted begins at zero; what an entry sent before its first report is not counted.
func (l *Limits) countPeerLocked(e *limitedEndpoint, entry string, sent uint32) {
	before, known := e.peerSent[entry]
	e.peerSent[entry] = sent
	if sent < before {
		before = 0
	}
	if !known || e.limit <= 0 || sent == before {
		return
	}
	overfill := e.bucket.overfill(e.limit)
	e.bucket.add(float64(sent - before))
	if over := e.bucket.overfill(e.limit); over > overfill {
		l.Scope.Counter("overshot_requests").Inc(int64(over - overfill))
		l.Log.Warn("ratelimit: limit overshot.", "endpoint", e.endpoint.ID, "entry", entry, "per_second", e.limit, "requests", sent-before, "over", over)
	}
}
