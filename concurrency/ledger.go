package concurrency

import (
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// permitsTTL is how long the permits of an entry that is not heard count as in use.
	permitsTTL = 4 * time.Second
	// learningTime is how long a new owner grants at most half of the permits: it does not know all of
	// those in use.
	learningTime = renewInterval + 500*time.Millisecond
	// An endpoint's limit applies to the requests that it turns away in refusedWindow.
	refusedWindow = time.Second
	// refusedDelay is how long an entry does not use an endpoint that has turned its request away.
	refusedDelay = 50 * time.Millisecond
	// Beyond its slots, an endpoint gets one request more to keep waiting with each waitingStep, up to
	// its slots divided by maxWaitingShare, and none for noWaitingFor after it turned one away.
	waitingStep     = 3 * time.Second
	maxWaitingShare = 8
	noWaitingFor    = 20 * time.Second
	// forgetLedgerAfter is how long an owner keeps an endpoint that nobody asks for.
	forgetLedgerAfter = 30 * time.Second
)

// ledger is an owner's record of the permits in use at an endpoint.
type ledger struct {
	since   time.Time // when this entry became the owner
	askedAt time.Time
	inUse   map[string]use // by entry
	refused []time.Time    // requests that the endpoint turned away within refusedWindow
	// lastRefused is when it last did.
	lastRefused time.Time
}

type use struct {
	permits        int
	at             time.Time
	boot, sequence uint64 // of the message that said so
}

// note records the permits that an entry has, and reports whether its message was the latest.
func (g *ledger) note(a Ask, now time.Time) bool {
	u := g.inUse[a.Entry]
	if u.boot == a.Boot && a.Sequence <= u.sequence {
		return false
	}
	g.inUse[a.Entry] = use{a.InUse, now, a.Boot, a.Sequence}
	return true
}

// total returns the permits in use.
func (g *ledger) total(now time.Time) int {
	sum := 0
	for entry, u := range g.inUse {
		if now.Sub(u.at) > permitsTTL {
			delete(g.inUse, entry)
			continue
		}
		sum += u.permits
	}
	return sum
}

// waiting returns how many requests the endpoint may have waiting.
func (g *ledger) waiting(slots int, now time.Time) int {
	if !g.lastRefused.IsZero() && now.Sub(g.lastRefused) < noWaitingFor {
		return 0
	}
	return min(int(now.Sub(g.since)/waitingStep), max(1, slots/maxWaitingShare))
}

// noteRefused records that the endpoint turned requests away although it was granted permits for them.
func (g *ledger) noteRefused(n int, now time.Time) {
	for range n {
		g.refused = append(g.refused, now)
	}
	g.lastRefused = now
}

// closedFor returns how long the endpoint gets no requests because it turned away more than half of those
// that it bears in refusedWindow, or all of them; it may turn away more that are under way. At half of them,
// it gets fewer: the owner itself causes one as it finds out how many may wait (waitingStep), and an endpoint
// of two slots lost five requests for that while it was closed for the whole window.
func (g *ledger) closedFor(limit int, now time.Time) (wait time.Duration, fewer bool) {
	g.refused = slices.DeleteFunc(g.refused, func(at time.Time) bool { return now.Sub(at) >= refusedWindow })
	bearable := max(1, limit/2)
	switch n := len(g.refused); {
	case n < bearable:
		return 0, false
	case n == bearable && n < limit:
		return 0, true
	default:
		return refusedWindow - now.Sub(g.refused[n-bearable]), false
	}
}

// Grant answers an entry that takes this one for the owner of an endpoint.
func (l *Limiter) Grant(a Ask) Verdict {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Brittle > 0 {
		l.noteAskLocked(a, now)
	}
	g := l.ledgerLocked(a.Endpoint, now)
	g.askedAt = now
	latest := g.note(a, now)
	if a.Refused > 0 {
		g.noteRefused(a.Refused, now)
		l.Log.Info("concurrency: brittle endpoint turned requests away.", "short_id", a.Endpoint, "entry", a.Entry, "requests", a.Refused, "within_window", len(g.refused), "limit", a.Brittle)
		l.Scope.Counter("refused").Inc(int64(a.Refused))
	}
	if a.Update {
		return Verdict{}
	}
	wait, fewer := g.closedFor(a.Brittle, now)
	if wait > 0 {
		return Verdict{Wait: wait}
	}
	permits := a.Slots + g.waiting(a.Slots, now)
	if fewer || l.standsInLocked(a) || now.Sub(g.since) < learningTime {
		permits = max(1, permits/2)
	}
	needed := 1
	if !latest {
		needed = 0 // a later message of the entry counts this permit as in use
	}
	if g.total(now)+needed > permits {
		return Verdict{Wait: spread(deniedDelay)}
	}
	u := g.inUse[a.Entry]
	u.permits += needed
	g.inUse[a.Entry] = u
	return Verdict{Granted: true}
}

// noteAskLocked learns from a question that a service is brittle.
func (l *Limiter) noteAskLocked(a Ask, now time.Time) {
	if _, known := l.brittle[a.Service]; !known {
		l.observeLocked(a.Service, a.Brittle, now)
	}
}

func (l *Limiter) ledgerLocked(short uint32, now time.Time) *ledger {
	g := l.owned[short]
	if g == nil {
		for id, other := range l.owned {
			if now.Sub(other.askedAt) > forgetLedgerAfter {
				delete(l.owned, id)
			}
		}
		g = &ledger{since: now, inUse: map[string]use{}}
		l.owned[short] = g
	}
	return g
}

// standsInLocked reports whether this entry is asked instead of another one that may grant permits
// too.
func (l *Limiter) standsInLocked(a Ask) bool {
	if l.Owners == nil {
		return false
	}
	first := rendezvous(l.Entries(), a.Endpoint, a.Domain, func(fleet.Entry) bool { return true }, l.Instance)
	return first.Instance != l.Instance
}
