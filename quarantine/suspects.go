package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Bounds of the suspects kept in memory.
const (
	// retention is how long a crash counts against a request, and how long a quarantined request
	// is refused.
	retention = 10 * time.Minute
	// maxSuspects bounds the suspects; those whose latest crash is the oldest are evicted
	// first.
	maxSuspects = 4096
	// maxCrashes bounds the crashes kept per request.
	maxCrashes = 16
)

// crash is the crash of an endpoint while a request was in flight there.
type crash struct {
	stage Stage
	at    time.Time
	local bool // observed by this entry
}

// suspect is a request that was in flight at one or more endpoints when they crashed.
type suspect struct {
	crashes map[fleet.EndpointID]crash
	latest  time.Time // time of the latest crash
}

// addCrash adds a crash and reports whether it increases the suspect's weight. Copies of a
// request at one endpoint count once, by the stage with the highest weight.
func (s *suspect) addCrash(ep fleet.EndpointID, c crash) bool {
	known, ok := s.crashes[ep]
	if ok && weights[known.stage] >= weights[c.stage] || !ok && len(s.crashes) >= maxCrashes {
		return false
	}
	c.local = c.local || known.local
	s.crashes[ep] = c
	if c.at.After(s.latest) {
		s.latest = c.at
	}
	return true
}

// weight returns the sum of the weights of the suspect's crashes, except explained ones.
func (s *suspect) weight(explained map[fleet.EndpointID]bool) int {
	sum := 0
	for ep, c := range s.crashes {
		if !explained[ep] {
			sum += weights[c.stage]
		}
	}
	return sum
}

// observedLocally reports whether this entry observed one of the crashes.
func (s *suspect) observedLocally() bool {
	for _, c := range s.crashes {
		if c.local {
			return true
		}
	}
	return false
}

// endpoints returns the endpoints that crashed, sorted.
func (s *suspect) endpoints() []fleet.EndpointID {
	out := make([]fleet.EndpointID, 0, len(s.crashes))
	for ep := range s.crashes {
		out = append(out, ep)
	}
	slices.Sort(out)
	return out
}

// suspects maps fingerprints to suspects.
type suspects map[Fingerprint]*suspect

// getOrAdd returns the suspect with a fingerprint, adding it if there is none.
func (all suspects) getOrAdd(f Fingerprint) *suspect {
	s := all[f]
	if s == nil {
		all.evictIfFull()
		s = &suspect{crashes: map[fleet.EndpointID]crash{}}
		all[f] = s
	}
	return s
}

func (all suspects) evictIfFull() {
	if len(all) < maxSuspects {
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

// expire removes suspects without a crash since cutoff, and reports whether there were any.
func (all suspects) expire(cutoff time.Time) bool {
	before := len(all)
	for f, s := range all {
		if s.latest.Before(cutoff) {
			delete(all, f)
		}
	}
	return len(all) < before
}

// quarantined returns the requests to quarantine, the presumed causes of the crashes. The one with
// the highest weight comes first, as a cause is at all the crashes that it causes while others are
// there by chance; crashes that it explains do not count against the rest. Exempt requests are
// never returned.
func (all suspects) quarantined(recorded map[Fingerprint][]fleet.EndpointID, exempt func(Fingerprint) bool) map[Fingerprint]bool {
	out := map[Fingerprint]bool{}
	explained := map[fleet.EndpointID]bool{}
	for f, endpoints := range recorded {
		if exempt(f) {
			continue
		}
		out[f] = true
		for _, ep := range endpoints {
			explained[ep] = true
		}
	}
	for f := range out {
		if s := all[f]; s != nil {
			s.markExplained(explained)
		}
	}
	candidates := all.candidates(out, exempt)
	for {
		found := heaviest(candidates, explained)
		if len(found) == 0 {
			return out
		}
		for _, f := range found {
			out[f] = true
			candidates[f].markExplained(explained)
			delete(candidates, f)
		}
	}
}

// markExplained adds the endpoints of the suspect's crashes to explained.
func (s *suspect) markExplained(explained map[fleet.EndpointID]bool) {
	for ep := range s.crashes {
		explained[ep] = true
	}
}

// candidates returns the suspects that reach quarantineWeight if none of their crashes is
// explained.
func (all suspects) candidates(found map[Fingerprint]bool, exempt func(Fingerprint) bool) suspects {
	out := suspects{}
	for f, s := range all {
		if !found[f] && s.weight(nil) >= quarantineWeight && !exempt(f) {
			out[f] = s
		}
	}
	return out
}

// heaviest returns the candidates with the highest weight of at least quarantineWeight.
func heaviest(candidates suspects, explained map[fleet.EndpointID]bool) []Fingerprint {
	var out []Fingerprint
	highest := quarantineWeight
	for f, s := range candidates {
		w := s.weight(explained)
		if w > highest {
			highest, out = w, nil
		}
		if w == highest {
			out = append(out, f)
		}
	}
	return out
}

// byWeight returns the fingerprints in descending order of weight.
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
