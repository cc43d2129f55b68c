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
			before, beforeInDomain, domainSize := 0, 0, 0
			for _, o := range all {
				sameDomain := o.Domain == e.Domain
				if sameDomain {
					domainSize++
				}
				if watcherRank(o) < watcherRank(e) {
					before++
					if sameDomain {
						beforeInDomain++
					}
				}
			}
			want := before < minWatchers || beforeInDomain <= domainSize/entriesPerWatcher
			if IsWatcher(all, e) != want {
				t.Fatalf("%s of %s: %v", e.Instance, e.Domain, !want)
			}
		}
	})
}
