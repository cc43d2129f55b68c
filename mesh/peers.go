package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// pickPeer returns the address of a random peer. An entry that relies on others picks a source that
// is not stale (a watcher or a relay; a relay picks a watcher), in a large fleet mostly one of its
// own failure domain. One without data does so every other time, as its sources may be starting
// too. Others pick any peer, and so does this one if there is no such source: some entries watch
// the store for themselves then.
func (m *Mesh) pickPeer() (string, bool) {
	now := m.Clock.Now()
	view := m.Fleet.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pruneLocked(now)
	asksSources := !m.Fleet.Watching() && (m.Fleet.Current() || m.Fleet.AwaitsPeers()) || view.Revision == 0 && rand.IntN(2) == 0
	if asksSources {
		local, entries := view.SourcesIn(m.Domain)
		relay := view.IsRelay(m.Instance)
		mayAsk := func(e fleet.Entry) bool {
			return m.mayAskLocked(e.Address, now) && !now.Before(m.staleUntil[e.Address]) && (!relay || view.IsWatcher(e.Instance))
		}
		if rand.Float64()*float64(entries) >= crossDomainExchanges {
			if address, ok := randomAddress(local, mayAsk); ok {
				return address, true
			}
		}
		if address, ok := randomAddress(view.Sources(), mayAsk); ok {
			return address, true
		}
	}
	mayAsk := func(e fleet.Entry) bool { return m.mayAskLocked(e.Address, now) }
	if address, ok := randomAddress(view.Entries, mayAsk); ok {
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
	return randomAddress(seeds, mayAsk)
}

// pickListener returns the address of a random entry to tell of a new era: as for exchanges, in a large
// fleet mostly one of the own failure domain.
func (m *Mesh) pickListener() (string, bool) {
	now := m.Clock.Now()
	view := m.Fleet.View()
	_, entries := view.SourcesIn(m.Domain)
	m.mu.Lock()
	defer m.mu.Unlock()
	if rand.Float64()*float64(entries) >= crossDomainExchanges {
		mayTell := func(e fleet.Entry) bool { return e.Domain == m.Domain && m.mayAskLocked(e.Address, now) }
		if address, ok := randomAddress(view.Entries, mayTell); ok {
			return address, true
		}
	}
	return randomAddress(view.Entries, func(e fleet.Entry) bool { return m.mayAskLocked(e.Address, now) })
}

// randomTries is how many random entries of a list are looked at before all are.
const randomTries = 8

// randomAddress returns the address of a random entry of a list that may be asked.
func randomAddress(list []fleet.Entry, mayAsk func(fleet.Entry) bool) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	for range randomTries {
		if e := list[rand.IntN(len(list))]; mayAsk(e) {
			return e.Address, true
		}
	}
	from := rand.IntN(len(list))
	for i := range list {
		if e := list[(from+i)%len(list)]; mayAsk(e) {
			return e.Address, true
		}
	}
	return "", false
}

func (m *Mesh) mayAskLocked(address string, now time.Time) bool {
	return address != m.Address && !now.Before(m.unreachableUntil[address])
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
