package rollout

import "time"

// Judging an answer slow.
const (
	// slowFactor times the usual is a slow first event; versions that are bad by
	// slowness are several times slower. The pause between events varies less,
	// and a version that is slow for some slows all that run beside them:
	// paceFactor.
	slowFactor = 3.0
	paceFactor = 2.2
	// movedPaceFactor takes its place once all requests have moved. What is
	// usual was learned from the old version before, on emptier endpoints, and
	// there are no answers of it now to learn from: after a crash of many, the
	// pauses of a good version are some three times the usual.
	movedPaceFactor = 4.0
	// slowSlack is added for first events, paceSlack for the pauses between
	// events, as small times vary much by chance. plainSlack holds for plain services
	// while old endpoints with the same load are there to compare with.
	slowSlack  = 100 * time.Millisecond
	paceSlack  = 20 * time.Millisecond
	plainSlack = 20 * time.Millisecond
	// usualGain is the weight of one answer in the usual time, usualNeeds how
	// many make it known.
	usualGain  = 0.05
	usualNeeds = 8
)

// usual is how long answers of the versions in force take, in parts of what
// is expected of each by its prompt, for one route and model. Without the
// prompt's part, a slow version would look well on routes with long prompts, and
// a long prompt slow on others.
type usual struct {
	mean float64
	n    int
}

func parts(took, expected time.Duration) float64 {
	return float64(took) / float64(max(expected, time.Millisecond))
}

func (u *usual) add(took, expected time.Duration) {
	u.n++
	gain := max(usualGain, 1/float64(u.n))
	u.mean += gain * (parts(took, expected) - u.mean)
}

// known reports whether enough answers were seen to tell what is usual.
func (u *usual) known() bool { return u.n >= usualNeeds }

// slow reports whether an answer took much longer than usual, without the
// time that it waited for others; moved: all requests are on the new version.
func (u *usual) slow(a Answer, moved bool) bool {
	if !u.known() {
		return false
	}
	factor, slack := slowFactor, slowSlack
	switch {
	case a.Pace && moved:
		factor, slack = movedPaceFactor, paceSlack
	case a.Pace:
		factor, slack = paceFactor, paceSlack
	case a.plain() && !moved:
		slack = plainSlack
	}
	limit := factor*u.mean*float64(max(a.Expected, time.Millisecond)) + float64(slack)
	return float64(a.net()) > limit
}
