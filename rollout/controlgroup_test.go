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

// chosen returns the expected number of requests by endpoint.
func chosen(e *entry, n int) (perEndpoint map[fleet.EndpointID]float64) {
	perEndpoint = map[fleet.EndpointID]float64{}
	for i := range n {
		preferred := e.Choose(e.group(), Request{ID: fmt.Sprint(i)}).Preferred
		for _, ep := range preferred {
			perEndpoint[ep.ID] += 1 / float64(len(preferred))
		}
	}
	return perEndpoint
}

// Guards against a version four times as slow looking as fast as the old one: its few
// requests leave its endpoints nearly idle, while each old one has several times as many.
// The cause was that no old endpoints with the same load were available for comparison.
func TestControlGroupGetsCanaryShare(t *testing.T) {
	x := newFixture(t, 2)
	x.advance(time.Second)
	const n = 4000
	got := chosen(x.entries[0], n)
	order := x.entries[0].group().Rollout.Ordered
	older, newer := splitByVersion(x.entries[0].group().Ready, "v2")
	older = sortForTrial(older, order)
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
	x.is.Equal(chosen(x.entries[1], n), got) // identical on all entries
	// Other old endpoints take requests that the group's cannot.
	for i := range 50 {
		c := x.entries[0].Choose(x.entries[0].group(), Request{ID: fmt.Sprint(i)})
		if c.Preferred[0].Version == "v1" {
			x.is.Equal(len(c.Preferred)+len(c.Fallback), len(older))
		}
	}
}

// With few old endpoints there is no separate control group: the others would lack
// capacity.
func TestFewOldEndpointsAllFormControlGroup(t *testing.T) {
	is := is.New(t)
	for older := range minForControlGroup {
		is.Equal(controlSize(older), older)
	}
	is.Equal(controlSize(minForControlGroup), 2)
	o := endpointOrder{older: make([]fleet.Endpoint, 3)}
	is.Equal(len(o.choose(true).Preferred), 3)
	is.Equal(len(o.choose(false).Preferred), 3)
}

// After promotion or a halt nothing is compared, and there is no control group.
func TestNoControlGroupAfterHalt(t *testing.T) {
	x := newFixture(t, 1)
	x.advance(time.Second)
	for i := range 40 {
		x.entries[0].answer(6+i%2, true)
	}
	older, _ := splitByVersion(x.entries[0].group().Ready, "v2")
	for i := range 50 {
		x.is.Equal(len(x.entries[0].Choose(x.entries[0].group(), Request{ID: fmt.Sprint(i)}).Preferred), len(older))
	}
}

// Guards against a good version rolled back on a service with a few requests a second. At
// the end of its time, a dozen answers of either version were seen, whose times vary by a
// factor of two. The cause was that a version not shown to be as good was treated as slow.
func TestFewAnswersDoNotHaltGoodVersion(t *testing.T) {
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
					e.update(Source{Route: route}, counts, time.Time{})
				}
			}
			if e.tooSlow(decisionBy) {
				halted++
			}
		}
		t.Logf("%d answers of each half: %d of %d halted", answers, halted, seeds)
		is.True(halted <= seeds/100)
	}
}
