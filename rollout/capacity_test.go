package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
)

// Guards against a sound version being halted for running on slow endpoints, against a slow version
// being excused by quick or slow ones, and against a figure without bounds excusing any time.
func TestAnswersAreJudgedAtUsualSpeed(t *testing.T) {
	is := is.New(t)
	a := Answer{Took: 340 * time.Millisecond, Wait: 170 * time.Millisecond, ShortPause: 85 * time.Millisecond, Expected: 100 * time.Millisecond}
	is.Equal(a.atUsualSpeed(), a)
	a.Factor = 1.7
	got := a.atUsualSpeed()
	is.Equal(got.Took.Round(time.Microsecond), 200*time.Millisecond)
	is.Equal(got.Wait.Round(time.Microsecond), 100*time.Millisecond)
	is.Equal(got.ShortPause.Round(time.Microsecond), 50*time.Millisecond)
	is.Equal(got.Expected, a.Expected)

	b := &baseline{}
	for range 2 * baselineMinAnswers {
		b.add(100*time.Millisecond, 100*time.Millisecond)
	}
	slow := func(took time.Duration, factor float64) bool {
		return b.slow(Answer{Model: "m", Took: took, Expected: 100 * time.Millisecond, Factor: factor}.atUsualSpeed(), false)
	}
	is.True(slow(425*time.Millisecond, 0))
	is.True(!slow(425*time.Millisecond, 4.25))
	is.True(slow(5*425*time.Millisecond, 4.25))
	is.True(slow(300*time.Millisecond, 0.7))
	is.True(slow(5*425*time.Millisecond, 100))
}

// Guards against a slow version being excused by its own figures, and against a sound one being judged
// without the figures that endpoints of the old version report too.
func TestFactorOfVersionIsBoundByOthers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := New(Deps{Instance: "i", Boot: 1, View: fleet.EmptyView, Clock: clock, Log: discardLogger()})
	r := &fleet.Rollout{Service: "s", Target: "v2"}
	factor := func(service, version string, reported float64) float64 {
		return c.boundFactorLocked(Answer{Group: &fleet.Group{Rollout: r}, Endpoint: fleet.Endpoint{Service: service, Version: version}, Factor: reported}).Factor
	}
	is.Equal(factor("s", "v2", 4), 1.0) // no others reported any
	is.Equal(factor("s", "v2", 0.7), 0.7)
	is.Equal(factor("s", "v1", 0.7), 0.7)
	is.Equal(factor("s", "v2", 4), 1.0)
	is.Equal(factor("s", "v1", 1.7), 1.7)
	is.Equal(factor("s", "v2", 4), 1.7)
	is.Equal(factor("s", "v2", 1.2), 1.2)
	is.Equal(factor("other", "v2", 4), 1.0)
	// The last figures hold while no others report.
	clock.Advance(time.Hour)
	is.Equal(factor("s", "v2", 4), 1.7)
	// Those before are not lately any more once others report.
	is.Equal(factor("s", "v1", 0), 0.0)
	is.Equal(factor("s", "v2", 4), 1.7)
	is.Equal(factor("s", "v1", 1.2), 1.2)
	is.Equal(factor("s", "v2", 4), 1.2)
	// The version that is rolled out counts as the others once this is done.
	r.State = fleet.RolloutDone
	is.Equal(factor("s", "v2", 3), 3.0)
	r.State, r.Target = "", "v3"
	is.Equal(factor("s", "v3", 4), 3.0)
}

// simulateFactors runs a roll-out on endpoints of the given factors, each at random. A version's answers take
// its own factor too, and the new one reports that as a figure of its endpoints.
func simulateFactors(t *testing.T, seed uint64, older, newer []float64, slowBuild float64) rolloutOutcome {
	return simulateRollout(t, seed, requestInterval, func(*rand.Rand) string { return "r" }, func(r *rand.Rand, version, _ string) simulatedAnswer {
		factor := older[r.IntN(len(older))]
		if version == "v2" {
			factor = slowBuild * newer[r.IntN(len(newer))]
		}
		return simulatedAnswer{took: time.Duration(factor * float64(plainTook) * math.Exp(plainSpread*r.NormFloat64())), factor: factor}
	})
}

// As above, with whole roll-outs.
func TestRolloutsWithFactors(t *testing.T) {
	const seeds = 40
	for _, tt := range []struct {
		name         string
		older, newer []float64
		slowBuild    float64
		done         bool
	}{
		{"slow build that reports its slowness", []float64{1}, []float64{1}, 4, false},
		{"slow build on unequal endpoints", []float64{0.7, 0.7, 1.7}, []float64{0.7, 0.7, 1.7}, 5, false},
		{"sound build on unequal endpoints", []float64{0.7, 0.7, 1.7}, []float64{0.7, 0.7, 1.7}, 1, true},
		{"sound build on slow endpoints", []float64{0.7, 0.7, 1.7, 4.25}, []float64{1.7, 4.25}, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			done := 0
			for seed := range uint64(seeds) {
				if simulateFactors(t, seed, tt.older, tt.newer, tt.slowBuild).state == fleet.RolloutDone {
					done++
				}
			}
			t.Logf("%d of %d done", done, seeds)
			if tt.done {
				is.True(done >= seeds*95/100)
			} else {
				is.Equal(done, 0)
			}
		})
	}
}
