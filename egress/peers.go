package egress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// reachTTL is how long an entry is taken to reach a service after it said or showed so.
	reachTTL = 3 * time.Second
	// refreshAfter is when such an entry is asked again.
	refreshAfter = time.Second
	// avoidFor is how long an entry is not used after it could not help, avoidForeignFor after it
	// did not understand: it runs a build without tunnels.
	avoidFor        = 500 * time.Millisecond
	avoidForeignFor = 10 * time.Second
	// forgetPeerAfter is how long an unused peer is remembered.
	forgetPeerAfter = time.Minute
	// otherDomainCost is how many more tunnels an entry of this entry's own failure domain may
	// carry before one of another domain is preferred.
	otherDomainCost = 3
	// wantedPeers is how many entries that reach a service are looked for.
	wantedPeers = 4
	// asksPerRound is how many entries are asked at a time.
	asksPerRound = 6
	// maxHints is how many entries an entry without a link names to others.
	maxHints = 4
)

// peers holds what is known of the other entries as ways to endpoints. It is safe for concurrent use.
type peers struct {
	clock clockwork.Clock

	mu        sync.Mutex
	byAddress map[string]*peer
	reached   map[string]time.Time // services, with when any peer last said or showed that it reaches them
	found     chan struct{}        // closed and replaced when a peer is found to reach a service
}

type peer struct {
	open     int                  // tunnels of this entry through it
	reaches  map[string]time.Time // services, with when it last said or showed so
	hinted   map[string]time.Time // services that it reaches according to others
	avoided  map[string]time.Time // services for which it is not used, until when
	foreign  time.Time            // until when it is not used at all
	lastUsed time.Time
}

// mayUse reports whether a peer may be asked for a service.
func (q *peer) mayUse(service string, now time.Time) bool {
	return !now.Before(q.avoided[service]) && !now.Before(q.foreign)
}

func newPeers(clock clockwork.Clock) *peers {
	return &peers{clock: clock, byAddress: map[string]*peer{}, reached: map[string]time.Time{}, found: make(chan struct{})}
}

func (p *peers) getLocked(address string, now time.Time) *peer {
	q := p.byAddress[address]
	if q == nil {
		q = &peer{reaches: map[string]time.Time{}, hinted: map[string]time.Time{}, avoided: map[string]time.Time{}}
		p.byAddress[address] = q
	}
	q.lastUsed = now
	return q
}

// opened records that a tunnel to an endpoint of a service was opened through a peer. The tunnel must
// be closed with closed.
func (p *peers) opened(address, service string) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address, now).open++
	p.reachesLocked(address, service, now)
}

func (p *peers) closed(address string) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getLocked(address, now).open--
}

// reaches records that a peer reaches a service.
func (p *peers) reaches(address, service string) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachesLocked(address, service, now)
}

func (p *peers) reachesLocked(address, service string, now time.Time) {
	q := p.getLocked(address, now)
	p.reached[service] = now
	known := now.Sub(q.reaches[service]) <= reachTTL
	q.reaches[service], q.foreign = now, time.Time{}
	delete(q.avoided, service)
	if !known {
		close(p.found)
		p.found = make(chan struct{})
	}
}

// avoid records that a peer could not help with a service; others that it named may.
func (p *peers) avoid(address, service string, hints []string) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.getLocked(address, now)
	q.avoided[service] = now.Add(avoidFor)
	delete(q.reaches, service)
	delete(q.hinted, service)
	for _, h := range hints[:min(len(hints), maxHints)] {
		p.getLocked(h, now).hinted[service] = now
	}
}

// avoidForeign records that a peer knows no tunnels.
func (p *peers) avoidForeign(address string) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.getLocked(address, now)
	q.foreign = now.Add(avoidForeignFor)
	clear(q.reaches)
}

// await returns a channel that is closed when the next peer is found.
func (p *peers) await() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.found
}

// reachedAt returns when a peer was last known to reach a service.
func (p *peers) reachedAt(service string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached[service]
}

// reaching returns the addresses of entries known to reach a service.
func (p *peers) reaching(service string) []string {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, q := range p.byAddress {
		if now.Sub(q.reaches[service]) <= reachTTL && q.mayUse(service, now) {
			out = append(out, address)
		}
	}
	return out
}

// choose returns the entry to connect through next: of those that reach the service the one with
// the fewest tunnels of this entry, or else any that may.
func (p *peers) choose(service string, self fleet.Entry, entries []fleet.Entry, tried map[string]bool) (fleet.Entry, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var best fleet.Entry
	bestCost, found := 0, false
	for _, e := range entries {
		q := p.byAddress[e.Address]
		if q == nil || e.Instance == self.Instance || tried[e.Address] || !q.mayUse(service, now) || now.Sub(q.reaches[service]) > reachTTL {
			continue
		}
		cost := 2 * q.open // doubled, so that ties can be broken at random
		if e.Domain != self.Domain {
			cost += 2 * otherDomainCost
		}
		cost += rand.IntN(2)
		if !found || cost < bestCost {
			best, bestCost, found = e, cost, true
		}
	}
	if found {
		return best, true
	}
	candidates := p.candidatesLocked(service, self, entries, tried, now)
	if len(candidates) == 0 {
		return fleet.Entry{}, false
	}
	return candidates[0], true
}

// candidatesLocked returns the entries that may reach a service, in the order in which to ask them:
// those that others named, then in turn one of this entry's own failure domain and any.
func (p *peers) candidatesLocked(service string, self fleet.Entry, entries []fleet.Entry, tried map[string]bool, now time.Time) []fleet.Entry {
	var hinted, near, far []fleet.Entry
	for _, i := range rand.Perm(len(entries)) {
		e := entries[i]
		q := p.byAddress[e.Address]
		switch {
		case e.Instance == self.Instance || e.Address == "" || tried[e.Address] || q != nil && !q.mayUse(service, now):
		case q != nil && now.Sub(q.hinted[service]) <= reachTTL:
			hinted = append(hinted, e)
		case e.Domain == self.Domain:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	out := hinted
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			out = append(out, near[i])
		}
		if i < len(far) {
			out = append(out, far[i])
		}
	}
	return out
}

// toAsk returns the entries to ask whether they reach a service: those whose word is getting old,
// and if too few are known, further ones.
func (p *peers) toAsk(service string, self fleet.Entry, entries []fleet.Entry) []fleet.Entry {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepLocked(now)
	var out []fleet.Entry
	known := map[string]bool{}
	for _, e := range entries {
		q := p.byAddress[e.Address]
		if q == nil || e.Instance == self.Instance || !q.mayUse(service, now) {
			continue
		}
		if age := now.Sub(q.reaches[service]); age <= reachTTL {
			known[e.Address] = true
			if age > refreshAfter {
				out = append(out, e)
			}
		}
	}
	if len(known) >= wantedPeers {
		return out
	}
	candidates := p.candidatesLocked(service, self, entries, known, now)
	return append(out, candidates[:min(len(candidates), asksPerRound)]...)
}

func (p *peers) sweepLocked(now time.Time) {
	for address, q := range p.byAddress {
		if q.open == 0 && now.Sub(q.lastUsed) > forgetPeerAfter {
			delete(p.byAddress, address)
		}
	}
}
