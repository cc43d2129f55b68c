// Package retry keeps an entry's share of the fleet's budget of repeats.
//
// A request that is sent again loads an endpoint twice. When endpoints fail
// because they are loaded, unbounded repeats keep them so. The operators
// bound the repeats of all entries together over a sliding window. Each entry
// keeps to the same ratio of its own requests, and to its part of what the bound
// allows besides; where the entries that tell it of theirs leave room, it may go
// somewhat beyond, as with a few requests a second chance makes one entry short of
// repeats that others have to spare.
package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// buckets is how finely the window slides.
const buckets = 10

// Bounds are the operators'.
type Bounds struct {
	Ratio  float64       // repeats per request, over a window
	Extra  float64       // repeats besides, of all entries together
	Window time.Duration // the window
}

// Use is what a repeat is for: the share of the bound that it may take up.
type Use float64

const (
	// ForFailure repeats may take up four fifths of the bound: the rest is for
	// what the entries' unequal shares of the load make of it.
	ForFailure Use = 0.8
	// ForQuality repeats (the same request to a larger model) leave room for
	// those after failures.
	ForQuality Use = 0.79
	// ForTrial repeats (copies to an endpoint of a new version, for some seconds
	// of a roll-out) leave room for those after failures.
	ForTrial Use = 0.7
)

// failuresAhead is how many more repeats after failures are expected for each of the
// last failuresRecent buckets; quality leaves room for them. Failures come in bursts:
// when half of the endpoints of a service had crashed, repeats for quality had taken up
// what the failed requests needed a second later. A burst that is over says nothing more:
// counted for the whole window, the failures of three seconds kept half to nine in ten
// doubted answers of each of the next six, at endpoints that were idle.
const (
	failuresAhead  = 1
	failuresRecent = 3
)

const (
	// beyondOwn times its own part is the most that an entry takes while others leave
	// room. What they told is up to a second old; if all went to this limit at once,
	// the repeats would still be within the bound, as no use takes up more than 0.8.
	beyondOwn = 1.2
	// toldLife is how long what another entry told counts.
	toldLife = 3 * time.Second
)

// Count is what an entry did for a service within the window.
type Count struct {
	Requests float64
	Repeats  float64
	Failures float64 // repeats that were after failures, of late
}

func (c *Count) add(o Count) {
	c.Requests += o.Requests
	c.Repeats += o.Repeats
	c.Failures += o.Failures
}

type bucket struct {
	index int64
	Count
}

// told is what another entry told of its counts, by service.
type told struct {
	counts map[uint32]Count
	at     time.Time
}

// Budget counts requests and repeats by service. It is safe for concurrent
// use.
type Budget struct {
	bounds  Bounds
	entries func() int
	clock   clockwork.Clock
	start   time.Time

	mu       sync.Mutex
	services map[string]*[buckets]bucket
	told     map[string]told // by entry
}

// New returns a budget; entries tells how many entries share the bounds.
func New(b Bounds, entries func() int, clock clockwork.Clock) *Budget {
	return &Budget{bounds: b, entries: entries, clock: clock, start: clock.Now(), services: map[string]*[buckets]bucket{}, told: map[string]told{}}
}

func (b *Budget) nowLocked(service string) (*[buckets]bucket, int64) {
	ring := b.services[service]
	if ring == nil {
		ring = &[buckets]bucket{}
		b.services[service] = ring
	}
	index := int64(b.clock.Since(b.start) / (b.bounds.Window / buckets))
	if slot := &ring[index%buckets]; slot.index != index {
		*slot = bucket{index: index}
	}
	return ring, index
}

// Earn notes a request of a caller for a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ring, index := b.nowLocked(service)
	ring[index%buckets].Requests++
}

// Take asks for one repeat and reports whether it is allowed.
func (b *Budget) Take(service string, use Use) bool {
	entries := float64(max(1, b.entries()))
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.sumLocked(service)
	part := b.bounds.Extra / entries
	within := b.fits(own, part, use)
	if !within && own.spent(use)+1 <= beyondOwn*b.allowed(own, part, use) {
		all, n := b.groupLocked(service, own)
		within = n > 1 && b.fits(all, part*n, use)
	}
	if !within {
		return false
	}
	ring, index := b.nowLocked(service)
	ring[index%buckets].Repeats++
	if use == ForFailure {
		ring[index%buckets].Failures++
	}
	return true
}

// fits reports whether one repeat more is allowed of a count, with so much of what the
// bound allows besides.
func (b *Budget) fits(c Count, extra float64, use Use) bool {
	return c.spent(use)+1 <= b.allowed(c, extra, use)
}

func (b *Budget) allowed(c Count, extra float64, use Use) float64 {
	return float64(use) * (b.bounds.Ratio*c.Requests + extra)
}

// spent are the repeats that count for a use.
func (c Count) spent(use Use) float64 {
	if use == ForQuality {
		return c.Repeats + failuresAhead*c.Failures
	}
	return c.Repeats
}

// sumLocked is this entry's count of a service.
func (b *Budget) sumLocked(service string) Count {
	ring, index := b.nowLocked(service)
	var sum Count
	for _, s := range ring {
		age := index - s.index
		if age >= failuresRecent {
			s.Failures = 0
		}
		if age < buckets {
			sum.add(s.Count)
		}
	}
	return sum
}

// groupLocked adds what other entries told of late; n is how many entries that is,
// with this one.
func (b *Budget) groupLocked(service string, own Count) (sum Count, n float64) {
	now := b.clock.Now()
	key := shortName(service)
	sum, n = own, 1
	for entry, t := range b.told {
		if now.Sub(t.at) > toldLife {
			delete(b.told, entry)
			continue
		}
		sum.add(t.counts[key])
		n++
	}
	return sum, n
}

// ServiceCount is an entry's count of one service, as entries tell each other.
type ServiceCount struct {
	Service uint32 // a hash of its name
	Count
}

// Counts returns this entry's counts, for others to be told.
func (b *Budget) Counts() []ServiceCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ServiceCount, 0, len(b.services))
	for name := range b.services {
		if c := b.sumLocked(name); c != (Count{}) {
			out = append(out, ServiceCount{shortName(name), c})
		}
	}
	return out
}

// Hear takes the counts of another entry; they replace what that told before.
func (b *Budget) Hear(entry string, counts []ServiceCount) {
	t := told{counts: make(map[uint32]Count, len(counts)), at: b.clock.Now()}
	for _, c := range counts {
		t.counts[c.Service] = c.Count
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[entry] = t
}

func shortName(service string) uint32 { return uint32(xxhash.Sum64String(service)) }
