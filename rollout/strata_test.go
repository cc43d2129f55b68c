package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a canary share that differs from the intended share of all requests when
// it is sampled by route.
func TestAllocatedSharesSumToCanaryShare(t *testing.T) {
	for name, requests := range map[string]map[string]int{
		"one":               {"a": 100},
		"two":               {"a": 72, "b": 28},
		"one hardly used":   {"a": 990, "b": 9, "c": 1},
		"many":              {"a": 50, "b": 20, "c": 10, "d": 10, "e": 5, "f": 5},
		"one that is rare ": {"a": 500, "b": 500, "c": 20},
	} {
		for _, overall := range []float64{largeShare, mediumShare, smallShare} {
			for _, doubt := range []string{"", "a", "b"} {
				is := is.New(t)
				s := strata{requests: requests}
				for _, n := range requests {
					s.total += n
				}
				sum := 0.0
				for route, share := range s.allocate(overall, func(route string) bool { return route == doubt }) {
					is.True(share > 0 && share <= 1)
					sum += share * s.trafficShare(route)
				}
				t.Log(name, overall, doubt, sum)
				is.True(sum > overall-1e-9 && sum < overall+1e-9) // the overall share is kept
			}
		}
	}
}
