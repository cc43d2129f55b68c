package ingress

import "time"

// stranded reports whether this entry reaches no failure domain whose endpoints it may use, as when
// its own is both evacuated and cut off. Its callers are better off at entries of other domains: it
// reports that it is not ready, and refuses requests with an answer that closes the connection.
func (s *Server) stranded() bool {
	stranded := s.reachesNothing()
	if s.wasStranded.Swap(stranded) != stranded {
		s.metrics.stranded(stranded)
		message := "ingress: entry reaches endpoints again."
		if stranded {
			message = "ingress: entry reaches no endpoint that it may use; sending callers elsewhere."
		}
		view := s.Fleet.View()
		s.Log.Warn(message, "domains", view.OpenDomains(), "evacuated", view.Evacuated, "revision", int64(view.Revision))
	}
	return stranded
}

// reachesNothing reports whether each failure domain with endpoints was lost since the last news of
// the store: later news show that the entry reaches others again.
func (s *Server) reachesNothing() bool {
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
