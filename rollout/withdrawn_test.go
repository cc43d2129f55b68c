package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// rollBack lets the version that is brought in fail until it is rolled back.
func (x *fixture) rollBack() {
	x.t.Helper()
	x.play(time.Second)
	for i := range 12 {
		x.all[0].answer(6+i%2, true)
	}
	x.play(3 * time.Second)
	x.is.Equal(x.state(), fleet.RolloutRolledBack)
}

// next orders another version, whose endpoints are there at once, as those of the
// versions before are for some seconds more.
func (x *fixture) next(version string, first int) {
	for i := range 6 {
		x.endpoint(first+i, version, 0)
	}
	x.orderVersion(version)
	x.sync()
}

// versions are those that an entry may send requests to.
func versions(e *entry) map[string]bool {
	out := map[string]bool{}
	for i := range 500 {
		choice := e.Choose(e.group(), Request{ID: fmt.Sprint(i)})
		for _, eps := range [][]fleet.Endpoint{choice.First, choice.Then} {
			for _, ep := range eps {
				out[ep.Version] = true
			}
		}
	}
	return out
}

// onlyVersions checks what every entry, and one that has just started, may send
// requests to.
func (x *fixture) onlyVersions(want ...string) {
	x.t.Helper()
	started := x.newEntry(len(x.all))
	x.sync(started)
	for i, e := range append([]*entry{started}, x.all...) {
		got := versions(e)
		if len(got) != len(want) {
			x.t.Fatalf("entry %d of %d (0: just started) sends to %v, not to %v", i, len(x.all), got, want)
		}
		for _, v := range want {
			x.is.True(got[v])
		}
	}
}

// Symptom: a bad version gets requests long after it was rolled back, and fails
// them.
// Events: the version is rolled back; the operator orders the next one at once,
// while the bad one's endpoints are still registered; they are empty, so that
// they are preferred to all others.
// Cause: that a version was halted was known of the order only. Under the next order
// every endpoint that is not of its target was an old one. Seen in the entries' logs:
// all had halted the version and knew the record; each sent to it from the moment at
// which it knew the next order until the endpoints left, three seconds later. One that
// was cut off when the others left registered as ready again seven seconds after the
// version had been proven bad, and got requests for half a second.
func TestARolledBackVersionGetsNothingUnderTheNextOrder(t *testing.T) {
	x := newFixture(t, 3)
	x.rollBack()
	x.onlyVersions("v1")
	x.next("v3", 12)
	x.onlyVersions("v1", "v3")
	x.play(2 * time.Second)
	x.is.Equal(x.state(), fleet.RolloutRunning)
	x.onlyVersions("v1", "v3")
}

// Symptom, events and cause as above, but the next order comes before the version was
// decided on: nobody vouches for it, and it would get all that falls to old
// versions.
func TestAVersionThatWasReplacedUndecidedGetsNothing(t *testing.T) {
	x := newFixture(t, 3)
	x.play(time.Second)
	x.is.Equal(x.state(), fleet.RolloutRunning)
	x.next("v3", 12)
	x.onlyVersions("v1", "v3")
	x.play(2 * time.Second)
	x.onlyVersions("v1", "v3")
}

// Symptom: as above, at an entry that has started since.
// Events: the store takes no write, or loses its answers, when the first state of
// the next order is recorded over that of the version that was rolled back.
// What overwrites the last trace of it must come after its own record.
func TestWithdrawnVersionsAreRecordedBeforeTheNextState(t *testing.T) {
	x := newFixture(t, 1)
	e := x.all[0]
	x.rollBack()
	e.store.wrote = nil
	x.next("v3", 12)
	e.store.away = true
	x.play(3 * time.Second)
	for _, key := range e.store.wrote {
		x.is.Equal(key, fleet.WithdrawnPrefix+"s") // the state waits for it
	}
	e.store.away, e.store.lose = false, true
	x.play(3 * time.Second)
	e.store.lose = false
	x.play(3 * time.Second)
	x.is.Equal(x.state(), fleet.RolloutRunning)
	x.is.Equal(e.group().Withdrawn.Versions, []string{"v2"})
	x.is.True(!e.group().Withdrawn.Changed())
	x.onlyVersions("v1", "v3")
}

// A version that is ordered again is tried anew, and when it is done it is an old one
// to the next order like any other.
func TestAVersionThatIsOrderedAgainIsWithdrawnNoMore(t *testing.T) {
	x := newFixture(t, 1)
	x.rollBack()
	x.next("v3", 12)
	x.play(2 * time.Second)
	x.orderVersion("v2")
	x.sync()
	x.onlyVersions("v1", "v2")
	x.play(2 * time.Second)
	x.is.Equal(x.all[0].group().Withdrawn.Versions, []string{"v3"})
	x.put("status/rollout/s", []byte(`{"target":"v2","state":"done"}`))
	x.next("v4", 18)
	x.onlyVersions("v1", "v2", "v4")
}

// Symptom: no endpoint is left for a service's requests.
// Events: a roll-out is recorded as done, and an entry that was behind halts the
// version by what it saw itself; the old version's endpoints have stopped.
func TestAVersionThatIsDoneIsServedWhateverAnEntryThinks(t *testing.T) {
	x := newFixture(t, 1)
	e := x.all[0]
	x.play(time.Second)
	for i := range 12 {
		e.answer(6+i%2, true)
	}
	x.is.Equal(versions(e), map[string]bool{"v1": true})
	x.put("status/rollout/s", []byte(`{"target":"v2","state":"done"}`))
	x.sync()
	x.is.Equal(e.Choose(e.group(), Request{ID: "q"}).First[0].Version, "v2")
}

// Symptom: one entry goes on sending to a version that all others halted.
// Events: its copy of the store is behind, so that the order is under way to it; the
// others know that the version is rolled back, and exchange what they know with it.
func TestAnEntryThatIsBehindHearsOfARolledBackVersion(t *testing.T) {
	x := newFixture(t, 3)
	behind, knows := x.all[1], x.all[2]
	x.play(time.Second)
	for i := range 12 {
		x.all[0].answer(6+i%2, true)
	}
	x.play(3*time.Second, behind)
	x.sync(knows)
	x.is.Equal(knows.group().Rollout.State, fleet.RolloutRolledBack)
	x.is.True(share(behind) > 0)
	behind.Hear(knows.Tell())
	x.is.Equal(share(behind), 0.0)
}
