package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// crashedEndpoints are the endpoints that crashed lately, with the time.
type crashedEndpoints map[fleet.EndpointID]time.Time

// maxCrashedEndpoints bounds the endpoints kept; beyond it those of more than crashedFor ago are
// removed, and then no more are added.
const (
	maxCrashedEndpoints = 4096
	crashedFor          = 10 * time.Second
)

// add records when an endpoint crashed, and reports whether that was not known.
func (c crashedEndpoints) add(ep fleet.EndpointID, at, now time.Time) bool {
	known, ok := c[ep]
	if ok && !at.Before(known) {
		return false
	}
	if len(c) >= maxCrashedEndpoints {
		for old, at := range c {
			if now.Sub(at) > crashedFor {
				delete(c, old)
			}
		}
		if len(c) >= maxCrashedEndpoints {
			return false
		}
	}
	c[ep] = at
	return !ok
}

// since returns how many endpoints crashed at or after a time.
func (c crashedEndpoints) since(then time.Time) int {
	n := 0
	for _, at := range c {
		if !at.Before(then) {
			n++
		}
	}
	return n
}
