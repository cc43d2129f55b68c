package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
)

// toldLife is how long what another entry told of its work counts. Long work is told
// at once, and again every second or so.
const toldLife = 1500 * time.Millisecond

// Work is the work that an entry has outstanding at endpoints: the time that
// they will take to read the prompts it sent and to begin the answers.
type Work map[fleet.EndpointID]time.Duration

// ShortID is an endpoint's name among entries; two endpoints that share one
// are merely taken for busier than they are.
func ShortID(id fleet.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// told is the work of another entry by short id, as of some time.
type told struct {
	work map[uint32]time.Duration
	at   time.Time
}

// Grew tells when so much work was added that others should be told at once. An engine
// reads a prompt in a tenth of a second: by the next regular telling the entries of a
// large failure domain have sent it several more.
func (b *Board) Grew() <-chan struct{} { return b.grew }

func (b *Board) grewLocked(work time.Duration) {
	b.work += work
	if b.work-b.toldWork < tellGrowth {
		return
	}
	select {
	case b.grew <- struct{}{}:
	default: // others are about to be told
	}
}

// Outstanding returns this entry's own work, for others to be told.
func (b *Board) Outstanding() Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.toldWork = b.work
	out := Work{}
	for id, r := range b.byID {
		if r.work > 0 {
			out[id] = r.work
		}
	}
	return out
}

// WorkDomains are the failure domains at whose endpoints this entry has work
// outstanding that the entries there should know of.
func (b *Board) WorkDomains() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for _, r := range b.byID {
		if r.work >= tellGrowth {
			out[r.domain] = true
		}
	}
	return out
}

// Hear takes the work of another entry; it replaces what that told before.
func (b *Board) Hear(entry string, w map[uint32]time.Duration) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[entry] = told{work: w, at: now}
}

// toldLocked sums what other entries have outstanding at an endpoint, less
// what it has done of it since.
func (b *Board) toldLocked(id fleet.EndpointID, now time.Time) time.Duration {
	if len(b.told) == 0 {
		return 0
	}
	short := ShortID(id)
	var sum, oldest time.Duration
	for entry, t := range b.told {
		age := now.Sub(t.at)
		if age > toldLife {
			delete(b.told, entry)
			continue
		}
		if w := t.work[short]; w > 0 {
			sum += w
			oldest = max(oldest, age)
		}
	}
	return max(0, sum-oldest)
}
