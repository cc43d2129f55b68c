package quarantine

import "time"

// Bounds of one generation of the requests that were answered.
const (
	mostServed = 4096
	servedFor  = 5 * time.Minute
)

// served are the requests that were answered of late, in two generations: when one is
// full or old it becomes the former, and the former is forgotten.
type served struct {
	present, former map[Fingerprint]struct{}
	begun           time.Time // of the present generation
}

func (s *served) add(f Fingerprint, now time.Time) {
	if s.present == nil || len(s.present) >= mostServed || now.Sub(s.begun) > servedFor {
		s.former, s.present, s.begun = s.present, map[Fingerprint]struct{}{}, now
	}
	s.present[f] = struct{}{}
}

func (s *served) has(f Fingerprint) bool {
	if _, ok := s.present[f]; ok {
		return true
	}
	_, ok := s.former[f]
	return ok
}
