package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Tick records the states that are due. It is called every Interval.
func (c *Controller) Tick(ctx context.Context) {
	v := c.View()
	for _, g := range v.Groups() {
		if g.Withdrawn.Lost() && c.mayRecordLost(v, g) && !c.recordWithdrawn(ctx, g.Withdrawn) {
			continue
		}
		if g.Rollout == nil || isFinal(g.Rollout.State) && !g.Rollout.Unrecorded {
			continue
		}
		if state, ok := c.nextState(v, g); ok && c.recordWithdrawn(ctx, g.Withdrawn) {
			c.record(ctx, g.Rollout, state)
		}
	}
}

// nextState returns the state to record now, if this entry's delay has passed.
func (c *Controller) nextState(v *fleet.View, g *fleet.Group) (fleet.RolloutState, bool) {
	r := g.Rollout
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackerLocked(r)
	c.giveUpTrialLocked(r, t)
	now := c.Clock.Now()
	want := fleet.RolloutRunning
	switch {
	case t.halted:
		want = fleet.RolloutRolledBack
	case CompletionDue(now.Sub(t.orderedAt), r.Duration) && hasVersion(g.Ready, r.Target) && c.settledLocked(t, g):
		want = fleet.RolloutDone
	}
	if r.Unrecorded {
		want = r.State
	} else if want == r.State {
		return "", false
	}
	if want != t.dueState {
		t.dueState, t.dueSince, t.writtenAt = want, now, time.Time{}
	}
	if now.Sub(t.dueSince) < c.recordDelay(v) || now.Sub(t.writtenAt) < recordRetryInterval {
		return "", false
	}
	t.writtenAt = now
	return want, true
}

// mayRecordLost reports whether this entry's delay since the store lost a service's withdrawn versions
// has passed.
func (c *Controller) mayRecordLost(v *fleet.View, g *fleet.Group) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	lost, known := c.lost[g.Service.Name]
	if !known || lost.stored != g.Withdrawn.Recorded {
		lost = lostRecord{stored: g.Withdrawn.Recorded, since: now}
	}
	due := now.Sub(lost.since) >= c.recordDelay(v) && now.Sub(lost.writtenAt) >= recordRetryInterval
	if due {
		lost.writtenAt = now
	}
	c.lost[g.Service.Name] = lost
	return due
}

// lostRecord is a record that the store lost.
type lostRecord struct {
	stored           kv.Revision // what the store has instead
	since, writtenAt time.Time
}

// settledLocked reports whether all requests have been on the new version for settleFor
// without doubt. When the roll-out is done, the old endpoints stop at once and cut off
// their running requests.
func (c *Controller) settledLocked(t *tracker, g *fleet.Group) bool {
	r := g.Rollout
	older, _ := splitByVersion(g.Ready, r.Target)
	c.shareLocked(t, r, len(older)) // promotes on an entry without requests
	return !t.promotedAt.IsZero() && progress(c.Clock.Since(t.promotedAt), r.Duration) >= settleFor && !t.evidence.inDoubt(c.decisionProgressLocked(t, r))
}

func hasVersion(all []fleet.Endpoint, version string) bool {
	for _, ep := range all {
		if ep.Version == version {
			return true
		}
	}
	return false
}

// recordDelay returns how long this entry waits for the entries before it in the list to
// record.
func (c *Controller) recordDelay(v *fleet.View) time.Duration {
	for i, e := range v.Entries {
		if e.Instance == c.Instance {
			return time.Duration(min(i, maxStaggerSteps)) * recordStagger
		}
	}
	return maxStaggerSteps * recordStagger
}

// recordWithdrawn records the withdrawn versions of a service if the recorded ones differ,
// and reports whether the record is current. It must precede the record of a new state:
// that overwrites the state of the previous order, which may be the only evidence that its
// version was rolled back.
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

// record writes a state on condition that the last recorded one is unchanged. The outcome
// is learned from the watch; the condition also protects a write that takes effect late
// after its answer was lost.
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
		c.Log.Info("rollout: state not recorded; the record was changed meanwhile.", "service", r.Service, "state", state, "condition", r.Recorded)
	default:
		c.Log.Info("rollout: state recorded.", "service", r.Service, "state", state, "target", r.Target, "revision", rev)
	}
}
