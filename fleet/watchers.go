package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minWatchers is the minimum number of watchers, however few failure domains there are:
// if one is killed and another's connection is dead, one remains.
const minWatchers = 3

// entriesPerRelay is the number of entries of a failure domain for each of which there is a relay,
// which passes the watcher's data on: each entry asks one about three times a second, and 75
// entries to one took a fifth of a core. A domain of no more entries has none.
const entriesPerRelay = 32

// IsWatcher reports whether an entry is a watcher: one that watches the store for all. The
// watchers are the first entry of each failure domain, that with the widest link or the first in
// hash order among equals, and minWatchers in all. The next ones of a large domain are relays. The
// other entries get changes by exchange from these, so the number of calls to the store depends on
// that of failure domains and not on that of entries. Relays whose watcher is lost ask those of
// other domains.
//
// Entries with different lists choose differently; then more entries watch than necessary,
// or an entry gets no answer from a watcher and watches itself. An entry that is not in the
// list watches.
func IsWatcher(entries []Entry, self Entry) bool {
	return selectWatchers(entries).isWatcher(self.Instance)
}

// watchers are the watchers and relays of a list of entries.
type watchers struct {
	roles    map[string]role    // of each listed entry, by instance
	sources  []Entry            // the watchers and relays
	byDomain map[string][]Entry // the sources of each failure domain
	size     map[string]int     // listed entries of each failure domain
}

// role is how an entry gets the store's changes.
type role int

const (
	asks    role = iota // from watchers or relays
	relays              // from watchers, for others
	watches             // from the store, for others
)

func (w watchers) isWatcher(instance string) bool {
	r, known := w.roles[instance]
	return r == watches || !known
}

// selectWatchers selects the watchers and relays of a list. It runs once for each list, as every
// entry asks for each of the others several times a second.
func selectWatchers(entries []Entry) watchers {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, compareAsWatchers)
	w := watchers{roles: make(map[string]role, len(ordered)), byDomain: map[string][]Entry{}, size: map[string]int{}}
	for _, e := range ordered {
		w.size[e.Domain]++
	}
	before := map[string]int{}
	for i, e := range ordered {
		r := roleOf(i, before[e.Domain], w.size[e.Domain])
		before[e.Domain]++
		w.roles[e.Instance] = r
		if r != asks {
			w.sources = append(w.sources, e)
			w.byDomain[e.Domain] = append(w.byDomain[e.Domain], e)
		}
	}
	return w
}

// isLargeDomain reports whether a failure domain of that many entries has relays.
func isLargeDomain(size int) bool { return size > entriesPerRelay }

// roleOf returns the role of an entry by its positions in the order of all entries and in that of
// its failure domain, which has size entries.
func roleOf(position, inDomain, size int) role {
	switch {
	case position < minWatchers || inDomain == 0:
		return watches
	case isLargeDomain(size) && inDomain <= size/entriesPerRelay:
		return relays
	}
	return asks
}

// compareAsWatchers orders entries by how early they are chosen as watchers.
func compareAsWatchers(a, b Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(watcherRank(a), watcherRank(b)))
}

func watcherRank(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
