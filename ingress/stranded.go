package ingress

import "time"

// stranded reports whether this entry reaches no failure domain whose endpoints it may use, as when
// its own is both evacuated and cut off. Its callers are better off at entries of other domains: it
// reports that it is not ready, and refuses requests with an answer that closes the connection.
//
// News of the store after the last failure show that the entry reaches others again.
func (s *Server) stranded() bool {
	domains := s.Fleet.View().OpenDomains()
	if len(domains) == 0 {
		return false // so it is for all entries
	}
	var last time.Time
	for _, d := range domains {
		at, lost := s.Board.LostSinceReached(d)
		if !lost {
			return false
		}
		if at.After(last) {
			last = at
		}
	}
	age, ok := s.Fleet.Age()
	return !ok || s.Clock.Now().Add(-age).Before(last)
}
