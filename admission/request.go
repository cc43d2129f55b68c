package admission

import (
	"slices"
	"time"
)

// Request describes a request to the queue.
type Request struct {
	Service, ID string
	// Urgency is the request's priority; 0 is the most urgent.
	Urgency int
	// Excess: the request is in excess of its customer's share.
	Excess bool
	// Received is when it arrived at this entry.
	Received time.Time
	// Due is the moment by which it ranks among requests of equal urgency. It follows from the deadline
	// and not from the arrival, so that coming back gives no advantage over waiting.
	Due time.Time
	// Overdue: it can no longer be answered in time. It ranks behind those of equal urgency that can, and
	// so does a Hasty one, whose caller came back sooner than any entry tells it to.
	Overdue, Hasty bool
	// ObjectiveAt is until when an answer is within the objective, Deadline until when one is awaited.
	ObjectiveAt, Deadline time.Time
	// Takes is the expected time from capacity to what the objective counts: the answer, or the first
	// event of a stream.
	Takes time.Duration
	Bytes int64 // of the body
}

// SetObjective sets until when an answer is within the objective. allowed is the time that callers allow
// for the first send of such a request; of one that has come back less is left.
func (r *Request) SetObjective(objective, allowed time.Duration) {
	r.Due = r.Deadline.Add(objective - allowed)
	r.ObjectiveAt = r.Received.Add(min(objective, r.Deadline.Sub(r.Received)))
	spent := allowed - r.Deadline.Sub(r.Received)
	r.Hasty = spent >= hastyFrom && spent < minReturn
	r.Overdue = r.Due.Before(r.Received.Add(r.Takes))
	if !r.Overdue && r.Due.Before(r.ObjectiveAt) {
		r.ObjectiveAt = r.Due
	}
}

// hastyFrom is how much less time than usual a caller has left if it came back at once. Callers tell their
// time in milliseconds, so that one less says nothing.
const hastyFrom = 2 * time.Millisecond

// classes is the number of ranks that demand and promises are counted by: ten urgencies, and the requests
// in excess of their customer's share.
const classes = 11

// class returns the request's rank, without the time that it has left.
func (r *Request) class() int {
	if r.Excess {
		return classes - 1
	}
	return min(max(r.Urgency, 0), classes-2)
}

// objective returns the time within which the request was to be answered when it arrived.
func (r *Request) objective() time.Duration { return r.ObjectiveAt.Sub(r.Received) }

// firm reports whether the request has waited for so long that it may no longer be refused because of a
// prediction.
func (r *Request) firm(now time.Time) bool {
	return now.Sub(r.Received) >= r.objective()/refusalDivisor
}

type placeState int

const (
	outside placeState = iota // not waiting
	waiting
	trying // signalled to look for capacity; keeps its place meanwhile
)

// Place is a request's place in a Queue. Its fields are guarded by the queue's lock.
type Place struct {
	Request
	signals chan Signal
	seq     int64 // breaks ties
	state   placeState
	since   time.Time // when it began to wait
	waited  bool      // at any time
	told    bool      // of the stop
}

// Signals returns the channel on which a waiting request learns what to do.
func (p *Place) Signals() <-chan Signal { return p.signals }

// before reports whether p is served before o.
func (p *Place) before(o *Place) bool {
	switch {
	case p.Excess != o.Excess:
		return o.Excess
	case p.Urgency != o.Urgency:
		return p.Urgency < o.Urgency
	case p.behind() != o.behind():
		return o.behind()
	case !p.Due.Equal(o.Due):
		return p.Due.Before(o.Due)
	}
	return p.seq < o.seq
}

// behind reports whether the request ranks behind others of equal urgency.
func (p *Place) behind() bool { return p.Overdue || p.Hasty }

// insert adds p to the places in order.
func insert(places []*Place, p *Place) []*Place {
	i, _ := slices.BinarySearchFunc(places, p, func(a, b *Place) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(places, i, p)
}

// SignalKind is what a waiting request is to do.
type SignalKind int

const (
	// Try: look for capacity, and report the result with Took or Missed.
	Try SignalKind = iota
	// Refuse: the request does not wait any longer.
	Refuse
	// Stopping: the entry stops. The request may be handed to another entry and waits on until then.
	Stopping
)

// Signal tells a waiting request what to do.
type Signal struct {
	Kind   SignalKind
	Reason Reason // of Refuse
}

// Reason is why a request does not wait.
type Reason string

// Reasons.
const (
	// TooLate: it would not be answered within its objective.
	TooLate   Reason = "would_be_late"
	QueueFull Reason = "queue_full"
	BytesFull Reason = "bodies_fill_queue"
	// TooEarly: its caller came back before the moment that it was told.
	TooEarly Reason = "back_too_early"
	Off      Reason = "waiting_off"
)
