package place

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// A failure domain that is cut off takes all its endpoints away at once. Detecting that endpoint by
// endpoint costs each request a timeout or two. Once a few endpoints have not accepted a connection,
// and nothing was received from the domain since, its other endpoints are not tried either.
const (
	// domainFailures is the number of endpoints of a domain that must fail to accept a
	// connection before the domain counts as unreachable.
	domainFailures = 2
	// domainRetryInterval is how long after the last of these failures the domain is avoided;
	// then the next request for it tries again.
	domainRetryInterval = time.Second
	// lostTTL is how long after the last of these failures the domain counts as lost.
	lostTTL = 5 * time.Second
)

// domainStats records connection failures of a domain.
type domainStats struct {
	failed      map[fleet.EndpointID]bool // since data was last received from the domain
	lastFailure time.Time
}

// unreachedLocked records that an endpoint did not accept a connection in time.
func (b *Board) unreachedLocked(domain string, id fleet.EndpointID, now time.Time) {
	d := b.domains[domain]
	if d == nil {
		d = &domainStats{failed: map[fleet.EndpointID]bool{}}
		b.domains[domain] = d
	}
	d.failed[id] = true
	d.lastFailure = now
}

// reachedLocked records that data was received from a domain.
func (b *Board) reachedLocked(domain string) { delete(b.domains, domain) }

// domainUnreachableLocked reports whether a domain is to be avoided.
func (b *Board) domainUnreachableLocked(domain string, now time.Time) bool {
	d := b.domains[domain]
	return d != nil && len(d.failed) >= domainFailures && now.Sub(d.lastFailure) < domainRetryInterval
}

// DomainUnreachable reports whether a failure domain appears to be cut off.
func (b *Board) DomainUnreachable(domain string) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.domainUnreachableLocked(domain, now)
}

// LostSinceReached returns when the last of several endpoints of a failure domain did not accept a
// connection; ok is false if data was received from the domain since, or that is long ago.
func (b *Board) LostSinceReached(domain string) (last time.Time, ok bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.domains[domain]
	if d == nil || len(d.failed) < domainFailures || now.Sub(d.lastFailure) > lostTTL {
		return time.Time{}, false
	}
	return d.lastFailure, true
}
