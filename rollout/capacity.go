package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// maxFactor bounds the factor by which an endpoint's own report excuses its times. The values seen go up
	// to 4.25; a version that reports more is judged by the rest.
	maxFactor = 5
	// reportsWindow is for how long at least a figure of other versions counts: slow periods, in which
	// endpoints report their largest figures, come to each endpoint every 4 s.
	reportsWindow = 30 * time.Second
)

// reportedFactors holds the largest factor that endpoints of a service reported in the last one to two
// windows of reports. It doesn't expire without new ones: old versions get no requests after a promotion.
type reportedFactors struct {
	current, previous float64 // 0: none
	since             time.Time
}

func (f *reportedFactors) add(factor float64, now time.Time) {
	switch age := now.Sub(f.since); {
	case age >= 2*reportsWindow:
		f.current, f.previous, f.since = 0, 0, now
	case age >= reportsWindow:
		f.current, f.previous, f.since = 0, f.current, now
	}
	f.current = max(f.current, factor)
}

// largest returns the largest factor, at least 1.
func (f *reportedFactors) largest() float64 {
	if f == nil {
		return 1
	}
	return max(1, f.current, f.previous)
}

// boundFactorLocked bounds the factor of an answer of a version that is rolled out by what endpoints of other
// versions reported, and records the factors of these. Otherwise a build that is four times as slow, and
// reports 400 because of it, would be judged as if it were as quick as the old one.
func (c *Controller) boundFactorLocked(a Answer) Answer {
	service := a.Endpoint.Service
	if r := a.Group.Rollout; r != nil && a.Endpoint.Version == r.Target && r.State != fleet.RolloutDone {
		a.Factor = min(a.Factor, c.otherFactors[service].largest())
		return a
	}
	if a.Factor > 0 {
		f := c.otherFactors[service]
		if f == nil {
			f = &reportedFactors{}
			c.otherFactors[service] = f
		}
		f.add(a.Factor, c.Clock.Now())
	}
	return a
}

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
