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

// Load of these tests: a plain service with few requests, answered in some 30 ms, one in a
// hundred in five times that.
const (
	plainInterval = 55 * time.Millisecond
	plainTook     = 30 * time.Millisecond
	plainSpread   = 0.5
	longShare     = 0.01
	longFactor    = 5
	// slowTimes is the factor on a share of a slow version's answers.
	slowTimes = 8
)

// simulatePlain runs a roll-out of a version that is slow for a share of its answers.
func simulatePlain(t *testing.T, seed uint64, slow float64) rolloutOutcome {
	return simulateRollout(t, seed, plainInterval, func(*rand.Rand) string { return "r" }, func(r *rand.Rand, version, _ string) simulatedAnswer {
		took := float64(plainTook) * math.Exp(plainSpread*r.NormFloat64())
		if r.Float64() < longShare {
			took *= longFactor
		}
		if version == "v2" && r.Float64() < slow {
			took *= slowTimes
		}
		return simulatedAnswer{took: time.Duration(took)}
	})
}

// Guards against a slow version of a service with few requests getting more of them than
// operators allow.
func TestSlowVersionOfPlainServiceKeepsBoundOnExposure(t *testing.T) {
	for _, slow := range []float64{0.3, 0.5, 0.7} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			over := 0
			for seed := range uint64(simulatedSeeds) {
				if simulatePlain(t, seed, slow).overBound() {
					over++
				}
			}
			t.Logf("%d of %d over the bound", over, simulatedSeeds)
			is.True(over <= 2*simulatedSeeds/100)
		})
	}
}

// A version as fast as the old one completes its roll-out.
func TestGoodVersionOfPlainServiceCompletes(t *testing.T) {
	is := is.New(t)
	rolledBack := 0
	for seed := range uint64(simulatedSeeds) {
		if simulatePlain(t, seed, 0).state != fleet.RolloutDone {
			rolledBack++
		}
	}
	t.Logf("%d of %d rolled back", rolledBack, simulatedSeeds)
	is.True(rolledBack <= 2*simulatedSeeds/100)
}
