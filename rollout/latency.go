package rollout

import "time"

// Judging an answer slow.
const (
	// slowFactor times the usual is slow; versions that are bad by slowness
	// are several times slower.
	slowFactor = 3.5
	// slowSlack is added, as small times vary much by chance.
	slowSlack = 200 * time.Millisecond
	// usualGain is the weight of one answer in the usual time, usualNeeds how
	// many make it known.
	usualGain  = 0.05
	usualNeeds = 10
)

// usual is the mean time to the first event of the versions in force, for
// one kind of request.
type usual struct {
	mean time.Duration
	n    int
}

func (u *usual) add(took time.Duration) {
	u.n++
	gain := max(usualGain, 1/float64(u.n))
	u.mean += time.Duration(gain * float64(took-u.mean))
}

// slow reports whether an answer took much longer than usual, without the
// time that it waited for others; scale is how
// much longer than the mean this request is expected to take.
func (u *usual) slow(took time.Duration, scale float64) bool {
	if u.n < usualNeeds {
		return false
	}
	expected := float64(u.mean) * max(1, scale)
	return float64(took) > slowFactor*expected+float64(slowSlack)
}
