package ratelimit

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// Lifetimes of limits and peer reports, and how limits are shared.
const (
	// A limit expires limitTTL after it was last confirmed, or after the time that
	// limitTTLRequests take at the limit, if that is longer: each request that the endpoint
	// accepts confirms the limit to some entry.
	limitTTL         = 15 * time.Second
	limitTTLRequests = 5
	// removedTTL is how long entries pass on that an endpoint no longer announces a limit.
	removedTTL = 5 * time.Second
	// peerTTL is how long a report from an entry is current: entries that know of limits
	// report at least once a second.
	peerTTL = 2500 * time.Millisecond
	// An entry that has been silent for peerTTL and left minUnanswered questions unanswered, or has been
	// silent for maxSilence, owns no limits.
	minUnanswered = 5
	maxSilence    = 10 * time.Second
	// maxEntriesSharing is the fleet size up to which all entries use a limited endpoint. In
	// larger fleets only entries of its failure domain do, as only those exchange what they send.
	maxEntriesSharing = 16
	// otherDomainDelay is the wait returned where this entry may not use the endpoint: when the
	// caller retries after it, an entry of another failure domain may take the request.
	otherDomainDelay = time.Second
)

// Deps are the dependencies of Limits.
type Deps struct {
	Instance string
	Domain   string
	Entries  func() []fleet.Entry // all known entries, including this one
	// Owners asks other entries; nil: this entry owns all limits.
	Owners Owners
	// OwnerOf returns the owner of an endpoint's limit, which may grant all of it; nil: it is
	// determined from Entries and their reports.
	OwnerOf func(fleet.Endpoint) fleet.Entry
	Clock   clockwork.Clock
	Log     *slog.Logger
	Scope   tally.Scope // nil: no metrics
}

// Limits holds the rate limits announced by endpoints. It is safe for concurrent use; its lock is
// never held across a network call.
type Limits struct {
	Deps
	limitCount atomic.Int32 // length of byID, so that lookups without any limit skip the lock
	sent       chan struct{}
	random     *rand.Rand // under mu
	workStats  workStats

	mu sync.Mutex
	// byID is keyed by the endpoint's short id, which all entries share.
	byID  map[uint32]*limitedEndpoint
	heard map[string]peer // by entry
}

// peer is what is known of another entry.
type peer struct {
	at time.Time // of its last report or question
	// asks: it asks the owners of limits, and grants requests as an owner. The requests of any
	// other entry are counted as it reports them.
	asks bool
	// unanswered counts the questions to it that got no answer since; it is not asked before
	// askAgainAt.
	unanswered int
	askAgainAt time.Time
}

// mayOwn reports whether an entry is taken for alive, to own limits. Reports may be lost, so that a
// silent entry is presumed gone only after questions went unanswered as well.
func (p peer) mayOwn(now time.Time) bool {
	silent := now.Sub(p.at)
	return p.asks && (silent < peerTTL || silent < maxSilence && p.unanswered < minUnanswered)
}

// limitedEndpoint is an endpoint that announces a limit, or did until recently.
type limitedEndpoint struct {
	limit     float64           // requests per second; 0: no longer limited
	updatedAt time.Time         // time of the answer that announced the limit
	endpoint  fleet.Endpoint    // empty: only other entries have used it
	sent      uint32            // requests sent by this entry since it learned of the limit
	peerSent  map[string]uint32 // last reported sent counts, by entry
	ownership
	bucket bucket // of the owner
	asking int    // questions under way
	// opensAt is when the owner may be asked again, lightOpensAt for requests that leave headroom.
	opensAt, lightOpensAt time.Time
}

// New returns Limits without any limited endpoint.
func New(d Deps) *Limits {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Limits{Deps: d, random: rand.New(rand.NewPCG(xxhash.Sum64String(d.Instance), 0)), sent: make(chan struct{}, 1), byID: map[uint32]*limitedEndpoint{}, heard: map[string]peer{}}
}

// Any reports whether any limit may be in force.
func (l *Limits) Any() bool { return l.limitCount.Load() > 0 }

// Sent returns a channel that signals that requests were sent that other entries have to count, so
// that they are reported at once.
func (l *Limits) Sent() <-chan struct{} { return l.sent }

