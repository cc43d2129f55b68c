package shares

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
)

// LeastUrgent is the urgency of requests in excess of their customers' shares, the last that engines serve.
const LeastUrgent = 9

// urgencies is the number of urgencies.
const urgencies = LeastUrgent + 1

// Deps are the dependencies of a Table.
type Deps struct {
	Clock clockwork.Clock
	Log   *slog.Logger // nil: nothing is logged
	Scope tally.Scope  // nil: no metrics
}

// Table holds the delays of services by urgency and the demand of their customers, as this entry has seen them and as
// other entries told them. A nil Table knows of no shortage. It is safe for concurrent use.
type Table struct {
	Deps
	start time.Time

	mu       sync.Mutex
	services map[uint32]*service
	demands  map[demandKey]*demand
	told     map[string]*toldDemand // by entry
	usual    usualSamples
	// refreshed is when the shares were last computed, swept when unused state was last removed.
	refreshed, swept time.Time
	overShare        int // customers over their shares at a service that is short of capacity
}

// New returns a Table that knows nothing.
func New(d Deps) *Table {
	if d.Log == nil {
		d.Log = slog.New(slog.DiscardHandler)
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	now := d.Clock.Now()
	return &Table{Deps: d, start: now, services: map[uint32]*service{}, demands: map[demandKey]*demand{}, told: map[string]*toldDemand{}, swept: now}
}

// service is the state of one service.
type service struct {
	name   string // empty: this entry had no request for it
	delays [urgencies]delayStats
	// asked is when this entry last had a request of each urgency, as its route and customer set it.
	asked [urgencies]time.Time
	used  time.Time
	// meanCost is the mean engine time of the larger models that requests were considered for, in seconds; 0: unknown.
	meanCost float64
	// short: the service is short of capacity as logged; shortUntil is when it counts as over unless it is seen again.
	short      bool
	shortUntil time.Time
	// unequalUntil is when the delays of less urgent requests no longer matter to requests of the strictest objective.
	unequalUntil time.Time
}

func (t *Table) serviceLocked(hash uint32, now time.Time) *service {
	s := t.services[hash]
	if s == nil {
		s = &service{}
		t.services[hash] = s
	}
	s.used = now
	return s
}

func (t *Table) namedLocked(name string, now time.Time) *service {
	s := t.serviceLocked(hashOf(name), now)
	s.name = name
	return s
}

// Standing is what a request may claim of its service.
type Standing struct {
	// Urgency ranks the request at the engines: its own urgency, or LeastUrgent if it is in excess.
	Urgency int
	// Delay is the mean delay of first events at Urgency, as a fraction of the objective.
	Delay float64
	// Shortage, 0 to 1, is that among requests at least as urgent as Urgency.
	Shortage float64
	// ServiceShortage is the shortage among all requests of the service. Short: it is above 0, or was within the last
	// seconds.
	ServiceShortage float64
	Short           bool
	// OverShare: the request is in the part of its customer's demand that is over the share. InExcess: it is, and the
	// service is short of capacity.
	OverShare, InExcess bool
	// SeveralUrgencies: the service's requests differ in urgency.
	SeveralUrgencies bool
	// Rank is the number of more urgent kinds of requests that the service has.
	Rank int
	// ByUrgency: they do, and the delays at some urgency are, or were within the last seconds, a shortage in relation to
	// the service's strictest objective. A mean delay over all requests does not apply then.
	ByUrgency bool
	// delayKnown: Delay is the mean of enough answers.
	delayKnown bool
}

// askedWithin is how long an urgency counts as one of the service's after its last request.
const askedWithin = time.Minute

// Standing returns the standing of a request now. The requests in excess are chosen by their ids, so that other entries
// choose the same ones.
func (t *Table) Standing(name, customer string, urgency int, id string) Standing {
	urgency = clampUrgency(urgency)
	if t == nil {
		return Standing{Urgency: urgency}
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	s := t.namedLocked(name, now)
	s.asked[urgency] = now
	out := Standing{Urgency: urgency}
	if d := t.demands[demandKey{hashOf(name), hashOf(customer)}]; d != nil {
		out.OverShare = idFraction(id) < float64(d.excess)
	}
	if out.OverShare && s.shortAt(now) {
		out.InExcess, out.Urgency = true, LeastUrgent
	}
	t.fillDelaysLocked(s, &out, now)
	return out
}

// Now returns a standing with the delays and shortage of this moment. Whether the request is in excess does not change,
// as its rank at the engines was sent.
func (t *Table) Now(name string, st Standing) Standing {
	if t == nil {
		return st
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fillDelaysLocked(t.namedLocked(name, now), &st, now)
	return st
}

func (t *Table) fillDelaysLocked(s *service, st *Standing, now time.Time) {
	slot := t.delaySlot(now)
	st.Delay, st.delayKnown = s.delays[st.Urgency].meanOf(slot)
	st.Shortage = s.shortage(st.Urgency, slot)
	st.ServiceShortage, st.Short = s.shortage(LeastUrgent, slot), s.shortAt(now)
	st.SeveralUrgencies = s.severalUrgencies(now)
	st.Rank = s.rank(st.Urgency, now)
	st.ByUrgency = st.SeveralUrgencies && (st.Short || now.Before(s.unequalUntil))
}

// severalUrgencies reports whether this entry's requests for the service differ in urgency.
func (s *service) severalUrgencies(now time.Time) bool {
	n := 0
	for _, at := range s.asked {
		if !at.IsZero() && now.Sub(at) < askedWithin {
			n++
		}
	}
	return n > 1
}

// rank returns the number of this entry's urgencies that go before the given one.
func (s *service) rank(urgency int, now time.Time) int {
	n := 0
	for _, at := range s.asked[:urgency] {
		if !at.IsZero() && now.Sub(at) < askedWithin {
			n++
		}
	}
	return n
}

func clampUrgency(urgency int) int { return min(max(urgency, 0), LeastUrgent) }

func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// idFraction maps a request's id to a number from 0 to 1.
func idFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// maxWaitFactor bounds the known wait at an endpoint by the delay at the request's urgency: the work that waits there is
// also that of less urgent requests, which are served later.
const maxWaitFactor = 2

// Wait returns how long a request is expected to wait, by the known wait at the endpoint for it and the delay at its
// urgency.
func (s Standing) Wait(known, objective time.Duration) time.Duration {
	delay := time.Duration(s.Delay * float64(objective))
	if !s.delayKnown {
		return max(delay, known)
	}
	return max(delay, min(known, maxWaitFactor*delay))
}
