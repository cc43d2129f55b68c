package slowstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

const (
	// minShare is the least rate of one entry at a cold endpoint, in requests per second: with
	// more entries, the one request that each may send at once would exceed the rate. Where many
	// entries share a high rate, minSharedRate applies beyond the first: if all of them restart
	// within a second, each sends one twice.
	minShare      = 3
	minSharedRate = 4
	// otherEntryDelay is when a caller may retry if only other entries use the endpoint.
	otherEntryDelay = 250 * time.Millisecond
	// forgetAfter is how long the state of an endpoint is kept that is cold no longer.
	forgetAfter = time.Minute
)

// Deps are the dependencies of a Gate.
type Deps struct {
	Instance string
	Entries  func() []fleet.Entry // all known entries, including this one
	Clock    clockwork.Clock
	Scope    tally.Scope // nil: no metrics
}

// Gate admits this entry's requests to cold endpoints. It is safe for concurrent use.
type Gate struct {
	Deps

	mu    sync.Mutex
	byID  map[fleet.EndpointID]*share
	swept time.Time
}

// share is this entry's share of the requests that a cold endpoint bears.
type share struct {
	entries []fleet.Entry // for which members was determined
	members int           // entries that use the endpoint; 0: this entry does not
	tokens  float64       // requests that may be sent now, at most 1
	updated time.Time
}

// New returns a Gate.
func New(d Deps) *Gate {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Gate{Deps: d, byID: map[fleet.EndpointID]*share{}}
}

// Wait returns how long until an endpoint of a service may get a request from this entry; 0: now.
func (g *Gate) Wait(ep fleet.Endpoint, s fleet.Service) time.Duration {
	if ep.ColdUntil.IsZero() || s.ColdPerSecond <= 0 {
		return 0
	}
	now := g.Clock.Now()
	warm := ep.ColdUntil.Sub(now)
	if warm <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(warm, g.waitLocked(ep, s, now))
}

// Take counts a request to an endpoint, and reports whether it may be sent.
func (g *Gate) Take(ep fleet.Endpoint, s fleet.Service) bool {
	if ep.ColdUntil.IsZero() || s.ColdPerSecond <= 0 {
		return true
	}
	now := g.Clock.Now()
	if !now.Before(ep.ColdUntil) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitLocked(ep, s, now) > 0 {
		g.Scope.Counter("denied").Inc(1)
		return false
	}
	g.byID[ep.ID].tokens--
	g.Scope.Counter("granted").Inc(1)
	return true
}

func (g *Gate) waitLocked(ep fleet.Endpoint, s fleet.Service, now time.Time) time.Duration {
	h := g.shareLocked(ep, s, now)
	if h.members == 0 {
		return otherEntryDelay
	}
	rate := s.ColdPerSecond / float64(h.members)
	h.tokens = min(1, h.tokens+rate*now.Sub(h.updated).Seconds())
	h.updated = now
	if h.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - h.tokens) / rate * float64(time.Second))
}

func (g *Gate) shareLocked(ep fleet.Endpoint, s fleet.Service, now time.Time) *share {
	g.sweepLocked(now)
	h := g.byID[ep.ID]
	if h == nil {
		h = &share{tokens: 1, updated: now}
		g.byID[ep.ID] = h
	}
	if entries := g.Entries(); !sameList(entries, h.entries) {
		h.entries = entries
		h.members = 0
		if users := Users(entries, ep, s.ColdPerSecond); slices.Contains(users, g.Instance) {
			h.members = len(users)
		}
	}
	return h
}

func (g *Gate) sweepLocked(now time.Time) {
	if now.Sub(g.swept) < forgetAfter {
		return
	}
	g.swept = now
	for id, h := range g.byID {
		if now.Sub(h.updated) > forgetAfter {
			delete(g.byID, id)
		}
	}
}

// sameList reports whether two lists of entries are one; views share a list until it changes.
func sameList(a, b []fleet.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Users returns the instances that may send requests to a cold endpoint that bears perSecond. They
// are those of its failure domain, or any if it has none.
func Users(entries []fleet.Entry, ep fleet.Endpoint, perSecond float64) []string {
	type candidate struct {
		instance string
		rank     uint64
	}
	var near, all []candidate
	hash := xxhash.Sum64String(string(ep.ID))
	for _, e := range entries {
		c := candidate{e.Instance, place.Mix(hash ^ xxhash.Sum64String(e.Instance))}
		all = append(all, c)
		if e.Domain == ep.Domain {
			near = append(near, c)
		}
	}
	if len(near) == 0 {
		near = all
	}
	slices.SortFunc(near, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.instance, b.instance))
	})
	n := min(len(near), max(1, int(min(perSecond/minShare, 1+perSecond/minSharedRate))))
	out := make([]string, 0, n)
	for _, c := range near[:n] {
		out = append(out, c.instance)
	}
	return out
}
