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
// watchers are the first entries of each failure domain in hash order, one more
// for each entriesPerWatcher of its entries, and minWatchers in all. The other entries get
// changes from them by exchange, so the number of calls to the store depends on that of
// failure domains and hardly on that of entries.
//
// Entries with different lists choose differently; then more entries watch than necessary,
// or an entry gets no answer from a watcher and watches itself. An entry that is not in the
// list watches.
func IsWatcher(entries []Entry, self Entry) bool {
	return selectWatchers(entries).isWatcher(self.Instance)
}

// watchers records for each listed entry, by instance, whether it is a watcher.
type watchers map[string]bool

func (w watchers) isWatcher(instance string) bool {
	watches, known := w[instance]
	return watches || !known
}

// selectWatchers selects the watchers of a list. It runs once for each list, as every entry
// asks for each of the others several times a second.
func selectWatchers(entries []Entry) watchers {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, func(a, b Entry) int { return cmp.Compare(watcherRank(a), watcherRank(b)) })
	size := map[string]int{}
	for _, e := range ordered {
		size[e.Domain]++
	}
	w := make(watchers, len(ordered))
	before := map[string]int{}
	for i, e := range ordered {
		w[e.Instance] = i < minWatchers || before[e.Domain] <= size[e.Domain]/entriesPerWatcher
		before[e.Domain]++
	}
	return w
}

func watcherRank(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
