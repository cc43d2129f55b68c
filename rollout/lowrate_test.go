package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against treating failures long ago, or among many answers, as a bad version.
func TestLowRateStatisticDependsOnFailureSpacing(t *testing.T) {
	is := is.New(t)
	test, ok := lowRateTest(Counts{Samples: 200}, Counts{Samples: 800, Failed: 2})
	is.True(ok)
	var f recentFailures
	is.Equal(f.statistic(test), 0.0)
	f.add(1, 1)
	one := f.statistic(test)
	is.True(one >= lowRateDoubt && one < lowRateThreshold)
	f.add(60, 0)
	is.True(f.statistic(test) < lowRateDoubt) // one among many may be chance
	for range 4 {
		f.add(8, 1)
	}
	is.True(f.statistic(test) >= lowRateThreshold)

	_, ok = lowRateTest(Counts{Samples: 200, Failed: 28}, Counts{Samples: 800, Failed: 30})
	is.True(!ok) // the old version fails too often
	_, ok = lowRateTest(Counts{Samples: 20}, Counts{Samples: 800})
	is.True(!ok) // too few answers of the old version
}
