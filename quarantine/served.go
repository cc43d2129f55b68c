package quarantine

import "time"

// Bounds of one generation of served requests.
const (
	maxServed    = 4096
	maxServedAge = 5 * time.Minute
)

// served holds recently answered requests in two generations: when the current one is
// full or too old it becomes the previous one, which is dropped.
type served struct {
	current, previous map[Fingerprint]struct{}
	started           time.Time // of the current generation
}

func (s *served) add(f Fingerprint, now time.Time) {
	if s.current == nil || len(s.current) >= maxServed || now.Sub(s.started) > maxServedAge {
		s.previous, s.current, s.started = s.current, map[Fingerprint]struct{}{}, now
	}
	s.current[f] = struct{}{}
}

func (s *served) has(f Fingerprint) bool {
	if _, ok := s.current[f]; ok {
		return true
	}
	_, ok := s.previous[f]
	return ok
}
