package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Told is what an entry tells others of a limited endpoint.
type Told struct {
	Endpoint uint32 // as entries call it among themselves
	// Limit is in requests a second; 0: the endpoint names none any more.
	Limit float64
	// Age is how long ago an answer said so.
	Age time.Duration
	// Sent is how many requests the entry has sent there since it knows of the limit.
	Sent uint32
}

// Tell returns what others should know, in the order of the endpoints. It forgets endpoints
// that are gone, of which there is no news, and entries that have not told for long.
func (l *Limits) Tell() []Told {
	if !l.Any() {
		return nil
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Told, 0, len(l.byID))
	for id, e := range l.byID {
		age := now.Sub(e.named)
		if age > e.life() {
			l.forgetLocked(id, e)
			continue
		}
		out = append(out, Told{Endpoint: id, Limit: e.limit, Age: age, Sent: e.sent})
	}
	maps.DeleteFunc(l.heard, func(_ string, at time.Time) bool { return now.Sub(at) > toldLife })
	slices.SortFunc(out, func(a, b Told) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Hear takes what another entry told, be it nothing.
func (l *Limits) Hear(entry string, told []Told) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[entry] = now
	for _, t := range told {
		l.learnLocked(t.Endpoint, fleet.Endpoint{}, t.Limit, now.Add(-max(0, t.Age)))
		if e := l.byID[t.Endpoint]; e != nil {
			l.leakLocked(e, now)
			e.heard(entry, t.Sent)
		}
	}
}

// Learn takes the limits that another entry knows, without what it has sent: entries that
// do not use an endpoint must know of its limit as well. It reports whether one was news.
func (l *Limits) Learn(told []Told) (news bool) {
	if len(told) == 0 {
		return false
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range told {
		news = l.learnLocked(t.Endpoint, fleet.Endpoint{}, t.Limit, now.Add(-max(0, t.Age))) || news
	}
	return news
}

// heard adds what an entry has sent since it last told. One that has started again
// counts from zero.
func (e *limited) heard(entry string, sent uint32) {
	before := e.told[entry]
	if sent < before {
		before = 0
	}
	e.told[entry] = sent
	if e.limit > 0 {
		e.bucket.add(float64(sent-before), e.limit)
	}
}
