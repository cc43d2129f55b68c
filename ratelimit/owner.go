package ratelimit

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

// Timing of requests to owners.
const (
	// askTimeout bounds a question to an owner; a slow entry answers within some tens of
	// milliseconds.
	askTimeout = 250 * time.Millisecond
	// unansweredDelay is how long the endpoints of an owner that gave no answer are not used.
	unansweredDelay = 300 * time.Millisecond
	// disputedDelay is the wait returned by an entry that takes another one for the owner; views
	// agree again once both have heard from the same entries.
	disputedDelay = 250 * time.Millisecond
	// maxSpread bounds the random delay by which the entries that were denied return.
	maxSpread = time.Second
	// ownerTTL is how long an owner is remembered before it is determined anew.
	ownerTTL = 100 * time.Millisecond
)

// Ask asks the owner of an endpoint's limit for one request.
type Ask struct {
	Entry    string // the asking entry
	Endpoint uint32 // short id
	ID       fleet.EndpointID
	Domain   string // failure domain of the endpoint
	Limit    float64
	Age      time.Duration // since an answer announced the limit
	Headroom float64       // requests to leave unused
}

// Verdict is an owner's answer.
type Verdict struct {
	Granted bool
	Wait    time.Duration // if not granted, until the entry may ask again
}

// Owners asks other entries as owners of limits.
type Owners interface {
	TakeLimit(ctx context.Context, owner fleet.Entry, ask Ask) (Verdict, error)
}

// ownership is what an entry knows of an endpoint's owner.
type ownership struct {
	owner fleet.Entry
	// share of the limit that the owner may grant; 0: this entry may not use the endpoint.
	share        float64
	determinedAt time.Time
	// ownedAt is when this entry last was the owner, or learned of the limit.
	ownedAt time.Time
	owned   bool // this entry has been the owner
}

// question is a pending Ask and the entry that it goes to.
type question struct {
	Ask
	owner    fleet.Entry
	endpoint *limitedEndpoint
}

// Take counts one request against an endpoint's limit if that leaves the given headroom unused, and
// reports whether it did. It always succeeds for an endpoint without a limit. It asks the owner of
// the limit, for askTimeout at most.
func (l *Limits) Take(ctx context.Context, ep fleet.Endpoint, headroom float64) bool {
	taken, q := l.begin(ep, headroom)
	if q == nil {
		return taken
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	v, err := l.Owners.TakeLimit(askCtx, q.owner, q.Ask)
	if err != nil && ctx.Err() != nil {
		l.abandon(q)
		return false
	}
	l.settle(q, v, err)
	return err == nil && v.Granted
}

// begin takes a request without asking, or returns the question to ask.
func (l *Limits) begin(ep fleet.Endpoint, headroom float64) (taken bool, q *question) {
	if !l.Any() {
		return true, nil
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.currentLocked(place.ShortID(ep.ID), now)
	if e == nil {
		return true, nil
	}
	if l.waitLocked(e, ep, headroom, now) > 0 {
		return false, nil
	}
	if e.owner.Instance == l.Instance {
		e.bucket.add(1)
		l.countSentLocked(e)
		return true, nil
	}
	e.asking++
	return false, &question{owner: e.owner, endpoint: e, Ask: Ask{Entry: l.Instance, Endpoint: place.ShortID(ep.ID), ID: ep.ID, Domain: ep.Domain,
		Limit: e.limit, Age: now.Sub(e.updatedAt), Headroom: headroom}}
}

// abandon ends a question whose caller has left, which says nothing about the owner.
func (l *Limits) abandon(q *question) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.endpoint.asking--
}

// settle applies an owner's answer.
func (l *Limits) settle(q *question, v Verdict, err error) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := q.endpoint
	e.asking--
	if p, known := l.heard[q.owner.Instance]; err == nil {
		l.heard[q.owner.Instance] = peer{at: now, asks: true}
	} else if known {
		p.unanswered++
		p.askAgainAt = now.Add(unansweredDelay)
		l.heard[q.owner.Instance] = p
	}
	switch {
	case err != nil:
		l.Scope.Counter("owner_unanswered").Inc(1)
		l.Log.Warn("ratelimit: owner of a limit does not answer.", "endpoint", e.endpoint.ID, "owner", q.owner.Instance, "error", err)
		e.opensAt, e.lightOpensAt = now.Add(unansweredDelay), now.Add(unansweredDelay)
	case v.Granted:
		l.countSentLocked(e)
	default:
		e.lightOpensAt = now.Add(v.Wait)
		if q.Headroom == 0 {
			e.opensAt = now.Add(v.Wait)
		}
	}
}

