package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minWatchers is the minimum number of watchers, however few failure domains there are:
// if one is killed and another's connection is dead, one remains.
const minWatchers = 3

// entriesPerWatcher bounds the entries of a failure domain that one watcher serves: each
// of them asks a watcher about three times a second. 75 entries to one watcher took a
// fifth of a core.
const entriesPerWatcher = 32

// IsWatcher reports whether an entry is a watcher: one that watches the store for all. The
// watchers are the first entries of each failure domain, those with the widest links first and
// in hash order among equals: one more for each entriesPerWatcher of its entries, and
// minWatchers in all. The other entries get changes from them by exchange, so the number of
// calls to the store depends on that of failure domains and hardly on that of entries.
//
// Entries with different lists choose differently; then more entries watch than necessary,
// or an entry gets no answer from a watcher and watches itself. An entry that is not in the
// list watches.
func IsWatcher(entries []Entry, self Entry) bool {
	return selectWatchers(entries).isWatcher(self.Instance)
}

// watchers are the watchers of a list of entries.
type watchers struct {
	watches  map[string]bool // for each listed entry, by instance
	all      []Entry
	byDomain map[string][]Entry
	size     map[string]int // listed entries of each failure domain
}

func (w watchers) isWatcher(instance string) bool {
	watches, known := w.watches[instance]
	return watches || !known
}

// selectWatchers selects the watchers of a list. It runs once for each list, as every entry
// asks for each of the others several times a second.
func selectWatchers(entries []Entry) watchers {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, compareAsWatchers)
	w := watchers{watches: make(map[string]bool, len(ordered)), byDomain: map[string][]Entry{}, size: map[string]int{}}
	for _, e := range ordered {
		w.size[e.Domain]++
	}
	before := map[string]int{}
	for i, e := range ordered {
		watches := i < minWatchers || before[e.Domain] <= w.size[e.Domain]/entriesPerWatcher
		before[e.Domain]++
		w.watches[e.Instance] = watches
		if watches {
			w.all = append(w.all, e)
			w.byDomain[e.Domain] = append(w.byDomain[e.Domain], e)
		}
	}
	return w
}

// compareAsWatchers orders entries by how early they are chosen as watchers.
func compareAsWatchers(a, b Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(watcherRank(a), watcherRank(b)))
}

func watcherRank(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
