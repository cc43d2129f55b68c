// Package retry enforces an entry's share of the fleet-wide budget of repeats. A repeat is
// any additional send of a request: a retry, an escalation to a larger model, a trial copy.
//
// A repeated request loads endpoints twice. When endpoints fail because of overload,
// unbounded repeats keep them overloaded. The operators bound the repeats of all entries
// together over a sliding window. Each entry applies the same ratio to its own requests and
// takes an equal part of Bounds.Extra. It may overdraw its part slightly while the
// entries that report their counts leave room: at a few requests a second, random variation
// makes one entry short of repeats that others have to spare.
package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// buckets is the number of intervals that the sliding window is divided into.
const buckets = 10

// Bounds are the limits on repeats that the operators set.
type Bounds struct {
	Ratio  float64       // repeats per request within the window
	Extra  float64       // additional repeats within the window, for all entries together
	Window time.Duration // length of the sliding window
}

// Purpose is the purpose of a repeat, as the share of the bound that such repeats may use up.
type Purpose float64

const (
	// ForFailure repeats may use up to four fifths of the bound. The rest absorbs the effect
	// of unequal load across entries.
	ForFailure Purpose = 0.8
	// ForQuality repeats (the same request to a larger model) leave room for those
	// after failures.
	ForQuality Purpose = 0.79
	// ForTrial repeats (copies to an endpoint of a new version for some seconds
	// of a rollout) leave room for those after failures.
	ForTrial Purpose = 0.7
)

// QualityUnder returns the purpose of a quality repeat while capacity is short: shortage, 0 to 1, is that among requests
// at least as urgent. The shorter, the more room such repeats leave for those after failures and for larger models of
// more urgent requests.
func QualityUnder(shortage float64) Purpose {
	return ForQuality - Purpose(min(1, max(0, shortage)))*(ForQuality-leastQuality)
}

// leastQuality is the share of the bound that quality repeats may use up at the greatest shortage; more than that for
// trial copies.
const leastQuality = ForTrial + 0.01

// quality reports whether repeats of a purpose are for quality.
func (p Purpose) quality() bool { return p >= leastQuality && p <= ForQuality }

// reservedPerFailure is how many further repeats after failures are expected for each one
// in the last recentBuckets buckets; quality repeats leave room for them. Failures come in
// bursts: when half of the endpoints of a service crashed, quality repeats used up the budget
// that failed requests needed a second later. A past burst predicts nothing: with the whole
// window counted, three seconds of failures prevented the escalation of half to nine tenths
// of the low-confidence answers in each of the next six seconds, although endpoints were idle.
const (
	reservedPerFailure = 1
	recentBuckets      = 3
)

const (
	// maxOverdraw times its own part is the most that an entry takes while others leave room.
	// Reported counts are up to a second old. Even if all entries reached this limit at once,
	// repeats would stay within the bound, as no purpose uses up more than 0.8 of it.
	maxOverdraw = 1.2
	// peerCountsTTL is how long the counts reported by another entry stay valid.
	peerCountsTTL = 3 * time.Second
)

// Count is the number of requests and repeats of one service within the window.
type Count struct {
	Requests float64
	Repeats  float64
	Failures float64 // repeats after failures, in the last recentBuckets buckets
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

// peerCounts are the last reported counts of another entry, by service hash.
type peerCounts struct {
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

	mu         sync.Mutex
	services   map[string]*[buckets]bucket
	peerCounts map[string]peerCounts // by entry
}

// New returns a budget. The entries function returns the number of entries that share the bounds.
func New(b Bounds, entries func() int, clock clockwork.Clock) *Budget {
	return &Budget{bounds: b, entries: entries, clock: clock, start: clock.Now(), services: map[string]*[buckets]bucket{}, peerCounts: map[string]peerCounts{}}
}

func (b *Budget) ringLocked(service string) (*[buckets]bucket, int64) {
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

// AddRequest counts a caller's request for a service, which raises the number of repeats allowed.
func (b *Budget) AddRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ring, index := b.ringLocked(service)
	ring[index%buckets].Requests++
}

// Take reports whether one more repeat is allowed, and counts it if so.
func (b *Budget) Take(service string, purpose Purpose) bool {
	entries := float64(max(1, b.entries()))
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.sumLocked(service)
	part := b.bounds.Extra / entries
	within := b.allowsOneMore(own, part, purpose)
	if !within && own.usedFor(purpose)+1 <= maxOverdraw*b.allowed(own, part, purpose) {
		all, n := b.totalLocked(service, own)
		within = n > 1 && b.allowsOneMore(all, part*n, purpose)
	}
	if !within {
		return false
	}
	ring, index := b.ringLocked(service)
	ring[index%buckets].Repeats++
	if purpose == ForFailure {
		ring[index%buckets].Failures++
	}
	return true
}

// allowsOneMore reports whether the bound allows one more repeat on top of a count; extra is
// the part of Bounds.Extra that applies.
func (b *Budget) allowsOneMore(c Count, extra float64, purpose Purpose) bool {
	return c.usedFor(purpose)+1 <= b.allowed(c, extra, purpose)
}

func (b *Budget) allowed(c Count, extra float64, purpose Purpose) float64 {
	return float64(purpose) * (b.bounds.Ratio*c.Requests + extra)
}

// usedFor returns the repeats charged against the share of a purpose.
func (c Count) usedFor(purpose Purpose) float64 {
	if purpose.quality() {
		return c.Repeats + reservedPerFailure*c.Failures
	}
	return c.Repeats
}

// sumLocked returns this entry's count of a service.
func (b *Budget) sumLocked(service string) Count {
	ring, index := b.ringLocked(service)
	var sum Count
	for _, s := range ring {
		age := index - s.index
		if age >= recentBuckets {
			s.Failures = 0
		}
		if age < buckets {
			sum.add(s.Count)
		}
	}
	return sum
}

// totalLocked adds the current counts of other entries to this entry's own; n is the number
// of entries included.
func (b *Budget) totalLocked(service string, own Count) (sum Count, n float64) {
	now := b.clock.Now()
	key := serviceHash(service)
	sum, n = own, 1
	for entry, p := range b.peerCounts {
		if now.Sub(p.at) > peerCountsTTL {
			delete(b.peerCounts, entry)
			continue
		}
		sum.add(p.counts[key])
		n++
	}
	return sum, n
}

// ServiceCount is an entry's count of one service, as exchanged between entries.
type ServiceCount struct {
	Service uint32 // hash of the service name
	Count
}

// Counts returns this entry's counts for sending to other entries.
func (b *Budget) Counts() []ServiceCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ServiceCount, 0, len(b.services))
	for name := range b.services {
		if c := b.sumLocked(name); c != (Count{}) {
			out = append(out, ServiceCount{serviceHash(name), c})
		}
	}
	return out
}

// ReceiveCounts stores the counts of another entry, replacing its earlier ones.
func (b *Budget) ReceiveCounts(entry string, counts []ServiceCount) {
	p := peerCounts{counts: make(map[uint32]Count, len(counts)), at: b.clock.Now()}
	for _, c := range counts {
		p.counts[c.Service] = c.Count
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerCounts[entry] = p
}

func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }
