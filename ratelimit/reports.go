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
// and entries that have not reported for peerTTL.
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
		out = append(out, Report{Endpoint: id, Limit: e.limit, Age: age, Sent: e.sent})
	}
	maps.DeleteFunc(l.heard, func(_ string, at time.Time) bool { return now.Sub(at) > peerTTL })
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// ReceiveReports processes the reports of another entry. An empty list counts as a sign of life.
func (l *Limits) ReceiveReports(entry string, reports []Report) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[entry] = now
	for _, r := range reports {
		l.mergeLocked(r.Endpoint, fleet.Endpoint{}, r.Limit, now.Add(-max(0, r.Age)))
		if e := l.byID[r.Endpoint]; e != nil {
			l.drainLocked(e, now)
			l.countPeerLocked(e, entry, r.Sent)
		}
	}
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
// that has restarted begins at zero.
func (l *Limits) countPeerLocked(e *limitedEndpoint, entry string, sent uint32) {
	before := e.peerSent[entry]
	if sent < before {
		before = 0
	}
	e.peerSent[entry] = sent
	if e.limit <= 0 || sent == before {
		return
	}
	overfill := e.bucket.overfill(e.limit)
	uncounted := e.bucket.add(float64(sent-before), e.limit)
	if over := e.bucket.overfill(e.limit); over > overfill || uncounted > 0 {
		l.Scope.Counter("overshot_requests").Inc(int64(over - overfill + uncounted))
		l.Scope.Counter("uncounted_requests").Inc(int64(uncounted))
		l.Log.Warn("ratelimit: limit overshot.", "endpoint", e.endpoint.ID, "entry", entry, "per_second", e.limit, "requests", sent-before, "over", over, "uncounted", uncounted)
	}
}
