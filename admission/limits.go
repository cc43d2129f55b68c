package admission

import (
	"sync"
	"time"
)

// limitsKept is how long the longest time that a route's callers allow is remembered, at least.
const limitsKept = 30 * time.Second

// limits holds the longest times that callers of each route allowed of late: those of first sends. A
// request that allows less has probably come back.
type limits struct {
	mu            sync.Mutex
	turned        time.Time
	recent, older map[string]time.Duration
}

// ObserveLimit records how long the caller of a request waits.
func (q *Queue) ObserveLimit(route string, limit time.Duration) {
	if q == nil {
		return
	}
	l, now := &q.limits, q.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recent == nil || now.Sub(l.turned) >= limitsKept {
		l.older, l.recent, l.turned = l.recent, map[string]time.Duration{}, now
	}
	l.recent[route] = max(l.recent[route], limit)
}

// UsualLimit returns how long callers of a route wait when they send a request for the first time; 0: not
// known.
func (q *Queue) UsualLimit(route string) time.Duration {
	l := &q.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.recent[route], l.older[route])
}
