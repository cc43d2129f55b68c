package fleet

import (
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
// need to, or an entry hears from no watcher and watches by itself.
func Watches(entries []Entry, self Entry) bool {
	mine := order(self)
	before, beforeHere, here := 0, 0, 1
	known := false
	for _, e := range entries {
		if e.Instance == self.Instance {
			known = true
			continue
		}
		near := e.Domain == self.Domain
		if near {
			here++
		}
		if order(e) >= mine {
			continue
		}
		before++
		if near {
			beforeHere++
		}
	}
	return !known || beforeHere <= here/perWatcher || before < fewestWatchers
}

func order(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
