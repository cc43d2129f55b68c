package quarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Bounds of the suspects kept in memory.
const (
	// retention is how long a crash counts against a suspect, and how long a quarantined request
	// is refused.
	retention = 10 * time.Minute
	// maxSuspects bounds the suspects; those whose latest crash is the oldest are evicted
	// first.
	maxSuspects = 4096
	// maxSpared is how many suspects with more than one crash an eviction passes over.
	maxSpared = 8
	// maxCrashes bounds the crashes kept per suspect.
	maxCrashes = 16
)

// crash is the crash of an endpoint while a request was in flight there.
type crash struct {
	stage Stage
	at    time.Time
	local bool // observed by this entry
	// request and variant are kept for parts: the request that contained the part, and what ran it.
	request Fingerprint
	variant Variant
}

// suspect is a request, or a part of a prompt, that was in flight at one or more endpoints when they
// crashed.
type suspect struct {
	fingerprint Fingerprint
	part        bool
	crashes     map[fleet.EndpointID]crash
	latest      time.Time // time of the latest crash
	from        string    // instance that told of the crash added last; empty: this one
	updated     time.Time // when a crash was last added
	element     *list.Element
}

func (s *suspect) weightOf(stage Stage) int {
	if s.part {
		return partWeights[stage]
	}
	return requestWeights[stage]
}

// isPartOf reports whether a request is known to contain the part.
func (s *suspect) isPartOf(request Fingerprint) bool {
	for _, c := range s.crashes {
		if c.request == request {
			return true
		}
	}
	return false
}

// addCrash adds a crash and reports whether it increases the evidence against the suspect. Copies of a
// request at one endpoint count once, by the stage with the highest weight, the earliest of these.
func (s *suspect) addCrash(ep fleet.EndpointID, c crash) bool {
	known, ok := s.crashes[ep]
	weight, knownWeight := s.weightOf(c.stage), s.weightOf(known.stage)
	if ok && (weight < knownWeight || weight == knownWeight && c.stage >= known.stage) || !ok && len(s.crashes) >= maxCrashes {
		return false
	}
	c.local = c.local || known.local
	s.crashes[ep] = c
	if c.at.After(s.latest) {
		s.latest = c.at
	}
	return true
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

// suspects holds suspects by fingerprint.
type suspects struct {
	all map[Fingerprint]*suspect
	// order lists them, the one that got a crash last at the back.
	order *list.List
}

func newSuspects() suspects { return suspects{all: map[Fingerprint]*suspect{}, order: list.New()} }

// getOrAdd returns the suspect with a fingerprint, adding it if there is none.
func (l suspects) getOrAdd(f Fingerprint, part bool) *suspect {
	if s := l.all[f]; s != nil {
		return s
	}
	if len(l.all) >= maxSuspects {
		l.evict()
	}
	s := &suspect{fingerprint: f, part: part, crashes: map[fleet.EndpointID]crash{}}
	s.element = l.order.PushBack(s)
	l.all[f] = s
	return s
}

// evict removes the oldest suspect, but spares some that were at more than one crash.
func (l suspects) evict() {
	oldest := l.order.Front()
	e := oldest
	for range maxSpared {
		if e == nil {
			break
		}
		if s := e.Value.(*suspect); len(s.crashes) < 2 {
			l.remove(s)
			return
		}
		e = e.Next()
	}
	l.remove(oldest.Value.(*suspect))
}

// touch makes a suspect the one that got a crash last.
func (l suspects) touch(s *suspect, now time.Time) {
	s.updated = now
	l.order.MoveToBack(s.element)
}

// since returns the suspects that got a crash since a time.
func (l suspects) since(then time.Time) []*suspect {
	var out []*suspect
	for e := l.order.Back(); e != nil; e = e.Prev() {
		s := e.Value.(*suspect)
		if s.updated.Before(then) {
			break
		}
		out = append(out, s)
	}
	return out
}

func (l suspects) remove(s *suspect) {
	l.order.Remove(s.element)
	delete(l.all, s.fingerprint)
}

// expire removes suspects without a crash since cutoff, and reports whether there were any.
func (l suspects) expire(cutoff time.Time) bool {
	before := len(l.all)
	for _, s := range l.all {
		if s.latest.Before(cutoff) {
			l.remove(s)
		}
	}
	return len(l.all) < before
}
