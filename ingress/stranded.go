package ingress

import "time"

// stranded reports whether this entry reaches no endpoint that it may use, neither directly nor
// through other entries. Its callers are better off elsewhere: it reports that it is not ready, and
// refuses requests with an answer that closes the connection.
func (s *Server) stranded() bool {
	stranded := s.reachesNothing()
	if s.wasStranded.Swap(stranded) != stranded {
		s.metrics.stranded(stranded)
		message := "ingress: entry reaches endpoints again."
		if stranded {
			message = "ingress: entry reaches no endpoint that it may use; sending callers elsewhere."
		}
		view := s.Fleet.View()
		s.Log.Warn(message, "domains", view.OpenDomains(), "evacuated", view.Evacuated, "revision", view.Revision)
	}
	return stranded
}

// reachesNothing reports whether no service with endpoints is reached; without any endpoints, it is
// so for all entries.
func (s *Server) reachesNothing() bool {
	if !s.Egress.AnyDown() {
		return false
	}
	lost := false
	for _, g := range s.Fleet.View().Groups() {
		if len(g.Ready) == 0 {
			continue
		}
		if s.Egress.Reaches(g) {
			return false
		}
		lost = true
	}
	return lost
}

// linkTrips is how often a request and its answer wait for the link, at least.
const linkTrips = 3

// tooSlow reports whether the link's queue is so long that a request with this much time cannot be answered.
func (s *Server) tooSlow(limit time.Duration) bool { return linkTrips*s.Overload.LinkWait() > limit }
