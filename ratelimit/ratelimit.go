package ratelimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// What is remembered of limits.
const (
	// lapseAfter is how long a limit holds without news of it, or the time of lapseRequests
	// at the limit: with each request that the endpoint takes some entry hears of it anew.
	lapseAfter    = 15 * time.Second
	lapseRequests = 5
	// endedFor is how long it is told that an endpoint names its limit no more.
	endedFor = 5 * time.Second
	// toldLife is how long an entry counts as heard: those that know of limits tell at
	// least every second.
	toldLife = 2500 * time.Millisecond
	// shareAll is up to how many entries all use a limited endpoint; beyond, those of its
	// failure domain do, which tell each other what they send.
	shareAll = 16
	// otherDomainTakes is when an entry of another failure domain may have taken a
	// request.
	otherDomainTakes = time.Second
)

// Deps is what limits are kept by.
type Deps struct {
	Instance string
	Domain   string
	Entries  func() []fleet.Entry // all that are known, this one among them
	Clock    clockwork.Clock
	Log      *slog.Logger
}

// Limits is what an entry knows of the limits that endpoints name. It is safe for
// concurrent use; its lock is never held across a call.
type Limits struct {
	Deps
	known   atomic.Int32 // endpoints in byID, so that nothing is looked up where there is none
	sent    chan struct{}
	weights weights

	mu sync.Mutex
	// byID is by what entries call endpoints among themselves.
	byID  map[uint32]*limited
	heard map[string]time.Time // when each entry last told
}

// limited is an endpoint that names a limit, or did a moment ago.
type limited struct {
	limit    float64   // requests a second; 0: it names none any more
	named    time.Time // when the answer that said so came
	bucket   bucket
	endpoint fleet.Endpoint    // empty: only others have used it
	sent     uint32            // by this entry, since it knows of the limit
	told     map[string]uint32 // the same of other entries, as they last told
}

// New returns limits that know of none.
func New(d Deps) *Limits {
	return &Limits{Deps: d, sent: make(chan struct{}, 1), byID: map[uint32]*limited{}, heard: map[string]time.Time{}}
}

// Any reports whether a limit may be known.
func (l *Limits) Any() bool { return l.known.Load() > 0 }

// Sent tells when others should hear at once of requests that were sent.
func (l *Limits) Sent() <-chan struct{} { return l.sent }

// Named notes what an answer of an endpoint says of its limit; 0: it names none.
func (l *Limits) Named(ep fleet.Endpoint, limit float64) {
	if limit <= 0 && !l.Any() {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnLocked(place.ShortID(ep.ID), ep, limit, now)
}

// learnLocked takes what is newer than what is known, and reports whether the limit is
// another one.
func (l *Limits) learnLocked(id uint32, ep fleet.Endpoint, limit float64, at time.Time) (changed bool) {
	e := l.byID[id]
	limit = OfThousandths(Thousandths(max(0, limit))) // as others know it
	if e == nil && limit == 0 {
		return false
	}
	if e == nil {
		e = &limited{endpoint: ep, bucket: bucket{at: l.Clock.Now()}, told: map[string]uint32{}}
		l.byID[id] = e
		l.known.Store(int32(len(l.byID)))
	}
	if !at.After(e.named) {
		return false
	}
	changed = limit != e.limit
	if changed {
		l.Log.Info("ratelimit: endpoint names another limit.", "endpoint", e.endpoint.ID, "short_id", id, "per_second", limit, "before", e.limit)
	}
	e.limit, e.named = limit, at
	return changed
}

// Limit is the limit that an endpoint names, in requests a second; 0: none.
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

// Take takes a request from an endpoint's limit, if that leaves so much room, and reports
// whether it did.
func (l *Limits) Take(ep fleet.Endpoint, leaves float64) bool {
	if !l.Any() {
		return true
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.currentLocked(place.ShortID(ep.ID), now)
	if e == nil {
		return true
	}
	if l.waitLocked(e, ep, leaves, now) > 0 {
		return false
	}
	e.bucket.add(1, e.limit)
	e.sent++
	select {
	case l.sent <- struct{}{}:
	default: // others are about to be told
	}
	return true
}

// Wait is how long until an endpoint takes another request that leaves so much room; 0: it
// does now.
func (l *Limits) Wait(ep fleet.Endpoint, leaves float64) time.Duration {
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
	return l.waitLocked(e, ep, leaves, now)
}

// currentLocked is an endpoint whose limit holds; nil: there is none.
func (l *Limits) currentLocked(id uint32, now time.Time) *limited {
	e := l.byID[id]
	if e == nil {
		return nil
	}
	if now.Sub(e.named) > e.life() {
		l.forgetLocked(id, e)
		return nil
	}
	if e.limit <= 0 {
		return nil
	}
	return e
}

// forgetLocked forgets an endpoint of which there was no news for long.
func (l *Limits) forgetLocked(id uint32, e *limited) {
	if e.limit > 0 {
		l.Log.Info("ratelimit: limit lapses without news.", "endpoint", e.endpoint.ID, "short_id", id, "per_second", e.limit)
	}
	delete(l.byID, id)
	l.known.Store(int32(len(l.byID)))
}

// life is how long what is known of the limit holds without news.
func (e *limited) life() time.Duration {
	if e.limit <= 0 {
		return endedFor
	}
	return max(lapseAfter, time.Duration(lapseRequests/e.limit*float64(time.Second)))
}

// Share reports whether an entry of one failure domain uses the limited endpoints of
// another, where there are so many entries.
func Share(entries int, of, endpoint string) bool { return entries <= shareAll || of == endpoint }

func (l *Limits) waitLocked(e *limited, ep fleet.Endpoint, leaves float64, now time.Time) time.Duration {
	e.endpoint = ep
	part := l.leakLocked(e, now)
	if part <= 0 {
		return otherDomainTakes
	}
	return e.bucket.wait(leaves, part*e.limit, e.limit)
}

// leakLocked takes out of a bucket what has become free, and returns the part of the limit
// that this entry and those that it hears may use.
func (l *Limits) leakLocked(e *limited, now time.Time) float64 {
	part := 1.0
	if e.endpoint.Domain != "" {
		part = l.partLocked(e.endpoint.Domain, now)
	}
	e.bucket.leak(now, part*e.limit)
	return part
}

// partLocked is which part of the limit of an endpoint in a failure domain this entry and
// those that it hears may use. Where it hears most of those that use the endpoint, the
// others are taken to be gone: less than half of them are cut off together, and keep to
// their part.
func (l *Limits) partLocked(domain string, now time.Time) float64 {
	entries := l.Entries()
	sharing, heard, own := 0, 0, false
	for _, e := range entries {
		if !Share(len(entries), e.Domain, domain) {
			continue
		}
		sharing++
		switch {
		case e.Instance == l.Instance:
			own = true
		case now.Sub(l.heard[e.Instance]) < toldLife:
			heard++
		}
	}
	switch {
	case !Share(len(entries), l.Domain, domain) && sharing > 0:
		return 0
	case !own:
		sharing++ // it is not registered yet
	}
	if 2*(heard+1) > sharing {
		return 1
	}
	return float64(heard+1) / float64(sharing)
}
