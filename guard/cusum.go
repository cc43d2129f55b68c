package guard

import "math"

// Parameters of the sequential test. A healthy version gives bad answers at
// okRate or less; one at badRate is not worth serving. The threshold trades
// exposure against false halts: TestHaltRates measures how many answers a bad
// version gives before the halt and how rarely a healthy one is halted;
// docs/ROLLOUTS.md has the figures for other thresholds.
const (
	okRate    = 0.05
	badRate   = 0.30
	threshold = 8.0
)

// Log likelihood ratios of one bad and one good answer.
var (
	llrBad  = math.Log(badRate / okRate)
	llrGood = math.Log((1 - badRate) / (1 - okRate))
)

// cusum is the test statistic: the log likelihood ratio of a bad against a
// healthy version, clamped at zero so that a long good history does not delay
// the halt of a version that turns bad.
type cusum float64

// add counts new answers and reports whether the version is bad. Within one
// call bad answers count as spread evenly among the good ones: a digest may
// cover a long period (a newly started entry receives totals), and a few bad
// answers among thousands would look like a burst if counted last and together.
func (c *cusum) add(good, bad int64) bool {
	*c = cusum(math.Max(0, float64(*c)+float64(good)*llrGood+float64(bad)*llrBad))
	return *c >= threshold
}
