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

// Load of these tests: requests of a service at a constant rate, on two routes, at one
// entry.
const (
	requestInterval = 20 * time.Millisecond
	// otherRoute is the share of requests on the second route.
	otherRoute = 0.28
)

// The approximations of the Poisson tail hold for small and large means.
func TestPoissonTail(t *testing.T) {
	is := is.New(t)
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.02 }
	is.True(near(poissonTail(1, 0.5), 0.393))
	is.True(near(poissonTail(2, 0.02), 0.0002))
	for _, expected := range []float64{5, 99, 101, 2000, 1e6} {
		is.True(near(poissonTail(int64(expected), expected), 0.5) || expected < 10)
		is.True(poissonTail(int64(expected+6*math.Sqrt(expected)), expected) < 1e-4)
		is.True(near(poissonTail(0, expected), 1))
	}
}

// failureRates holds the share of failed answers by route.
type failureRates map[string]float64

// rolloutOutcome is the result of a simulated roll-out.
type rolloutOutcome struct {
	state           fleet.RolloutState
	requests, toNew int
}

// overBound reports whether a bad version got more requests than operators allow.
func (o rolloutOutcome) overBound() bool { return float64(o.toNew) > 0.15*float64(o.requests)+30 }

// simulatedAnswer is an endpoint's answer to a request.
type simulatedAnswer struct {
	factor float64 // 0: not reported
	took   time.Duration
	failed bool
}

// simulateRollout runs a roll-out of v2 for the order's duration, with one request per
// interval, answered by answer.
func simulateRollout(t *testing.T, seed uint64, interval time.Duration, route func(r *rand.Rand) string, answer func(r *rand.Rand, version, route string) simulatedAnswer) rolloutOutcome {
	x := newFixture(t, 1)
	e := x.entries[0]
	r := rand.New(rand.NewPCG(seed, 1))
	out := rolloutOutcome{}
	nextTick := x.clock.Now()
	for i := range int(duration / interval) {
		x.clock.Advance(interval)
		g := e.group()
		q := Request{ID: fmt.Sprint(seed, "-", i), Route: route(r)}
		preferred := e.Choose(g, q).Preferred
		ep := preferred[r.IntN(len(preferred))]
		a := answer(r, ep.Version, q.Route)
		out.requests++
		if ep.Version == "v2" {
			out.toNew++
		}
		e.Observe(Answer{Group: g, Endpoint: ep, Route: q.Route, Took: a.took, Failed: a.failed, Factor: a.factor})
		if !x.clock.Now().Before(nextTick) {
			nextTick = x.clock.Now().Add(Interval)
			e.Tick(t.Context())
			x.sync(e)
		}
	}
	out.state = x.state()
	return out
}

// eitherRoute draws a request's route at random.
func eitherRoute(r *rand.Rand) string {
	if r.Float64() < otherRoute {
		return "other"
	}
	return "main"
}

// simulateFailures runs a roll-out whose versions fail shares of their answers.
func simulateFailures(t *testing.T, seed uint64, older, newer failureRates) rolloutOutcome {
	return simulateRollout(t, seed, requestInterval, eitherRoute, func(r *rand.Rand, version, route string) simulatedAnswer {
		fails := older
		if version == "v2" {
			fails = newer
		}
		return simulatedAnswer{took: 50 * time.Millisecond, failed: r.Float64() < fails[route]}
	})
}

// simulatedSeeds is the number of roll-outs per case: enough to tell a 1 % error rate from
// 3 %.
const simulatedSeeds = 300

// Guards against a good version rolled back because a route fails a share of its requests
// whatever the version.
func TestVersionFailingAsOftenAsOldOneCompletes(t *testing.T) {
	for _, fails := range []float64{0, 0.01, 0.05, 0.14, 0.25} {
		t.Run(fmt.Sprint(fails), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rolledBack := 0
			for seed := range uint64(simulatedSeeds) {
				same := failureRates{"main": 0.003, "other": fails}
				if simulateFailures(t, seed, same, same).state != fleet.RolloutDone {
					rolledBack++
				}
			}
			t.Logf("%d of %d rolled back", rolledBack, simulatedSeeds)
			is.True(rolledBack <= 2*simulatedSeeds/100)
		})
	}
}

// countOverBound simulates roll-outs of a version and returns how many gave it more
// requests than operators allow. The old version hardly ever fails.
func countOverBound(t *testing.T, newer failureRates) (over int) {
	for seed := range uint64(simulatedSeeds) {
		if simulateFailures(t, seed, failureRates{"main": 0.003, "other": 0.003}, newer).overBound() {
			over++
		}
	}
	t.Logf("%d of %d over the bound", over, simulatedSeeds)
	return over
}

// Guards against a version that fails a tenth to a fifth of its answers, on one route or all,
// getting more requests than operators allow.
func TestAVersionThatFailsFewOfItsAnswersKeepsTheBoundOnExposure(t *testing.T) {
	for _, newer := range []failureRates{{"other": 0.10}, {"other": 0.14}, {"other": 0.2}, {"main": 0.1, "other": 0.1}, {"main": 0.14, "other": 0.14}} {
		t.Run(fmt.Sprint(newer), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(countOverBound(t, newer) <= 2*simulatedSeeds/100)
		})
	}
}

// As above, without the version that fails a tenth on one route only: that case is over the
// bound (see KNOWN-RED.txt).
func TestHigherFailureRatesKeepBoundOnExposure(t *testing.T) {
	for _, newer := range []failureRates{{"other": 0.14}, {"other": 0.2}, {"main": 0.1, "other": 0.1}, {"main": 0.14, "other": 0.14}} {
		t.Run(fmt.Sprint(newer), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(countOverBound(t, newer) <= 2*simulatedSeeds/100)
		})
	}
}
