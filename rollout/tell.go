package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Rollout's state as entries tell each other.
type (
	// Told is one order as an entry knows it.
	Told struct {
		Service string
		Ordered kv.Revision
		Age     time.Duration
		Halted  bool
		// Moved is how long ago the entry went past the first share, if HasMoved.
		Moved    time.Duration
		HasMoved bool
	}
	// Row is one source's counts.
	Row struct {
		Source
		Counts
	}
)

// Tell returns what other entries should know.
func (c *Controller) Tell() ([]Told, []Row, []Session) {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	var told []Told
	var rows []Row
	for service, t := range c.tracks {
		g := v.Group(service)
		if g == nil || g.Rollout == nil || g.Rollout.Ordered != t.ordered || g.Rollout.State == fleet.RolloutDone {
			continue
		}
		if g.Rollout.State == fleet.RolloutRolledBack {
			// An entry whose copy of the store is behind takes the order to be under way, and
			// this one may never have halted the version itself.
			told = append(told, Told{Service: service, Ordered: t.ordered, Age: c.Clock.Since(t.seen), Halted: true})
			continue
		}
		told = append(told, Told{Service: service, Ordered: t.ordered, Age: c.Clock.Since(t.seen), Halted: t.halted,
			HasMoved: !t.movedOn.IsZero(), Moved: c.Clock.Since(t.movedOn)})
		for s, n := range t.evidence.rows {
			rows = append(rows, Row{s, n})
		}
	}
	return told, rows, c.sessions.tell(c.Clock.Now())
}

// Hear takes what another entry told.
func (c *Controller) Hear(told []Told, rows []Row, under []Session) {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range under {
		c.sessions.note(u.Hash, c.Clock.Now().Add(-u.Ago))
	}
	for _, o := range told {
		t := c.knownLocked(v, o.Service, o.Ordered)
		if t == nil {
			continue
		}
		if seen := c.Clock.Now().Add(-o.Age); seen.Before(t.seen) {
			t.seen = seen
		}
		if o.HasMoved && t.movedOn.IsZero() && t.late(v.Group(o.Service).Rollout.Duration) {
			t.movedOn = c.Clock.Now().Add(-o.Moved)
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
		if t := c.knownLocked(v, row.Service, row.Ordered); t != nil && t.evidence.take(row.Source, row.Counts, c.Clock.Now()) {
			c.judgeLocked(v.Group(row.Service), t)
		}
	}
}

// knownLocked returns the track of an order that the view knows too.
func (c *Controller) knownLocked(v *fleet.View, service string, ordered kv.Revision) *track {
	g := v.Group(service)
	if g == nil || g.Rollout == nil || g.Rollout.Ordered != ordered {
		return nil
	}
	return c.trackLocked(g.Rollout)
}

func final(s fleet.RolloutState) bool {
	return s == fleet.RolloutDone || s == fleet.RolloutRolledBack
}
