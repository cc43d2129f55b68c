package place

import (
	"slices"
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

// peerWork holds the last reported work of other entries, by endpoint, so that the work at one
// endpoint is found without a look at each entry.
type peerWork struct {
	byEndpoint map[uint32][]peerShare // by short id
	endpoints  map[string][]uint32    // in the last report of each entry
}

// peerShare is the work that one other entry has outstanding at an endpoint.
type peerShare struct {
	entry string
	work  time.Duration
	at    time.Time // of the report
}

func newPeerWork() peerWork {
	return peerWork{byEndpoint: map[uint32][]peerShare{}, endpoints: map[string][]uint32{}}
}

// replace replaces the last report of an entry.
func (p peerWork) replace(entry string, work map[uint32]time.Duration, now time.Time) {
	for _, id := range p.endpoints[entry] {
		p.remove(id, func(s peerShare) bool { return s.entry == entry })
	}
	delete(p.endpoints, entry)
	for id, w := range work {
		if w <= 0 {
			continue
		}
		p.byEndpoint[id] = append(p.byEndpoint[id], peerShare{entry: entry, work: w, at: now})
		p.endpoints[entry] = append(p.endpoints[entry], id)
	}
}

func (p peerWork) remove(id uint32, which func(peerShare) bool) {
	left := slices.DeleteFunc(p.byEndpoint[id], which)
	if len(left) == 0 {
		delete(p.byEndpoint, id)
		return
	}
	p.byEndpoint[id] = left
}

// at returns the time that the work outstanding at an endpoint takes there, at the given factor, less
// the time since the oldest report, in which the endpoint has worked on it.
func (p peerWork) at(id uint32, factor float64, now time.Time) time.Duration {
	var sum, oldest time.Duration
	for _, s := range p.byEndpoint[id] {
		if age := now.Sub(s.at); age <= peerWorkTTL {
			sum += s.work
			oldest = max(oldest, age)
		}
	}
	return max(0, scaled(sum, factor)-oldest)
}

// since returns how many other entries reported work at an endpoint after the given time.
func (p peerWork) since(id uint32, then, now time.Time) int {
	n := 0
	for _, s := range p.byEndpoint[id] {
		if s.at.After(then) && now.Sub(s.at) <= peerWorkTTL {
			n++
		}
	}
	return n
}

// sweep removes expired reports.
func (p peerWork) sweep(now time.Time) {
	expired := func(s peerShare) bool { return now.Sub(s.at) > peerWorkTTL }
	for entry, ids := range p.endpoints {
		for _, id := range ids {
			p.remove(id, expired)
		}
		if !slices.ContainsFunc(ids, func(id uint32) bool {
			return slices.ContainsFunc(p.byEndpoint[id], func(s peerShare) bool { return s.entry == entry })
		}) {
			delete(p.endpoints, entry)
		}
	}
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
	out := make(Work, len(b.working))
	for id, r := range b.working {
		out[id] = r.work
	}
	return out
}

// WorkDomains returns the failure domains with an endpoint at which this entry has enough work
// outstanding that the entries there should know of it.
func (b *Board) WorkDomains() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for _, r := range b.working {
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
	b.peerWork.replace(entry, w, now)
}
