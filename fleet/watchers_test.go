package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The watchers of a list are those that the rule gives for each entry by itself, whatever
// the order of the list.
func TestSelectWatchersMatchesRule(t *testing.T) {
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
				if watcherRank(o) < watcherRank(e) {
					before++
					if near {
						beforeHere++
					}
				}
			}
			want := before < minWatchers || beforeHere <= here/entriesPerWatcher
			if IsWatcher(all, e) != want {
				t.Fatalf("%s of %s: %v", e.Instance, e.Domain, !want)
			}
		}
	})
}