// Observe records the limit that an endpoint's answer announces; 0: none.
func (l *Limits) Observe(ep fleet.Endpoint, limit float64) {
	if limit <= 0 && !l.Any() {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLocked(place.ShortID(ep.ID), ep, limit, now)
}

// mergeLocked applies a limit that is newer than the known one, and reports whether it differs.
func (l *Limits) mergeLocked(id uint32, ep fleet.Endpoint, limit float64, at time.Time) (changed bool) {
	e := l.byID[id]
	limit = OfThousandths(Thousandths(max(0, limit))) // rounded as on the wire, so that all entries have the same value
	if e == nil && limit == 0 {
		return false
	}
	if e == nil {
		now := l.Clock.Now()
		e = &limitedEndpoint{endpoint: ep, bucket: bucket{at: now}, ownership: ownership{ownedAt: now}, peerSent: map[string]uint32{}}
		l.byID[id] = e
		l.limitCount.Store(int32(len(l.byID)))
	}
	if !at.After(e.updatedAt) {
		return false
	}
	changed = limit != e.limit
	if changed {
		e.opensAt, e.lightOpensAt = time.Time{}, time.Time{}
		l.Log.Info("ratelimit: endpoint names another limit.", "endpoint", e.endpoint.ID, "short_id", id, "per_second", limit, "before", e.limit)
	}
	e.limit, e.updatedAt = limit, at
	return changed
}

// Limit returns the limit of an endpoint in requests per second; 0: none.
func (l *Limits) Limit(ep fleet.Endpoint) float64 {
	if !l.Any() {
		return 0
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.currentLocked(place.ShortID(ep.ID), now); e != nil {
		return e.limit
	}
	return 0
}

// Wait returns how long until an endpoint has room for another request that leaves the given
// headroom unused; 0: it has room now.
func (l *Limits) Wait(ep fleet.Endpoint, headroom float64) time.Duration {
	if !l.Any() {
		return 0
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.currentLocked(place.ShortID(ep.ID), now)
	if e == nil {
		return 0
	}
	return l.waitLocked(e, ep, headroom, now)
}

// currentLocked returns the endpoint if its limit is in force, else nil.
func (l *Limits) currentLocked(id uint32, now time.Time) *limitedEndpoint {
	e := l.byID[id]
	if e == nil {
		return nil
	}
	if now.Sub(e.updatedAt) > e.ttl() {
		l.forgetLocked(id, e)
		return nil
	}
	if e.limit <= 0 {
		return nil
	}
	return e
}

// forgetLocked removes an endpoint whose limit has expired.
func (l *Limits) forgetLocked(id uint32, e *limitedEndpoint) {
	if e.limit > 0 {
		l.Log.Info("ratelimit: limit expired, not confirmed in time.", "endpoint", e.endpoint.ID, "short_id", id, "per_second", e.limit)
	}
	delete(l.byID, id)
	l.limitCount.Store(int32(len(l.byID)))
}

// ttl returns how long the state of the limit is valid after its last update.
func (e *limitedEndpoint) ttl() time.Duration {
	if e.limit <= 0 {
		return removedTTL
	}
	return max(limitTTL, time.Duration(limitTTLRequests/e.limit*float64(time.Second)))
}

// MayUse reports whether, in a fleet of that many entries, an entry in entryDomain may use limited
// endpoints in endpointDomain.
func MayUse(entries int, entryDomain, endpointDomain string) bool {
	return entries <= maxEntriesSharing || entryDomain == endpointDomain
}

// waitLocked returns how long until this entry may take a request from the bucket, or ask for one.
func (l *Limits) waitLocked(e *limitedEndpoint, ep fleet.Endpoint, headroom float64, now time.Time) time.Duration {
	e.endpoint = ep
	l.determineOwnerLocked(place.ShortID(ep.ID), e, now)
	switch {
	case e.share <= 0:
		return otherDomainDelay
	case e.owner.Instance == l.Instance:
		return l.bucketWaitLocked(e, headroom, now)
	case e.asking > int(e.limit*burstTime.Seconds()):
		return askTimeout // questions enough are under way
	}
	opensAt := e.opensAt
	if headroom > 0 {
		opensAt = e.lightOpensAt
	}
	if p := l.heard[e.owner.Instance]; p.askAgainAt.After(opensAt) {
		opensAt = p.askAgainAt
	}
	return max(0, opensAt.Sub(now))
}

// shareLocked returns the share of a limit that this entry and the entries it hears from may use
// together, for endpoints of a failure domain. If it hears from most entries that use the endpoint,
// the others are presumed gone and the whole limit is available: if they are merely cut off, they are
// less than half, and keep to their own share.
func (l *Limits) shareLocked(domain string, now time.Time) float64 {
	entries := l.Entries()
	sharing, heard, registered := 0, 0, false
	for _, e := range entries {
		if !MayUse(len(entries), e.Domain, domain) {
			continue
		}
		sharing++
		switch {
		case e.Instance == l.Instance:
			registered = true
		case now.Sub(l.heard[e.Instance].at) < peerTTL:
			heard++
		}
	}
	switch {
	case !MayUse(len(entries), l.Domain, domain) && sharing > 0:
		return 0
	case !registered:
		sharing++ // this entry is not registered yet
	}
	if 2*(heard+1) > sharing {
		return 1
	}
	return float64(heard+1) / float64(sharing)
}
