package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
)

// The load of these tests: a service's requests come at an even pace, on two routes, by
// one entry's sight.
const (
	requestEvery = 20 * time.Millisecond
	// otherRoute has so much of the requests.
	otherRoute = 0.28
)

// The chance of many events is told for any number of them.
func TestChanceOfManyEvents(t *testing.T) {
	is := is.New(t)
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.02 }
	is.True(near(atLeast(1, 0.5), 0.393))
	is.True(near(atLeast(2, 0.02), 0.0002))
	for _, expected := range []float64{5, 99, 101, 2000, 1e6} {
		is.True(near(atLeast(int64(expected), expected), 0.5) || expected < 10)
		is.True(atLeast(int64(expected+6*math.Sqrt(expected)), expected) < 1e-4)
		is.True(near(atLeast(0, expected), 1))
	}
}

// failing is which share of a version's answers fails, by route.
type failing map[string]float64

// rolloutOutcome is what came of a roll-out.
type rolloutOutcome struct {
	state           fleet.RolloutState
	requests, toNew int
}

// overBound reports whether a bad version got more requests than operators allow.
func (o rolloutOutcome) overBound() bool { return float64(o.toNew) > 0.15*float64(o.requests)+30 }

// answered is how an endpoint answers a request.
type answered struct {
	took   time.Duration
	failed bool
}

// playRollout plays a roll-out of v2 over the order's time, with a request each so often
// that an endpoint of a version answers.
func playRollout(t *testing.T, seed uint64, each time.Duration, route func(r *rand.Rand) string, answer func(r *rand.Rand, version, route string) answered) rolloutOutcome {
	x := newFixture(t, 1)
	e := x.all[0]
	r := rand.New(rand.NewPCG(seed, 1))
	out := rolloutOutcome{}
	nextTick := x.clock.Now()
	for i := range int(duration / each) {
		x.clock.Advance(each)
		g := e.group()
		q := Request{ID: fmt.Sprint(seed, "-", i), Route: route(r)}
		first := e.Choose(g, q).First
		ep := first[r.IntN(len(first))]
		a := answer(r, ep.Version, q.Route)
		out.requests++
		if ep.Version == "v2" {
			out.toNew++
		}
		e.Observe(Answer{Group: g, Endpoint: ep, Route: q.Route, Took: a.took, Failed: a.failed})
		if !x.clock.Now().Before(nextTick) {
			nextTick = x.clock.Now().Add(Interval)
			e.Tick(t.Context())
			x.sync(e)
		}
	}
	out.state = x.state()
	return out
}

// eitherRoute draws a request's route.
func eitherRoute(r *rand.Rand) string {
	if r.Float64() < otherRoute {
		return "other"
	}
	return "main"
}

// playFailures plays a roll-out whose versions fail shares of their answers.
func playFailures(t *testing.T, seed uint64, older, newer failing) rolloutOutcome {
	return playRollout(t, seed, requestEvery, eitherRoute, func(r *rand.Rand, version, route string) answered {
		fails := older
		if version == "v2" {
			fails = newer
		}
		return answered{took: 50 * time.Millisecond, failed: r.Float64() < fails[route]}
	})
}

// playedSeeds roll-outs are played of each kind: enough to tell one in a hundred that go
// wrong from three.
const playedSeeds = 300

// Guards against a good version rolled back because a route fails a share of its requests whatever the version.
func TestAVersionThatFailsAsOftenAsTheOldOneIsBroughtIn(t *testing.T) {
	for _, fails := range []float64{0, 0.01, 0.05, 0.14, 0.25} {
		t.Run(fmt.Sprint(fails), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rolledBack := 0
			for seed := range uint64(playedSeeds) {
				same := failing{"main": 0.003, "other": fails}
				if playFailures(t, seed, same, same).state != fleet.RolloutDone {
					rolledBack++
				}
			}
			t.Logf("%d of %d rolled back", rolledBack, playedSeeds)
			is.True(rolledBack <= 2*playedSeeds/100)
		})
	}
}

// overExposed plays roll-outs of a version and returns how many of them gave it more
// requests than operators allow; the old version fails hardly any.
func overExposed(t *testing.T, newer failing) (over int) {
	for seed := range uint64(playedSeeds) {
		if playFailures(t, seed, failing{"main": 0.003, "other": 0.003}, newer).overBound() {
			over++
		}
	}
	t.Logf("%d of %d over the bound", over, playedSeeds)
	return over
}

// Guards against a version that fails a tenth of its answers, on one route or all, getting more requests than operators allow.
func TestAVersionThatFailsFewOfItsAnswersKeepsTheBoundOnExposure(t *testing.T) {
	for _, newer := range []failing{{"other": 0.10}, {"other": 0.14}, {"other": 0.2}, {"main": 0.1, "other": 0.1}, {"main": 0.14, "other": 0.14}} {
		t.Run(fmt.Sprint(newer), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(overExposed(t, newer) <= 2*playedSeeds/100)
		})
	}
}

// Guards against the same where it fails more on one route, or a tenth on all.
func TestAVersionThatFailsATenthOfAllAnswersKeepsTheBoundOnExposure(t *testing.T) {
	for _, newer := range []failing{{"other": 0.14}, {"other": 0.2}, {"main": 0.1, "other": 0.1}, {"main": 0.14, "other": 0.14}} {
		t.Run(fmt.Sprint(newer), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(overExposed(t, newer) <= 2*playedSeeds/100)
		})
	}
}
