package admission

import "time"

// refuser is an endpoint that refused a request for want of capacity. While requests wait, it gets one for
// each slot that is known to be free there, and one at intervals to find out whether others are: with no
// such bound, 36 slots of 60 ms got 120,000 sends in five seconds, of which 3,000 were served.
type refuser struct {
	at      time.Time // of the last refusal
	probeAt time.Time // when it gets a request without a sign of a free slot
	free    int       // slots known to be free
}

func (e *refuser) open(now time.Time) bool { return e.free > 0 || !now.Before(e.probeAt) }

// took records that a request is sent there.
func (e *refuser) took(now time.Time) {
	if e.free > 0 {
		e.free--
		return
	}
	e.probeAt = now.Add(fullFor)
}

// ended records that a request of this entry ended there. If the endpoint has refused nothing since, it
// is used for one more at the same time.
func (e *refuser) ended(now time.Time) {
	e.free++
	if now.Sub(e.at) >= fullFor {
		e.free++
	}
}

// maxRefusing is how many endpoints of a service are remembered, about, however long requests wait.
const maxRefusing = 2048

// sweepRefusing forgets the refusals once no request waits and they are old.
func (s *service) sweepRefusing(now time.Time) {
	if len(s.waiting) == 0 {
		s.forgetOldRefusals(now)
	}
}

func (s *service) forgetOldRefusals(now time.Time) {
	for id, e := range s.refusing {
		if now.Sub(e.at) >= fullFor {
			delete(s.refusing, id)
		}
	}
}
