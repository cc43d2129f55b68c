package guard

import "math"

// The sequential test. An answer is bad with probability okRate or less
// while a version is well; badRate is a version not worth serving. The
// threshold is a trade: TestHaltRates measures how many answers a version
// that is bad gets before the halt, and how rarely one that is well is
// halted; docs/ROLLOUTS.md shows the figures at other thresholds.
const (
	okRate    = 0.05
	badRate   = 0.30
	threshold = 8.0
)

var (
	stepBad  = math.Log(badRate / okRate)
	stepGood = math.Log((1 - badRate) / (1 - okRate))
)

// cusum is the test's statistic: the log likelihood ratio of bad against
// well, never below zero, so that a long good past does not delay the halt
// of a version that turns bad.
type cusum float64

// add takes counts of new answers and reports whether the version is bad.
// Within one call the bad ones count as spread among the good: a digest may
// bring the answers of a long time at once (an entry that has just started
// hears totals), and taken as coming last and together a few bad ones among
// thousands would look like a burst.
func (c *cusum) add(good, bad int64) bool {
	*c = cusum(math.Max(0, float64(*c)+float64(good)*stepGood+float64(bad)*stepBad))
	return *c >= threshold
}