func (l *Limits) countSentLocked(e *limitedEndpoint) {
	e.sent++
	if !l.anyUncountedLocked() {
		return
	}
	select {
	case l.sent <- struct{}{}:
	default: // a notification is pending already
	}
}

// Grant answers another entry that takes this one for the owner of a limit.
func (l *Limits) Grant(a Ask) Verdict {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[a.Entry] = peer{at: now, asks: true}
	l.mergeLocked(a.Endpoint, fleet.Endpoint{ID: a.ID, Domain: a.Domain}, a.Limit, now.Add(-max(0, a.Age)))
	e := l.currentLocked(a.Endpoint, now)
	if e == nil {
		return Verdict{Granted: true} // it ended meanwhile
	}
	if e.endpoint.ID == "" {
		e.endpoint = fleet.Endpoint{ID: a.ID, Domain: a.Domain}
	}
	l.determineOwnerLocked(a.Endpoint, e, now)
	if e.owner.Instance != l.Instance || e.share <= 0 {
		l.Scope.Counter("owner_disputed").Inc(1)
		return Verdict{Wait: disputedDelay}
	}
	if wait := l.bucketWaitLocked(e, a.Headroom, now); wait > 0 {
		l.Scope.Counter("denied").Inc(1)
		return Verdict{Wait: wait + l.spreadLocked(e.limit, a.Headroom)}
	}
	l.Scope.Counter("granted").Inc(1)
	e.bucket.add(1)
	return Verdict{Granted: true}
}

// spreadLocked returns a random delay, so that the entries that were denied return one after another.
// It is at most half of the time in which the bucket, with room for one of their requests, drains to
// empty.
func (l *Limits) spreadLocked(limit, headroom float64) time.Duration {
	bound := min(maxSpread.Seconds(), (capacity(limit)-1-headroom)/2/limit)
	return time.Duration(l.random.Float64() * max(0, bound) * float64(time.Second))
}

// bucketWaitLocked returns how long until an endpoint that this entry owns has room. An entry that
// takes over from another one, or does not hear from most, starts with a full bucket: it does not
// know what others granted.
func (l *Limits) bucketWaitLocked(e *limitedEndpoint, headroom float64, now time.Time) time.Duration {
	if now.Sub(e.ownedAt) > peerTTL || !e.owned && e.share < 1 {
		l.Log.Info("ratelimit: entry owns the limit now.", "endpoint", e.endpoint.ID, "per_second", e.limit, "share", e.share)
		e.bucket.level = max(e.bucket.level, capacity(e.limit))
	}
	e.ownedAt, e.owned = now, true
	e.bucket.drain(now, e.share*e.limit)
	return e.bucket.wait(headroom, e.share*e.limit, e.limit)
}

// determineOwnerLocked sets the owner of an endpoint's limit: the first in rendezvous order of the
// entries that may use the endpoint, grant requests and are taken for alive.
func (l *Limits) determineOwnerLocked(id uint32, e *limitedEndpoint, now time.Time) {
	if !e.determinedAt.IsZero() && now.Sub(e.determinedAt) < ownerTTL {
		return
	}
	e.determinedAt = now
	e.owner, e.share = fleet.Entry{Instance: l.Instance}, 1
	switch {
	case l.Owners == nil || e.endpoint.Domain == "":
		return
	case l.OwnerOf != nil:
		e.owner = l.OwnerOf(e.endpoint)
		return
	}
	e.share = l.shareLocked(e.endpoint.Domain, now)
	var highest uint64
	entries := l.Entries()
	for _, c := range entries {
		if !MayUse(len(entries), c.Domain, e.endpoint.Domain) {
			continue
		}
		if c.Instance != l.Instance && !l.heard[c.Instance].mayOwn(now) {
			continue
		}
		if rank := place.Mix(uint64(id) ^ xxhash.Sum64String(c.Instance)); rank >= highest {
			e.owner, highest = c, rank
		}
	}
}

// ownsLocked reports whether this entry owns an endpoint's limit.
func (l *Limits) ownsLocked(id uint32, e *limitedEndpoint, now time.Time) bool {
	l.determineOwnerLocked(id, e, now)
	return e.owner.Instance == l.Instance
}
