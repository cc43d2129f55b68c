package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Tick records states that are due. It is called every Interval.
func (c *Controller) Tick(ctx context.Context) {
	v := c.View()
	for _, g := range v.Groups() {
		if g.Rollout == nil || final(g.Rollout.State) {
			continue
		}
		if state, ok := c.due(v, g); ok && c.recordWithdrawn(ctx, g.Withdrawn) {
			c.record(ctx, g.Rollout, state)
		}
	}
}

// due returns the state to record now, if it is this entry's turn.
func (c *Controller) due(v *fleet.View, g *fleet.Group) (fleet.RolloutState, bool) {
	r := g.Rollout
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackLocked(r)
	c.giveUpTrialLocked(r, t)
	now := c.Clock.Now()
	want := fleet.RolloutRunning
	switch {
	case t.halted:
		want = fleet.RolloutRolledBack
	case Due(now.Sub(t.seen), r.Duration) && hasVersion(g.Ready, r.Target) && c.settledLocked(t, g):
		want = fleet.RolloutDone
	}
	if want == r.State {
		return "", false
	}
	if want != t.wanted {
		t.wanted, t.wantedAt, t.written = want, now, time.Time{}
	}
	if now.Sub(t.wantedAt) < c.turnOf(v) || now.Sub(t.written) < recordAgain {
		return "", false
	}
	t.written = now
	return want, true
}

// settledLocked reports whether all requests have been on the new version for a
// while, without doubt: when it is done, the old endpoints stop at once, with
// whatever they are still at.
func (c *Controller) settledLocked(t *track, g *fleet.Group) bool {
	r := g.Rollout
	older, _ := split(g.Ready, r.Target)
	c.shareLocked(t, r, len(older)) // an entry without requests moves on here
	return !t.movedOn.IsZero() && progress(c.Clock.Since(t.movedOn), r.Duration) >= settleFor && !t.evidence.doubt(c.decisionTimeLocked(t, r))
}

func hasVersion(all []fleet.Endpoint, version string) bool {
	for _, ep := range all {
		if ep.Version == version {
			return true
		}
	}
	return false
}

// turnOf is how long this entry leaves it to those before it.
func (c *Controller) turnOf(v *fleet.View) time.Duration {
	for i, e := range v.Entries {
		if e.Instance == c.Instance {
			return time.Duration(min(i, mostTurns)) * turn
		}
	}
	return mostTurns * turn
}

// recordWithdrawn records the withdrawn versions of a service, if what is recorded of
// them is not the same, and reports whether it is now. It goes before the record of a
// state: that overwrites the one of the order before, which may be all that tells that
// its version was rolled back.
func (c *Controller) recordWithdrawn(ctx context.Context, w fleet.Withdrawn) bool {
	if !w.Changed() {
		return true
	}
	value, err := json.Marshal(w)
	if err != nil {
		c.Log.Error("rollout: withdrawn versions cannot be encoded.", "service", w.Service, "versions", w.Versions, "error", err)
		return false
	}
	ok, rev, _, err := c.Store.CompareAndPut(ctx, w.Key(), w.Recorded, value, 0)
	switch {
	case err != nil:
		c.Log.Warn("rollout: withdrawn versions not confirmed by the store; will write them again.", "service", w.Service, "versions", w.Versions, "condition", w.Recorded, "error", err)
	case !ok:
		c.Log.Info("rollout: other withdrawn versions were recorded meanwhile.", "service", w.Service, "condition", w.Recorded)
	default:
		c.Log.Info("rollout: withdrawn versions recorded.", "service", w.Service, "versions", w.Versions, "revision", rev)
	}
	return err == nil && ok
}

// record writes a state, if what was recorded last still stands. Whatever
// comes of it, the watch tells; a write whose answer was lost and that takes
// effect later still meets its condition.
func (c *Controller) record(ctx context.Context, r *fleet.Rollout, state fleet.RolloutState) {
	key, value, err := c.Decoder.EncodeRolloutStatus(r.Service, fleet.RolloutStatus{Target: r.Target, State: state})
	if err != nil {
		c.Log.Error("rollout: state cannot be encoded.", "service", r.Service, "state", state, "error", err)
		return
	}
	ok, rev, _, err := c.Store.CompareAndPut(ctx, key, r.Recorded, value, 0)
	switch {
	case err != nil:
		c.Log.Warn("rollout: state not confirmed by the store; will write it again.", "service", r.Service, "state", state, "condition", r.Recorded, "error", err)
	case !ok:
		c.Log.Info("rollout: something else was recorded meanwhile.", "service", r.Service, "state", state, "condition", r.Recorded)
	default:
		c.Log.Info("rollout: state recorded.", "service", r.Service, "state", state, "target", r.Target, "revision", rev)
	}
}
