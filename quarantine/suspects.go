package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Bounds of what is remembered.
const (
	// life is how long a crash is held against a request, and how long a guilty one is
	// refused.
	life = 10 * time.Minute
	// mostSuspects bounds the requests remembered; those whose crashes are the oldest go
	// first.
	mostSuspects = 4096
	// mostCrashes bounds the crashes remembered of one request.
	mostCrashes = 16
)

// crash is one endpoint's, as far as one request was there.
type crash struct {
	stage Stage
	at    time.Time
	own   bool // this entry saw it
}

// suspect is a request that was at an endpoint, or several, when it crashed.
type suspect struct {
	crashes map[fleet.EndpointID]crash
	latest  time.Time // of its crashes
}

// note adds a crash and reports whether it says more than was known. Copies of a request
// at one endpoint count once, as the one that had just begun if one had.
func (s *suspect) note(ep fleet.EndpointID, c crash) bool {
	known, ok := s.crashes[ep]
	if ok && weights[known.stage] >= weights[c.stage] || !ok && len(s.crashes) >= mostCrashes {
		return false
	}
	c.own = c.own || known.own
	s.crashes[ep] = c
	if c.at.After(s.latest) {
		s.latest = c.at
	}
	return true
}

// weight sums what its crashes say against it, but for those that others explain.
func (s *suspect) weight(explained map[fleet.EndpointID]bool) int {
	sum := 0
	for ep, c := range s.crashes {
		if !explained[ep] {
			sum += weights[c.stage]
		}
	}
	return sum
}

// seenHere reports whether this entry saw one of the crashes.
func (s *suspect) seenHere() bool {
	for _, c := range s.crashes {
		if c.own {
			return true
		}
	}
	return false
}

// endpoints are those that crashed, sorted.
func (s *suspect) endpoints() []fleet.EndpointID {
	out := make([]fleet.EndpointID, 0, len(s.crashes))
	for ep := range s.crashes {
		out = append(out, ep)
	}
	slices.Sort(out)
	return out
}

// suspects are by fingerprint.
type suspects map[Fingerprint]*suspect

// of returns a suspect, which is new if it was none.
func (all suspects) of(f Fingerprint) *suspect {
	s := all[f]
	if s == nil {
		all.makeRoom()
		s = &suspect{crashes: map[fleet.EndpointID]crash{}}
		all[f] = s
	}
	return s
}

func (all suspects) makeRoom() {
	if len(all) < mostSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, s := range all {
		if at.IsZero() || s.latest.Before(at) {
			oldest, at = f, s.latest
		}
	}
	delete(all, oldest)
}

// lapse forgets those that were at no crash since then, and reports whether there were any.
func (all suspects) lapse(then time.Time) bool {
	before := len(all)
	for f, s := range all {
		if s.latest.Before(then) {
			delete(all, f)
		}
	}
	return len(all) < before
}

// guilty finds the requests that crashed the endpoints: those with the most weight against
// them first, as each is at all the crashes that it causes and others are there by chance;
// what one explains is not held against the rest. Those that are excused are never guilty.
func (all suspects) guilty(recorded map[Fingerprint][]fleet.EndpointID, excused func(Fingerprint) bool) map[Fingerprint]bool {
	out := map[Fingerprint]bool{}
	explained := map[fleet.EndpointID]bool{}
	for f, crashed := range recorded {
		if excused(f) {
			continue
		}
		out[f] = true
		for _, ep := range crashed {
			explained[ep] = true
		}
	}
	for f := range out {
		if s := all[f]; s != nil {
			s.explain(explained)
		}
	}
	candidates := all.candidates(out, excused)
	for {
		worst := heaviest(candidates, explained)
		if len(worst) == 0 {
			return out
		}
		for _, f := range worst {
			out[f] = true
			candidates[f].explain(explained)
			delete(candidates, f)
		}
	}
}

// explain adds the endpoints that crashed.
func (s *suspect) explain(explained map[fleet.EndpointID]bool) {
	for ep := range s.crashes {
		explained[ep] = true
	}
}

// candidates may be guilty if nothing explains their crashes.
func (all suspects) candidates(found map[Fingerprint]bool, excused func(Fingerprint) bool) suspects {
	out := suspects{}
	for f, s := range all {
		if !found[f] && s.weight(nil) >= guiltyWeight && !excused(f) {
			out[f] = s
		}
	}
	return out
}

// heaviest are the guilty ones with the most weight; none: nobody else is guilty.
func heaviest(candidates suspects, explained map[fleet.EndpointID]bool) []Fingerprint {
	var out []Fingerprint
	most := guiltyWeight
	for f, s := range candidates {
		w := s.weight(explained)
		if w > most {
			most, out = w, nil
		}
		if w == most {
			out = append(out, f)
		}
	}
	return out
}

// byWeight orders fingerprints, those with the most weight against them first.
func (all suspects) byWeight() []Fingerprint {
	out := make([]Fingerprint, 0, len(all))
	for f := range all {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(all[b].weight(nil), all[a].weight(nil)), cmp.Compare(a, b))
	})
	return out
}
