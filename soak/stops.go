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

// Planned stops, and streams that outlast them.
const (
	// shortGrace allows many single stops in one run.
	shortGrace = 4 * time.Second
	// platformGrace is the grace at the users' sites, so that the entries' own limits
	// within a stop apply as they do there.
	platformGrace = 8 * time.Second

	// slowService streams for slowPause * streamEvents = 10 s, longer than a stop
	// lasts.
	slowService     = "slow"
	slowPause       = 500 * time.Millisecond
	fastPause       = 20 * time.Millisecond
	slowEngines     = 2
	firstSlowNumber = 50 // number of its first engine
	// callWork is how long a call takes, so that each entry always has some in
	// flight: responses of other kinds take a few milliseconds.
	callWork    = 100 * time.Millisecond
	longTimeout = 20 * time.Second
	// longStreamEvery: one caller in so many keeps long streams open.
	longStreamEvery = 3
	// streamGap is the pause of such a caller after a stream.
	streamGap = 100 * time.Millisecond
)

// grace returns the time between SIGTERM and SIGKILL that entries are configured with.
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

// runLongStreams opens one long stream after another at the same entry, so that the
// entry has a request in flight until the end of each stop.
func (s *callers) runLongStreams(ctx context.Context, client *http.Client, number int) {
	e := s.c.entries[number/longStreamEvery%len(s.c.entries)]
	for i := 0; ctx.Err() == nil; i++ {
		s.call(client, e, fmt.Sprintf("r%d-%d-%d", s.seed, number, i), kindLong)
		time.Sleep(streamGap)
	}
}

// plannedStop is a planned stop of an entry, from SIGTERM to the end of its process.
type plannedStop struct {
	entry string
	interval
}

// plannedStop stops an entry with SIGTERM and starts it again.
func (f *faultInjector) plannedStop(e *entry) {
	defer f.trackDisconnected()()
	started := time.Now()
	f.restart(e.process, syscall.SIGTERM)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, plannedStop{e.name, interval{started, time.Now()}})
	f.injected = append(f.injected, fmt.Sprintf("%s ended %v after SIGTERM", e.name, time.Since(started).Round(10*time.Millisecond)))
}

// stopEntriesInSeries stops more than half of the entries, or all, shortly after one
// another, so that their stops overlap, and repeats this until ctx ends. It does nothing
// unless f.series is set.
func (f *faultInjector) stopEntriesInSeries(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1)) // f.rng is used concurrently
	for f.series && ctx.Err() == nil {
		n := len(f.c.entries)
		half := n/2 + 1
		order := rng.Perm(n)[:half+rng.IntN(n-half+1)]
		var wg sync.WaitGroup
		for _, i := range order {
			wg.Go(func() { f.plannedStop(f.c.entries[i]) })
			time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
		}
		wg.Wait()
	}
}
