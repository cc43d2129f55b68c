package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A balancer that sends most new connections to one entry for some time.
const (
	// skewShare is the share of new connections that one entry gets meanwhile.
	skewShare = 0.95
	// largeEntryEvery: one entry in so many is large, largeEntryFactor times as large as the others.
	largeEntryEvery  = 6
	largeEntryFactor = 4
	// skewedEntryMemoryMB is the memory bound of small entries.
	skewedEntryMemoryMB = 64
	// skewedEntryShare is the share of a core that a small entry may use: enough for about twice its
	// part of the load.
	skewedEntryShare = 0.1
	// skewedEntryMbps is the bandwidth of a small entry's link.
	skewedEntryMbps = 20
	// meanSkewedBody and maxSkewedBody are bytes of request bodies, exponentially distributed.
	meanSkewedBody = 3200
	maxSkewedBody  = 72 << 10
	// skewRate is how many requests a second all callers send.
	skewRate = 600
	// skewCalm is how long the balancer is even, skewFor how long it then favours an entry.
	skewCalm = 4 * time.Second
	skewFor  = 6 * time.Second
	// skewTries is how often a caller tries a request that no entry has read.
	skewTries = 4
	// readinessMisses is how many polls without success take an entry out.
	readinessMisses   = 2
	readinessInterval = time.Second
	// keepingEvery: one request in so many uses an open connection of its caller.
	keepingEvery = 3
	// skewSettled is how long after the balancer favours an entry requests are to be served as before,
	// skewOver how long after it does so no more.
	skewSettled = time.Second
	skewOver    = 2 * time.Second
	// minSkewShare is the least share served, of what it was before.
	minSkewShare = 0.95
)

// balancer chooses entries for new connections.
type balancer struct {
	c       *cluster
	favours atomic.Int64 // index of the entry that gets most new connections; negative: none
	mu      sync.Mutex
	out     map[int]bool
	windows []skewWindow
}

// skewWindow is a time in which one entry got most new connections.
type skewWindow struct {
	interval
	entry string
}

func newBalancer(c *cluster) *balancer {
	b := &balancer{c: c, out: map[int]bool{}}
	b.favours.Store(-1)
	return b
}

// pick returns the entry for a new connection; avoid is one that left the request unread; nil: none.
func (b *balancer) pick(rng *rand.Rand, avoid *entry) *entry {
	if i := b.favours.Load(); i >= 0 && avoid == nil && rng.Float64() < skewShare {
		return b.c.entries[i]
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*entry
	for i, e := range b.c.entries {
		if !b.out[i] && e != avoid {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = b.c.entries
	}
	return in[rng.IntN(len(in))]
}

// run skews the balancer, in turn to each entry, until ctx ends.
func (b *balancer) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range b.c.entries {
		wg.Go(func() { b.pollReadiness(ctx, i) })
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	for wait(ctx, skewCalm) {
		for _, i := range rng.Perm(len(b.c.entries))[:2] { // the second once the first is out, or its time is over
			b.skewTo(ctx, i)
		}
		b.favours.Store(-1)
	}
	b.favours.Store(-1)
}

func (b *balancer) skewTo(ctx context.Context, i int) {
	w := skewWindow{interval{from: time.Now()}, b.c.entries[i].name}
	b.favours.Store(int64(i))
	for time.Since(w.from) < skewFor && !b.isOut(i) && wait(ctx, 50*time.Millisecond) {
	}
	w.to = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windows = append(b.windows, w)
}

func (b *balancer) isOut(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out[i]
}

func (b *balancer) pollReadiness(ctx context.Context, i int) {
	client := &http.Client{Timeout: readinessInterval}
	misses := 0
	for wait(ctx, readinessInterval) {
		resp, err := client.Get("http://" + b.c.entries[i].readiness + "/ready")
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		misses++
		if ready {
			misses = 0
		}
		b.mu.Lock()
		b.out[i] = misses >= readinessMisses
		b.mu.Unlock()
	}
}

// skewedRequest is a request with its tries.
type skewedRequest struct {
	started time.Time
	tries   []result
}

// skewedCallers send requests at a fixed rate, most on new connections that the balancer places.
type skewedCallers struct {
	s *callers
	b *balancer

	mu       sync.Mutex
	requests []skewedRequest
}

func (k *skewedCallers) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
	defer kept.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(time.Second / skewRate)
	defer tick.Stop()
	kinds := []string{kindPost, kindGet, kindResumable, kindResumable}
	for n := 0; ctx.Err() == nil; n++ {
		<-tick.C
		kind := kinds[rng.IntN(len(kinds))]
		pick := rand.New(rand.NewPCG(seed, uint64(n)))
		wg.Go(func() { k.send(kept, pick, fmt.Sprintf("s%d-%d", seed, n), kind) })
	}
}

// send sends a request until an entry has read it.
func (k *skewedCallers) send(kept *http.Client, rng *rand.Rand, id, kind string) {
	q := skewedRequest{started: time.Now()}
	var avoid *entry
	for try := range skewTries {
		e, client := k.b.pick(rng, avoid), kept
		if try > 0 || rng.IntN(keepingEvery) > 0 {
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		}
		r := k.try(client, e, rng, fmt.Sprintf("%s-%d", id, try), kind)
		q.tries = append(q.tries, r)
		if r.status != 0 {
			break
		}
		avoid = e
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, q)
}

// skewedBody returns a request's body, of random length.
func skewedBody(rng *rand.Rand, id, kind string) string {
	body := bodyOf(id, kind)
	return body + strings.Repeat(" ", min(int(rng.ExpFloat64()*meanSkewedBody), maxSkewedBody-len(body)))
}

func (k *skewedCallers) try(client *http.Client, e *entry, rng *rand.Rand, id, kind string) result {
	r := result{id: id, kind: kind, entry: e.name, started: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+requestSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+pathOf(kind, 0), strings.NewReader(skewedBody(rng, id, kind)))
	if err != nil {
		return r
	}
	req.GetBody = nil // net/http must not repeat it
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Model", "*")
	req.Header.Set("X-Token-Usage", "100,10")
	req.Header.Set("X-Deadline-Remaining", fmt.Sprint(requestTimeout.Milliseconds()))
	if resp, err := client.Do(req); err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.body, r.complete = resp.StatusCode, string(raw), readErr == nil
	}
	r.ended, r.late = time.Now(), ctx.Err() != nil
	k.s.record(r)
	return r
}

