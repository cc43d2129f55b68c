// Package retry keeps an entry's share of the fleet's budget of repeats.
//
// A request that is sent again loads an endpoint twice. When endpoints fail
// because they are loaded, unbounded repeats keep them so. The operators
// bound the repeats of all entries together over a sliding window; no entry
// knows what the others do, so each keeps to the same ratio of its own
// requests, and to its part of what the bound allows besides.
package retry

import (
	"sync"
	"time"

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

// failuresAhead is how many more repeats after failures are expected for each
// of the window; quality leaves room for them. Failures come in bursts: when
// half of the endpoints of a service had crashed, repeats for quality had taken
// up what the failed requests needed a second later.
const failuresAhead = 1

type bucket struct {
	index            int64
	requests, repeat float64
	failures         float64 // repeats that were after failures
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
}

// New returns a budget; entries tells how many entries share the bounds.
func New(b Bounds, entries func() int, clock clockwork.Clock) *Budget {
	return &Budget{bounds: b, entries: entries, clock: clock, start: clock.Now(), services: map[string]*[buckets]bucket{}}
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
	ring[index%buckets].requests++
}

// Take asks for one repeat and reports whether it is allowed.
func (b *Budget) Take(service string, use Use) bool {
	entries := max(1, b.entries())
	b.mu.Lock()
	defer b.mu.Unlock()
	ring, index := b.nowLocked(service)
	var requests, repeats, failures float64
	for _, s := range ring {
		if index-s.index < buckets {
			requests += s.requests
			repeats += s.repeat
			failures += s.failures
		}
	}
	if use == ForQuality {
		repeats += failuresAhead * failures
	}
	if repeats+1 > float64(use)*(b.bounds.Ratio*requests+b.bounds.Extra/float64(entries)) {
		return false
	}
	ring[index%buckets].repeat++
	if use == ForFailure {
		ring[index%buckets].failures++
	}
	return true
}
