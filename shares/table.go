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
	// short is the shortage as logged; shortUntil is when it counts as over unless it is seen again.
	short      bool
	shortUntil time.Time
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
	// ServiceShortage is the shortage among all requests of the service.
	ServiceShortage float64
	// OverShare: the request is in the part of its customer's demand that is over the share. InExcess: it is, and the
	// service is short of capacity.
	OverShare, InExcess bool
	// SeveralUrgencies: the service's requests differ in urgency.
	SeveralUrgencies bool
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
	out := Standing{Urgency: urgency, ServiceShortage: s.shortage(LeastUrgent, t.delaySlot(now))}
	if d := t.demands[demandKey{hashOf(name), hashOf(customer)}]; d != nil {
		out.OverShare = idFraction(id) < float64(d.excess)
	}
	if out.OverShare && out.ServiceShortage > 0 {
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
	st.Delay = s.delays[st.Urgency].mean(slot)
	st.Shortage = s.shortage(st.Urgency, slot)
	st.ServiceShortage = s.shortage(LeastUrgent, slot)
	st.SeveralUrgencies = s.severalUrgencies(now)
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

func clampUrgency(urgency int) int { return min(max(urgency, 0), LeastUrgent) }

func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// idFraction maps a request's id to a number from 0 to 1.
func idFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
