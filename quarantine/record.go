package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Recording of guilty requests.
const (
	// Interval is the time between two calls of Tick.
	Interval = 200 * time.Millisecond
	// settles is how long a request must have been taken for guilty: of several that were
	// at the same crashes some are excused a moment later.
	settles = 200 * time.Millisecond
	// othersRecord is how long it is left to the entries that saw a crash themselves.
	othersRecord = 3 * time.Second
	// recordAgain is when a record that was not confirmed is tried again.
	recordAgain = time.Second
	// mostRecorded bounds the records.
	mostRecorded = 1024
)

// Tick forgets what is old and records the guilty requests that are not yet recorded. It
// is called every Interval.
func (t *Table) Tick(ctx context.Context) {
	for f, record := range t.due() {
		t.record(ctx, f, record)
	}
}

// due returns the records that this entry should write now.
func (t *Table) due() map[Fingerprint]fleet.Quarantined {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeRecordsLocked()
	if t.suspects.lapse(now.Add(-life)) {
		t.judgeLocked()
	}
	for f := range t.wrote {
		if _, guilty := t.guilty[f]; !guilty {
			delete(t.wrote, f)
		}
	}
	out := map[Fingerprint]fleet.Quarantined{}
	if t.Store == nil || t.records.Len() >= mostRecorded {
		return out
	}
	for f, since := range t.guilty {
		s := t.suspects[f]
		if s == nil || t.records.Has(uint64(f)) || now.Sub(t.wrote[f]) < recordAgain {
			continue
		}
		if wait := now.Sub(since); wait >= othersRecord || s.seenHere() && wait >= settles {
			t.wrote[f] = now
			out[f] = fleet.Quarantined{Fingerprint: f.String(), Crashed: s.endpoints()}
		}
	}
	return out
}

// record writes a record that lapses by itself, unless there is one.
func (t *Table) record(ctx context.Context, f Fingerprint, q fleet.Quarantined) {
	value, err := json.Marshal(q)
	if err != nil {
		t.Log.Error("quarantine: record cannot be encoded.", "fingerprint", q.Fingerprint, "error", err)
		return
	}
	lease, err := t.Store.Grant(ctx, life)
	if err != nil {
		t.Log.Warn("quarantine: the store grants no lease; will record the request later.", "fingerprint", q.Fingerprint, "error", err)
		return
	}
	ok, rev, _, err := t.Store.CompareAndPut(ctx, q.Key(), 0, value, lease)
	switch {
	case err != nil:
		t.Log.Warn("quarantine: record not confirmed by the store; will write it again.", "fingerprint", q.Fingerprint, "error", err)
	case ok:
		t.Log.Info("quarantine: request recorded.", "fingerprint", q.Fingerprint, "endpoints", q.Crashed, "revision", rev)
	default:
		t.Log.Info("quarantine: another entry recorded the request.", "fingerprint", q.Fingerprint)
		if err := t.Store.Revoke(ctx, lease); err != nil {
			t.Log.Info("quarantine: lease not given back; it lapses.", "lease", lease, "error", err)
		}
	}
}
