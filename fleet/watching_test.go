package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The watchers of a list are those that the rule names entry by entry, however the
// list is ordered.
func TestWatchersAreThoseOfTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for i := range rapid.IntRange(0, 120).Draw(t, "entries") {
			all = append(all, Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "domain"))})
		}
		for _, e := range all {
			before, beforeHere, here := 0, 0, 0
			for _, o := range all {
				near := o.Domain == e.Domain
				if near {
					here++
				}
				if order(o) < order(e) {
					before++
					if near {
						beforeHere++
					}
				}
			}
			want := before < fewestWatchers || beforeHere <= here/perWatcher
			if Watches(all, e) != want {
				t.Fatalf("%s of %s: %v", e.Instance, e.Domain, !want)
			}
		}
	})
}
