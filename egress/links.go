package egress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// The link to a service's endpoints counts as down once downAfter of them, or all, have accepted
	// no connection and none has in between. If none has for downAfterSilence, doubtfulAfter are
	// enough: where many endpoints crash, some are tried in a row.
	downAfter        = 5
	doubtfulAfter    = 2
	downAfterSilence = 250 * time.Millisecond
	// failureTTL is how long a failure counts towards downAfter.
	failureTTL = 3 * time.Second
	// provenFor is how long a connection proves that the link is up.
	provenFor = 2 * time.Second
	// Other entries are asked at intervals that grow with the time since any was known to reach the
	// service: if its endpoints have crashed, all entries ask.
	searchBackoff     = 4
	minSearchInterval = 200 * time.Millisecond
	maxSearchInterval = time.Second
)

// links holds the state of this entry's own links to the endpoints of each service. It is safe
// for concurrent use.
type links struct {
	clock clockwork.Clock

	downCount atomic.Int32 // links that are down

	mu        sync.Mutex
	byService map[string]*link
}

// link is the way to the endpoints of one service.
type link struct {
	// failed are endpoints that accepted no connection since one did, with the time.
	failed      map[fleet.EndpointID]time.Time
	downSince   time.Time // zero: up
	connectedAt time.Time // when a connection that was accepted was begun
	searchedAt  time.Time // when other entries were last asked
	checkDue    bool
}

func newLinks(clock clockwork.Clock) *links {
	return &links{clock: clock, byService: map[string]*link{}}
}

func (l *links) getLocked(service string) *link {
	s := l.byService[service]
	if s == nil {
		s = &link{failed: map[fleet.EndpointID]time.Time{}}
		l.byService[service] = s
	}
	return s
}

// fail records that an endpoint, one of so many of its service, accepted no connection. It reports
// whether the link went down.
func (l *links) fail(ep fleet.Endpoint, endpoints int) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getLocked(ep.Service)
	s.failed[ep.ID] = now
	if !s.downSince.IsZero() {
		return false
	}
	for id, at := range s.failed {
		if now.Sub(at) > failureTTL {
			delete(s.failed, id)
		}
	}
	doubtful := len(s.failed) >= min(doubtfulAfter, endpoints)
	s.checkDue = s.checkDue || doubtful || now.Sub(s.connectedAt) > provenFor
	if len(s.failed) < min(downAfter, endpoints) && (!doubtful || now.Sub(s.connectedAt) < downAfterSilence) {
		return false
	}
	s.downSince = now
	l.downCount.Add(1)
	return true
}

// connected records that an endpoint accepted a connection that was begun at a time. It reports
// whether the link came up again.
func (l *links) connected(service string, begun time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.getLocked(service)
	if begun.After(s.connectedAt) {
		s.connectedAt = begun
	}
	for id, at := range s.failed {
		if at.Before(begun) {
			delete(s.failed, id)
		}
	}
	if s.downSince.IsZero() || begun.Before(s.downSince) {
		return false
	}
	s.downSince, s.checkDue = time.Time{}, false
	l.downCount.Add(-1)
	clear(s.failed)
	return true
}

// downSince returns since when the link is down; ok is false if it is up.
func (l *links) downSince(service string) (since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	if s == nil || s.downSince.IsZero() {
		return time.Time{}, false
	}
	return s.downSince, true
}

// hasFailed reports whether an endpoint accepted no connection since the link was last up.
func (l *links) hasFailed(ep fleet.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[ep.Service]
	return s != nil && !s.failed[ep.ID].IsZero()
}

// proven reports whether the link was seen to be up within provenFor.
func (l *links) proven(service string) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	return s != nil && s.downSince.IsZero() && !s.connectedAt.IsZero() && now.Sub(s.connectedAt) <= provenFor
}

// provenSince reports whether an endpoint accepted a connection that was begun after a time.
func (l *links) provenSince(service string, then time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	return s != nil && s.downSince.IsZero() && s.connectedAt.After(then)
}

// failures returns how many endpoints accepted no connection since one did.
func (l *links) failures(service string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	if s == nil {
		return 0
	}
	return len(s.failed)
}

// requestCheck makes the link due for a check.
func (l *links) requestCheck(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.getLocked(service).checkDue = true
}

// takeChecks returns the services whose links are to be checked now.
func (l *links) takeChecks() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, s := range l.byService {
		if s.checkDue || !s.downSince.IsZero() {
			s.checkDue = false
			out = append(out, name)
		}
	}
	return out
}

// takeSearches returns the services for which other entries are to be asked now; reachedAt tells when
// one last reached a service.
func (l *links) takeSearches(reachedAt func(service string) time.Time) []string {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, s := range l.byService {
		if s.downSince.IsZero() {
			continue
		}
		lost := s.downSince
		if at := reachedAt(name); at.After(lost) {
			lost = at
		}
		interval := min(max(now.Sub(lost)/searchBackoff, minSearchInterval), maxSearchInterval)
		if s.searchedAt.Before(s.downSince) || now.Sub(s.searchedAt) >= interval {
			s.searchedAt = now
			out = append(out, name)
		}
	}
	return out
}

// forget removes a service that has no endpoints any more.
func (l *links) forget(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byService[service]; s != nil && !s.downSince.IsZero() {
		l.downCount.Add(-1)
	}
	delete(l.byService, service)
}

func (l *links) anyDown() bool { return l.downCount.Load() > 0 }

// down returns the services whose links are down.
func (l *links) down() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, s := range l.byService {
		if !s.downSince.IsZero() {
			out = append(out, name)
		}
	}
	return out
}
