package place

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// A failure domain that is cut off takes all its endpoints away at once.
// Finding that out endpoint by endpoint costs each request a timeout or two;
// once a few have not accepted a connection and none was heard from since, the
// others there are not tried either.
const (
	// domainFailures is how many endpoints of a domain must not have accepted
	// a connection.
	domainFailures = 2
	// domainAway is how long the domain is left alone after the last of them;
	// then the next request that would go there tries.
	domainAway = time.Second
)

// domainRecord is what is known of reaching a domain.
type domainRecord struct {
	failed map[fleet.EndpointID]bool // since something was last heard from it
	at     time.Time                 // the last failure
}

// unreached notes that an endpoint did not accept a connection in time.
func (b *Board) unreachedLocked(domain string, id fleet.EndpointID, now time.Time) {
	d := b.domains[domain]
	if d == nil {
		d = &domainRecord{failed: map[fleet.EndpointID]bool{}}
		b.domains[domain] = d
	}
	d.failed[id] = true
	d.at = now
}

// reachedLocked notes that something was heard from a domain.
func (b *Board) reachedLocked(domain string) { delete(b.domains, domain) }

// awayLocked reports whether a domain is to be left alone.
func (b *Board) awayLocked(domain string, now time.Time) bool {
	d := b.domains[domain]
	return d != nil && len(d.failed) >= domainFailures && now.Sub(d.at) < domainAway
}

// DomainAway reports whether a failure domain seems to be cut off.
func (b *Board) DomainAway(domain string) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awayLocked(domain, now)
}
