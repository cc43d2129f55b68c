package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against failures that came long ago, or among many answers, taken for a bad version.
func TestFewFailuresTellByHowCloseTheyAre(t *testing.T) {
	is := is.New(t)
	rule, ok := fewTest(Counts{Samples: 200}, Counts{Samples: 800, Failed: 2})
	is.True(ok)
	var f recentFailures
	is.Equal(f.statistic(rule), 0.0)
	f.add(1, 1)
	one := f.statistic(rule)
	is.True(one >= fewDoubt && one < fewThreshold)
	f.add(60, 0)
	is.True(f.statistic(rule) < fewDoubt) // one among many is chance
	for range 4 {
		f.add(8, 1)
	}
	is.True(f.statistic(rule) >= fewThreshold)

	_, ok = fewTest(Counts{Samples: 200, Failed: 28}, Counts{Samples: 800, Failed: 30})
	is.True(!ok) // the old version fails some as well
	_, ok = fewTest(Counts{Samples: 20}, Counts{Samples: 800})
	is.True(!ok) // little is known of it
}