// check compares what was served at the first try that an entry read, while most new connections went
// to one entry for skewSettled, with the times without skew. Requests that met another fault are left out.
func (k *skewedCallers) check(f *faultInjector, runs *runLog) (findings []string, skewed, even attemptCount) {
	last := runs.lastRuns()
	for _, q := range k.requests {
		read, ok := q.firstRead(runs)
		if f.interferedWith(read, last[read.id]) || f.otherEntryInterrupted(read) {
			continue
		}
		one := q.unreadTries(runs)
		one.sent = 1
		if ok && read.complete && read.status == http.StatusOK {
			one.served = 1
		}
		switch k.b.stateAt(q.started) {
		case skewLasting:
			skewed = skewed.plus(one)
		case skewNone:
			even = even.plus(one)
		}
	}
	if skewed.sent >= 20 && even.sent >= 20 && skewed.share() < minSkewShare*even.share() {
		findings = append(findings, fmt.Sprintf("while most new connections went to one entry, %v were served at the first try that was read, %v before", skewed, even))
	}
	return findings, skewed, even
}

// UnreadFinding returns a finding if too much of what an entry left unread was left unread at the next try too;
// empty: none.
func (r *Report) UnreadFinding() string {
	all := r.Skewed.plus(r.Even)
	if all.unread < 20 || float64(all.unreadTwice) <= (1-minSkewShare)*float64(all.unread) {
		return ""
	}
	return fmt.Sprintf("of %d requests that an entry left unread, %d were left unread at the next try too", all.unread, all.unreadTwice)
}

// unreadTries tells whether the first try, and the one after it, were left unread.
func (q skewedRequest) unreadTries(runs *runLog) (c attemptCount) {
	read := func(t result) bool { return t.status != 0 || runs.counts[t.id] > 0 }
	if read(q.tries[0]) {
		return c
	}
	c.unread = 1
	if len(q.tries) > 1 && !read(q.tries[1]) {
		c.unreadTwice = 1
	}
	return c
}

// firstRead returns the first try that an entry read; ok is false if none did.
func (q skewedRequest) firstRead(runs *runLog) (r result, ok bool) {
	for _, t := range q.tries {
		if t.status != 0 || runs.counts[t.id] > 0 {
			return t, true
		}
	}
	return q.tries[len(q.tries)-1], false
}

// States of the balancer.
type skewState int

const (
	skewNone     skewState = iota
	skewStarting           // for less than skewSettled, or over for less than skewOver
	skewLasting
)

func (b *balancer) stateAt(at time.Time) skewState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := skewNone
	for _, w := range b.windows {
		switch {
		case w.overlaps(at, at) && at.Sub(w.from) >= skewSettled:
			return skewLasting
		case w.overlaps(at.Add(-skewOver), at):
			state = skewStarting
		}
	}
	return state
}

// checkMemory returns a finding for each entry that exceeded its memory bound.
func (c *cluster) checkMemory() []string {
	var out []string
	for _, e := range c.entries {
		if peak := peakMemory(e.pid()); peak > int64(e.memoryMB)<<20 {
			out = append(out, fmt.Sprintf("%s used %d MB of %d", e.name, peak>>20, e.memoryMB))
		}
	}
	return out
}
