package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
)

// peerWorkTTL is how long work reported by another entry is valid. Large amounts are reported at once,
// and all of it again about every second.
const peerWorkTTL = 1500 * time.Millisecond

// Work is the outstanding work of an entry by endpoint: the time endpoints will take to read the prompts
// sent and begin the answers.
type Work map[fleet.EndpointID]time.Duration

// ShortID returns the id of an endpoint as exchanged between entries. A collision only makes both
// endpoints appear busier than they are.
func ShortID(id fleet.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// peerWork is the last reported work of another entry, by short id.
type peerWork struct {
	work map[uint32]time.Duration
	at   time.Time
}

// WorkGrew returns a channel that signals when outstanding work has grown enough to be sent to other entries
// at once. An engine reads a prompt in a tenth of a second: by the next periodic message the entries of
// a large failure domain would have sent it several more.
func (b *Board) WorkGrew() <-chan struct{} { return b.workGrew }

func (b *Board) addWorkLocked(work time.Duration) {
	b.work += work
	if b.work-b.announcedWork < announceThreshold {
		return
	}
	select {
	case b.workGrew <- struct{}{}:
	default: // a signal is pending already
	}
}

// Outstanding returns this entry's outstanding work for sending to other entries.
func (b *Board) Outstanding() Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcedWork = b.work
	out := Work{}
	for id, r := range b.byID {
		if r.work > 0 {
			out[id] = r.work
		}
	}
	return out
}

// WorkDomains returns the failure domains with an endpoint at which this entry has enough work
// outstanding that the entries there should know of it.
func (b *Board) WorkDomains() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for _, r := range b.byID {
		if r.work >= announceThreshold {
			out[r.domain] = true
		}
	}
	return out
}

// ReceiveWork stores the work reported by another entry, replacing its earlier report.
func (b *Board) ReceiveWork(entry string, w map[uint32]time.Duration) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerWork[entry] = peerWork{work: w, at: now}
}

// peerWorkLocked returns the work that other entries have outstanding at an endpoint, less the time
// since the oldest report, in which the endpoint has worked on it.
func (b *Board) peerWorkLocked(id fleet.EndpointID, now time.Time) time.Duration {
	if len(b.peerWork) == 0 {
		return 0
	}
	short := ShortID(id)
	var sum, oldest time.Duration
	for entry, p := range b.peerWork {
		age := now.Sub(p.at)
		if age > peerWorkTTL {
			delete(b.peerWork, entry)
			continue
		}
		if w := p.work[short]; w > 0 {
			sum += w
			oldest = max(oldest, age)
		}
	}
	return max(0, sum-oldest)
}
