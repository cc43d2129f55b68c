package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The watchers and relays of a list are those that the rule gives for each entry by itself, whatever
// the order of the list.
func TestSelectWatchersMatchesRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for i := range rapid.IntRange(0, 150).Draw(t, "entries") {
			all = append(all, Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "domain")), LinkMbps: 10 * rapid.Float64Range(0, 2).Draw(t, "link")})
		}
		w := selectWatchers(all)
		sources := 0
		for _, e := range all {
			before, beforeInDomain, domainSize := 0, 0, 0
			for _, o := range all {
				sameDomain := o.Domain == e.Domain
				if sameDomain {
					domainSize++
				}
				if o.LinkMbps > e.LinkMbps || o.LinkMbps == e.LinkMbps && watcherRank(o) < watcherRank(e) {
					before++
					if sameDomain {
						beforeInDomain++
					}
				}
			}
			wantWatcher := before < minWatchers || beforeInDomain == 0
			if IsWatcher(all, e) != wantWatcher {
				t.Fatalf("%s of %s is a watcher: %v", e.Instance, e.Domain, !wantWatcher)
			}
			wantRelay := !wantWatcher && domainSize > entriesPerRelay && beforeInDomain <= domainSize/entriesPerRelay
			if got := w.roles[e.Instance] == relays; got != wantRelay {
				t.Fatalf("%s of %s is a relay: %v", e.Instance, e.Domain, got)
			}
			if wantWatcher || wantRelay {
				sources++
			}
		}
		if len(w.sources) != sources {
			t.Fatalf("%d sources, %d watchers and relays", len(w.sources), sources)
		}
	})
}

// Guards against calls to the store that grow with the fleet.
func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{240, 480, 960} {
		var all []Entry
		for i := range n {
			all = append(all, Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%6)})
		}
		watching, sources := 0, selectWatchers(all).sources
		for _, e := range all {
			if IsWatcher(all, e) {
				watching++
			}
		}
		if watching > 6+minWatchers || len(sources) < n/entriesPerRelay {
			t.Errorf("%d entries: %d watch, %d pass on", n, watching, len(sources))
		}
	}
}
