package rollout

import "time"

// Thresholds for slow answers.
const (
	// A first event is slow from slowFactor times the baseline; bad versions are several
	// times slower. The pause between events varies less, and a version that is slow for
	// some requests slows all concurrent ones: its factor is paceFactor.
	slowFactor = 3.0
	paceFactor = 2.2
	// promotedPaceFactor replaces paceFactor after promotion. The baseline was learned from
	// the old version on less loaded endpoints, and no answers of it are left to update it:
	// after many endpoints crash, the pauses of a good version are some three times the
	// baseline.
	promotedPaceFactor = 4.0
	// firstEventSlack is added for first events and paceSlack for pauses between events, as
	// short times vary a lot. plainSlack applies to plain services while old endpoints with
	// the same load are available for comparison.
	firstEventSlack = 100 * time.Millisecond
	paceSlack       = 20 * time.Millisecond
	plainSlack      = 20 * time.Millisecond
	// baselineGain is the weight of one answer in the baseline, baselineMinAnswers how many
	// answers establish it.
	baselineGain       = 0.05
	baselineMinAnswers = 8
)

// baseline is the mean time of answers of the versions in force, relative to the
// time expected for each prompt. Without the prompt's part, a slow version would look good
// on routes with long prompts, and a long prompt slow on others.
type baseline struct {
	mean float64
	n    int
}

func relativeTime(took, expected time.Duration) float64 {
	return float64(took) / float64(max(expected, time.Millisecond))
}

func (b *baseline) add(took, expected time.Duration) {
	b.n++
	gain := max(baselineGain, 1/float64(b.n))
	b.mean += gain * (relativeTime(took, expected) - b.mean)
}

// known reports whether enough answers were seen to establish the baseline.
func (b *baseline) known() bool { return b.n >= baselineMinAnswers }

// slow reports whether an answer, without its queueing time, took much longer than the
// baseline; promoted: all requests are on the new version.
func (b *baseline) slow(a Answer, promoted bool) bool {
	if !b.known() {
		return false
	}
	factor, slack := slowFactor, firstEventSlack
	switch {
	case a.Pace && promoted:
		factor, slack = promotedPaceFactor, paceSlack
	case a.Pace:
		factor, slack = paceFactor, paceSlack
	case a.plain() && !promoted:
		slack = plainSlack
	}
	limit := factor*b.mean*float64(max(a.Expected, time.Millisecond)) + float64(slack)
	return float64(a.net()) > limit
}
