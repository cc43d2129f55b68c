package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// pickPeer returns the address of a random peer. An entry that is current and does not
// watch the store picks a watcher that is not stale, in a large fleet mostly one of its own
// failure domain, and so does one that watchers are bringing up to date. Other entries pick any peer, and so does this one if there is no such
// watcher, as when all are cut off from the store: those that reach the store poll it
// themselves by then. An entry without data picks a watcher every other time, as most of the
// others may be starting too.
func (m *Mesh) pickPeer() (string, bool) {
	now := m.Clock.Now()
	view := m.Fleet.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pruneLocked(now)
	prefersWatchers := !m.Fleet.Watching() && (m.Fleet.Current() || m.Fleet.AwaitsPeers()) || view.Revision == 0 && rand.IntN(2) == 0
	if prefersWatchers {
		local, entries := view.WatchersIn(m.Domain)
		if rand.Float64()*float64(entries) >= crossDomainExchanges {
			if address, ok := m.randomLocked(local, m.mayAskWatcherLocked, now); ok {
				return address, true
			}
		}
		if address, ok := m.randomLocked(view.Watchers(), m.mayAskWatcherLocked, now); ok {
			return address, true
		}
	}
	if address, ok := m.randomLocked(view.Entries, m.mayAskLocked, now); ok {
		return address, true
	}
	if len(view.Entries) > 1 {
		return "", false
	}
	// Seeds may be outdated; they count only until the store has listed other entries.
	seeds := make([]fleet.Entry, 0, len(m.seeds))
	for _, s := range m.seeds {
		seeds = append(seeds, fleet.Entry{Address: s})
	}
	return m.randomLocked(seeds, m.mayAskLocked, now)
}

// randomTries is how many random entries of a list are looked at before all are.
const randomTries = 8

// randomLocked returns the address of a random entry of a list that may be asked.
func (m *Mesh) randomLocked(list []fleet.Entry, mayAsk func(address string, now time.Time) bool, now time.Time) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	for range randomTries {
		if a := list[rand.IntN(len(list))].Address; mayAsk(a, now) {
			return a, true
		}
	}
	from := rand.IntN(len(list))
	for i := range list {
		if a := list[(from+i)%len(list)].Address; mayAsk(a, now) {
			return a, true
		}
	}
	return "", false
}

func (m *Mesh) mayAskLocked(address string, now time.Time) bool {
	return address != m.Address && !now.Before(m.unreachableUntil[address])
}

func (m *Mesh) mayAskWatcherLocked(address string, now time.Time) bool {
	return m.mayAskLocked(address, now) && !now.Before(m.staleUntil[address])
}

// pruneLocked forgets what no longer holds of peers that are gone.
func (m *Mesh) pruneLocked(now time.Time) {
	for a, until := range m.unreachableUntil {
		if now.Sub(until) > forgetPeerAfter {
			delete(m.unreachableUntil, a)
			delete(m.unreachable, a)
		}
	}
	for a, until := range m.staleUntil {
		if now.After(until) {
			delete(m.staleUntil, a)
		}
	}
}
