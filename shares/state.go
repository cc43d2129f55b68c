package shares

import (
	"cmp"
	"slices"
)

// State is the state of a table for the state dump.
type State struct {
	Enabled bool `json:"enabled"`
	// Entries is the number of other entries whose demand is included.
	Entries int `json:"entries"`
	// UsualKnown: there were enough samples of usual demand.
	UsualKnown bool            `json:"usual_known"`
	Services   []ServiceState  `json:"services"`
	Customers  []CustomerState `json:"customers"`
}

// ServiceState is the delays and shortage at one service.
type ServiceState struct {
	Service          string  `json:"service"`
	Shortage         float64 `json:"shortage"`
	SeveralUrgencies bool    `json:"several_urgencies"`
	// DelaysPermille is the mean delay of first events by urgency, in thousandths of the objective.
	DelaysPermille map[int]int `json:"delays_permille"`
}

// CustomerState is the demand of one customer at one service, in milliseconds of engine time per second.
type CustomerState struct {
	Service  string  `json:"service"`
	Customer string  `json:"customer"`
	Own      int     `json:"own"`    // at this entry
	Demand   int     `json:"demand"` // at all entries that told theirs
	Usual    int     `json:"usual"`
	Excess   float64 `json:"excess"` // part of the demand that is over the share
}

// maxDumped bounds the customers in the state dump.
const maxDumped = 64

// State returns the services and the customers with the largest demand.
func (t *Table) State() State {
	if t == nil {
		return State{}
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	out := State{Enabled: true, Entries: len(t.told)}
	slot := t.delaySlot(now)
	for _, s := range t.services {
		if s.name != "" {
			out.Services = append(out.Services, ServiceState{s.name, s.shortage(LeastUrgent, slot), s.severalUrgencies(now), s.delaysPermille(slot)})
		}
	}
	for k, d := range t.demands {
		usual, known := t.usualRate(d)
		out.UsualKnown = known
		if s := t.services[k.service]; s != nil && d.customer != "" {
			since := now.Sub(t.start)
			out.Customers = append(out.Customers, CustomerState{s.name, d.customer, int(d.ownRate(since)), int(d.rate(since)), int(usual), float64(d.excess)})
		}
	}
	slices.SortFunc(out.Services, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(out.Customers, func(a, b CustomerState) int { return cmp.Compare(b.Demand, a.Demand) })
	out.Customers = out.Customers[:min(len(out.Customers), maxDumped)]
	return out
}
