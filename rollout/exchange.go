package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Roll-out state exchanged between entries.
type (
	// OrderState is the state of one order on an entry.
	OrderState struct {
		Service string
		Ordered kv.Revision
		Age     time.Duration
		Halted  bool
		// PromotedAgo is the time since the entry raised the share above the canary share, if
		// Promoted.
		PromotedAgo time.Duration
		Promoted    bool
	}
	// Row holds the counts of one source.
	Row struct {
		Source
		Counts
	}
)

// Snapshot returns the orders, counts and sessions to send to other entries.
func (c *Controller) Snapshot() ([]OrderState, []Row, []Session) {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []OrderState
	var rows []Row
	for service, t := range c.trackers {
		g := v.Group(service)
		if g == nil || g.Rollout == nil || g.Rollout.First != t.first || g.Rollout.State == fleet.RolloutDone {
			continue
		}
		if t = c.trackerLocked(g.Rollout); t.ordered != g.Rollout.Ordered {
			continue
		}
		if g.Rollout.State == fleet.RolloutRolledBack {
			// An entry with a stale copy of the store treats the order as running, and this
			// one may never have halted the version itself.
			states = append(states, OrderState{Service: service, Ordered: t.ordered, Age: c.Clock.Since(t.orderedAt), Halted: true})
			continue
		}
		states = append(states, OrderState{Service: service, Ordered: t.ordered, Age: c.Clock.Since(t.orderedAt), Halted: t.halted,
			Promoted: !t.promotedAt.IsZero(), PromotedAgo: c.Clock.Since(t.promotedAt)})
		for s, n := range t.evidence.rows {
			rows = append(rows, Row{s, n})
		}
	}
	return states, rows, c.sessions.snapshot(c.Clock.Now())
}

// Merge merges the state received from another entry.
func (c *Controller) Merge(states []OrderState, rows []Row, active []Session) {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range active {
		c.sessions.record(s.Hash, c.Clock.Now().Add(-s.Ago))
	}
	for _, o := range states {
		t := c.knownLocked(v, o.Service, o.Ordered)
		if t == nil {
			continue
		}
		if seen := c.Clock.Now().Add(-o.Age); seen.Before(t.orderedAt) {
			t.orderedAt = seen
		}
		if o.Promoted && t.promotedAt.IsZero() && t.late(v.Group(o.Service).Rollout.Duration) {
			t.promotedAt = c.Clock.Now().Add(-o.PromotedAgo)
		}
		if o.Halted && !t.halted {
			t.halted = true
			c.Log.Warn("rollout: another entry halted the version.", "service", o.Service, "order", o.Ordered)
		}
	}
	for _, row := range rows {
		if row.Instance == c.Instance && row.Boot == c.Boot {
			continue
		}
		if t := c.knownLocked(v, row.Service, row.Ordered); t != nil && t.evidence.update(row.Source, row.Counts, c.Clock.Now()) {
			c.haltIfBadLocked(v.Group(row.Service), t)
		}
	}
}

// knownLocked returns the tracker of an order, or nil if the view does not have that order.
func (c *Controller) knownLocked(v *fleet.View, service string, ordered kv.Revision) *tracker {
	g := v.Group(service)
	if g == nil || g.Rollout == nil || g.Rollout.Ordered != ordered {
		return nil
	}
	return c.trackerLocked(g.Rollout)
}

func isFinal(s fleet.RolloutState) bool {
	return s == fleet.RolloutDone || s == fleet.RolloutRolledBack
}
