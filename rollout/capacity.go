package rollout

import "time"

// maxFactor bounds the factor by which an endpoint's own report excuses its times. The values seen go up
// to 4.25; a version that reports more is judged by the rest.
const maxFactor = 5

// atUsualSpeed returns the answer with its times as they would be at factor 1, so that versions are
// compared by how they answer and not by the machines that they run on.
func (a Answer) atUsualSpeed() Answer {
	if a.Factor <= 0 || a.Factor == 1 {
		return a
	}
	by := 1 / min(maxFactor, max(1.0/maxFactor, a.Factor))
	for _, d := range []*time.Duration{&a.Took, &a.Wait, &a.ShortPause} {
		*d = time.Duration(float64(*d) * by)
	}
	return a
}
