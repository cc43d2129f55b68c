package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Planned stops, and streams long enough to last through one.
const (
	// shortGrace lets a run with single stops play many of them.
	shortGrace = 4 * time.Second
	// platformGrace is the grace of the users' sites, so that the entries' own
	// limits within a stop hold as they do there.
	platformGrace = 8 * time.Second

	// slowService streams for slowPause * streamEvents = 10 s, longer than a
	// stop lasts.
	slowService = "slow"
	slowPause   = 500 * time.Millisecond
	fastPause   = 20 * time.Millisecond
	slowEngines = 2
	slowFrom    = 50 // number of the first of its engines
	// callWork is how long a call takes, so that at each moment some are in
	// flight at each entry: the answers of other kinds come within some ms.
	callWork  = 100 * time.Millisecond
	longLimit = 20 * time.Second
	// longCallers: one caller in so many keeps long streams open.
	longCallers = 3
	// reconnect is the pause of such a caller after a stream.
	reconnect = 100 * time.Millisecond
)

// grace is what the entries know as theirs.
func (o Options) grace() time.Duration {
	if o.Series {
		return platformGrace
	}
	return shortGrace
}

func (o Options) slowEngines() int {
	if o.Series {
		return slowEngines
	}
	return 0
}

func eventPause(service string) time.Duration {
	if service == slowService {
		return slowPause
	}
	return fastPause
}

// streamOn keeps one long stream after the other open at the same entry, so
// that it has something in flight until the end of its stops.
func (s *callers) streamOn(ctx context.Context, client *http.Client, number int) {
	e := s.c.entries[number/longCallers%len(s.c.entries)]
	for i := 0; ctx.Err() == nil; i++ {
		s.call(client, e, fmt.Sprintf("r%d-%d-%d", s.seed, number, i), kindLong)
		time.Sleep(reconnect)
	}
}

// stop is a planned stop of an entry, from SIGTERM until its process ended.
type stop struct {
	entry string
	span
}

// stop stops an entry as planned and starts it again.
func (f *faults) stop(e *entry) {
	defer f.hide()()
	begun := time.Now()
	f.restart(e.process, syscall.SIGTERM)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, stop{e.name, span{begun, time.Now()}})
	f.played = append(f.played, fmt.Sprintf("%s ended %v after SIGTERM", e.name, time.Since(begun).Round(10*time.Millisecond)))
}

// stopInSeries stops over half of the entries, or all, one shortly after the
// other, so that they are stopping at a time, and again until ctx ends.
func (f *faults) stopInSeries(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1)) // f.rng is drawn from elsewhere meanwhile
	for f.series && ctx.Err() == nil {
		n := len(f.c.entries)
		half := n/2 + 1
		order := rng.Perm(n)[:half+rng.IntN(n-half+1)]
		var wg sync.WaitGroup
		for _, i := range order {
			wg.Go(func() { f.stop(f.c.entries[i]) })
			time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
		}
		wg.Wait()
	}
}
