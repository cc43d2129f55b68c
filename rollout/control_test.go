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

// chosen counts the requests that fall to each version's first endpoints, and
// which endpoints these are.
func chosen(e *entry, n int) (perEndpoint map[fleet.EndpointID]float64) {
	perEndpoint = map[fleet.EndpointID]float64{}
	for i := range n {
		first := e.Choose(e.group(), Request{ID: fmt.Sprint(i)}).First
		for _, ep := range first {
			perEndpoint[ep.ID] += 1 / float64(len(first))
		}
	}
	return perEndpoint
}

// Symptom: a version four times as slow looks as quick as the old one.
// Events: its few requests leave its endpoints nearly empty, while each old one
// has several times as many.
// Cause: there were no old endpoints with the same load to compare with.
func TestTheControlGroupHasTheSameShareAsTheNewVersion(t *testing.T) {
	x := newFixture(t, 2)
	x.play(time.Second)
	const n = 4000
	got := chosen(x.all[0], n)
	order := x.all[0].group().Rollout.Ordered
	older, newer := split(x.all[0].group().Ready, "v2")
	older = inTrialOrder(older, order)
	size := controlSize(len(older))
	x.is.Equal(size, 2)
	control, others, canaries := 0.0, 0.0, 0.0
	for i, ep := range older {
		if i < size {
			control += got[ep.ID]
		} else {
			others += got[ep.ID]
		}
	}
	for _, ep := range newer {
		canaries += got[ep.ID]
	}
	x.is.True(math.Abs(control-canaries) < 0.02*n)
	x.is.True(others/float64(len(older)-size) > 2*control/float64(size))
	x.is.Equal(chosen(x.all[1], n), got) // alike on all entries
	// Where the group's endpoints cannot take a request, others do.
	for i := range 50 {
		c := x.all[0].Choose(x.all[0].group(), Request{ID: fmt.Sprint(i)})
		if c.First[0].Version == "v1" {
			x.is.Equal(len(c.First)+len(c.Then), len(older))
		}
	}
}

// With few old endpoints none are kept apart: the others would be short of room.
func TestFewOldEndpointsAreAllTheControlGroup(t *testing.T) {
	is := is.New(t)
	for older := range controlApart {
		is.Equal(controlSize(older), older)
	}
	is.Equal(controlSize(controlApart), 2)
	r := trialOrder{older: make([]fleet.Endpoint, 3)}
	is.Equal(len(r.choose(true).First), 3)
	is.Equal(len(r.choose(false).First), 3)
}

// Once the version has moved on or is halted nothing is compared, and no
// endpoints are kept for it.
func TestNoEndpointsAreKeptApartAfterAHalt(t *testing.T) {
	x := newFixture(t, 1)
	x.play(time.Second)
	for i := range 40 {
		x.all[0].answer(6+i%2, true)
	}
	older, _ := split(x.all[0].group().Ready, "v2")
	for i := range 50 {
		x.is.Equal(len(x.all[0].Choose(x.all[0].group(), Request{ID: fmt.Sprint(i)}).First), len(older))
	}
}

// Symptom: a good version of a service with a few requests a second is rolled
// back.
// Events: at the end of the time that it has, a dozen answers of either version
// were seen, whose times vary by a factor of two.
// Cause: that it was not shown to be as good was taken for being slow.
func TestFewAnswersHaltNoGoodVersion(t *testing.T) {
	is := is.New(t)
	const seeds = 400
	for _, answers := range []int64{6, 12, 24, 48} {
		halted := 0
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 11))
			e := newEvidence()
			for group, halves := range comparedRoutes[firstEvents] {
				for _, route := range halves {
					counts := Counts{}
					for range answers {
						log := 0.5 * r.NormFloat64()
						counts.Samples++
						counts.LogTime += int64(log * logScale)
						if group == controlGroup {
							e.spreads[firstEvents].add(log)
						}
					}
					e.take(Source{Route: route}, counts, time.Time{})
				}
			}
			if e.tooSlow(slowerBy) {
				halted++
			}
		}
		t.Logf("%d answers of each half: %d of %d halted", answers, halted, seeds)
		is.True(halted <= seeds/100)
	}
}
