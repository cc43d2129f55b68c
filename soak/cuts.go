package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Cuts of entries from all engines.
const (
	// minCutTime exceeds stablePeriod, after which requests at entries that are cut off must be served
	// like others.
	minCutTime = 4500 * time.Millisecond
	maxCutTime = 6500 * time.Millisecond
	// The users' bounds on first attempts at entries that are cut off: at least minCutShare as often
	// served as at the others, or failures of at most cutFailures and one in cutFailuresPer.
	minCutShare    = 2. / 3
	cutFailures    = 10
	cutFailuresPer = 50
)

// cutWindow is a time in which some entries were cut off from all engines.
type cutWindow struct {
	interval
	entries map[string]bool
}

// cutEntriesInTurn cuts random sets of entries off from all engines, one or two at a time, until ctx
// ends. One entry is never cut off.
func (f *faultInjector) cutEntriesInTurn(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var wg sync.WaitGroup
	defer wg.Wait()
	spared := f.c.entries[rng.IntN(len(f.c.entries))]
	for wait(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond) {
		mode := Cut(1 + rng.IntN(4))
		d := minCutTime + time.Duration(rng.Int64N(int64(maxCutTime-minCutTime)))
		var chosen []*entry
		kind := rng.IntN(3)
		domain := domainOf(rng.IntN(domains))
		for i, e := range f.c.entries {
			if e != spared && (kind == 0 || kind == 1 && domainOf(i) == domain || kind == 2 && rng.IntN(2) == 0) {
				chosen = append(chosen, e)
			}
		}
		f.cutOff(ctx, chosen, mode, d)
	}
}

// cutOff cuts entries off from all engines for some time.
func (f *faultInjector) cutOff(ctx context.Context, entries []*entry, mode Cut, d time.Duration) {
	w := cutWindow{interval: interval{from: time.Now()}, entries: map[string]bool{}}
	for _, e := range entries {
		w.entries[e.name] = true
		e.egress.Set(mode)
	}
	f.record("%d entries are cut off from all engines in mode %d for %v", len(entries), mode, d)
	wait(ctx, d)
	for _, e := range entries {
		e.egress.Set(NoCut)
	}
	w.to = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = append(f.cuts, w)
}

// checkCuts compares the requests sent to entries that were cut off for stablePeriod with those to
// the others at the same time. Entries with another fault are left out, and so is everything that
// met a fault of an engine.
func (f *faultInjector) checkCuts(results []result, runs *runLog) (findings []string, cut, others attemptCount) {
	last := runs.lastRuns()
	for _, w := range f.cuts {
		var here, there attemptCount
		for _, q := range results {
			if q.started.Before(w.from.Add(stablePeriod)) || !q.started.Before(w.to) || f.interferedWith(q, last[q.id]) {
				continue
			}
			if !w.entries[q.entry] {
				there.add(q)
			} else if !f.otherEntryInterrupted(q) {
				here.add(q)
			}
		}
		failed := float64(here.sent - here.served)
		if here.share() < minCutShare*there.share() && failed > cutFailures+float64(here.sent)/cutFailuresPer {
			findings = append(findings, fmt.Sprintf("entries cut off from all engines for %v served %d of %d requests, the others %d of %d",
				w.to.Sub(w.from).Round(time.Millisecond), here.served, here.sent, there.served, there.sent))
		}
		cut, others = cut.plus(here), others.plus(there)
	}
	return findings, cut, others
}

// interferedWith reports whether a request met a fault other than a cut.
func (f *faultInjector) interferedWith(q result, last *run) bool {
	if f.faultedDuring(q.entry, q) || last != nil && (last.fault != "" || f.faultedDuring(last.engine, q)) {
		return true
	}
	for _, e := range f.evacuations {
		if (interval{e.from, e.to.Add(coldTime)}).overlaps(q.started, q.ended) {
			return true
		}
	}
	for _, s := range f.stops {
		if s.entry == q.entry && s.overlaps(q.started.Add(-stablePeriod), q.ended) {
			return true
		}
	}
	return false
}

// cutDuring reports whether the entry of a request was cut off from all engines while it lasted.
func (f *faultInjector) cutDuring(q result) bool {
	for _, w := range f.cuts {
		if w.entries[q.entry] && w.overlaps(q.started, q.ended) {
			return true
		}
	}
	return false
}

// otherEntryInterrupted reports whether another entry, through which the request may have gone, was
// paused or restarted meanwhile.
func (f *faultInjector) otherEntryInterrupted(q result) bool {
	for _, e := range f.c.entries {
		for _, s := range f.interrupted[e.name] {
			if e.name != q.entry && s.overlaps(q.started, q.ended) {
				return true
			}
		}
	}
	return false
}

// attemptCount counts first attempts.
type attemptCount struct {
	sent, served int
	// unread is how many an entry left unread at their first try, unreadTwice at the next one too.
	unread, unreadTwice int
}

func (c *attemptCount) add(q result) {
	c.sent++
	if q.complete && q.status == http.StatusOK {
		c.served++
	}
}

func (c attemptCount) plus(o attemptCount) attemptCount {
	return attemptCount{c.sent + o.sent, c.served + o.served, c.unread + o.unread, c.unreadTwice + o.unreadTwice}
}

func (c attemptCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

func (c attemptCount) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }
