package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fewestWatchers watch the store, however few failure domains there are: one
// that is killed, and one whose connection has gone silent, leave a third.
const fewestWatchers = 3

// perWatcher is how many entries of a failure domain one watcher serves at
// most: each of them asks one some three times a second. At 75 entries a
// domain and one watcher, that took a fifth of a core.
const perWatcher = 32

// Watches reports whether an entry is one of those that watch the store for
// all: the first of each failure domain, by a hash, one more for each
// perWatcher of its entries, and fewestWatchers in all. The others learn from
// these by exchange. It costs the store calls by the number of failure
// domains, hardly by that of entries.
//
// Entries that know different lists choose differently; then more watch than
// need to, or an entry hears from no watcher and watches by itself. One that is
// not in the list watches.
func Watches(entries []Entry, self Entry) bool { return watchersOf(entries).has(self.Instance) }

// watchers are those of a list of entries, by instance: true for each that watches,
// false for each that does not.
type watchers map[string]bool

func (w watchers) has(instance string) bool {
	watches, known := w[instance]
	return watches || !known
}

// watchersOf chooses the watchers of a list: once a list, as each entry asks of all
// others several times a second.
func watchersOf(entries []Entry) watchers {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, func(a, b Entry) int { return cmp.Compare(order(a), order(b)) })
	size := map[string]int{}
	for _, e := range ordered {
		size[e.Domain]++
	}
	w := make(watchers, len(ordered))
	before := map[string]int{}
	for i, e := range ordered {
		w[e.Instance] = i < fewestWatchers || before[e.Domain] <= size[e.Domain]/perWatcher
		before[e.Domain]++
	}
	return w
}

func order(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
