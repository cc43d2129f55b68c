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

// Symptom and events as above, but the next order comes before the version was
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
