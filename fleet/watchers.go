package fleet

import (
	"github.com/cespare/xxhash/v2"
)

// fewestWatchers watch the store, however few failure domains there are: one
// that is killed, and one whose connection has gone silent, leave a third.
const fewestWatchers = 3

// Watches reports whether an entry is one of those that watch the store for
// all: the first of each failure domain, by a hash, and fewestWatchers in
// all. The others learn from these by exchange. It costs the store calls by
// the number of failure domains, not of entries.
//
// Entries that know different lists choose differently; then more watch than
// need to, or an entry hears from no watcher and watches by itself.
func Watches(entries []Entry, self Entry) bool {
	mine := order(self)
	firstOfDomain, before := true, 0
	known := false
	for _, e := range entries {
		if e.Instance == self.Instance {
			known = true
			continue
		}
		if order(e) >= mine {
			continue
		}
		before++
		if e.Domain == self.Domain {
			firstOfDomain = false
		}
	}
	return !known || firstOfDomain || before < fewestWatchers
}

func order(e Entry) uint64 { return xxhash.Sum64String(e.Instance) }
