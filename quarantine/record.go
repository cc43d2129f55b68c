package quarantine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Recording of quarantined requests.
const (
	// Interval is the time between two calls of Tick.
	Interval = 200 * time.Millisecond
	// settleTime is how long a request must have been quarantined before it is recorded: of
	// several that were at the same crashes some are released a moment later.
	settleTime = 200 * time.Millisecond
	// remoteRecordDelay is how long entries that observed none of the crashes leave the
	// recording to those that did.
	remoteRecordDelay = 3 * time.Second
	// recordRetry is the time after which an unconfirmed record is written again.
	recordRetry = time.Second
	// lostRecordDelay is how long other entries leave a record that the store lost to its owner.
	lostRecordDelay = time.Second
	// maxRecords bounds the records in the store.
	maxRecords = 1024
)

// recordSet is the store's records of requests and of parts.
type recordSet struct{ requests, parts *fleet.Quarantine }

// recorded is one record.
type recorded struct {
	fingerprint Fingerprint
	part        bool
	endpoints   []fleet.EndpointID
}

func (r recordSet) has(f Fingerprint) bool {
	return r.requests.Has(uint64(f)) || r.parts.Has(uint64(f))
}

func (r recordSet) len() int { return r.requests.Len() + r.parts.Len() }

func (r recordSet) all() []recorded {
	out := make([]recorded, 0, r.len())
	for f, endpoints := range r.requests.All() {
		out = append(out, recorded{fingerprint: Fingerprint(f), endpoints: endpoints})
	}
	for f, endpoints := range r.parts.All() {
		out = append(out, recorded{fingerprint: Fingerprint(f), part: true, endpoints: endpoints})
	}
	return out
}

// recordedLocked returns the records, without those of what endpoints have answered since.
func (t *Table) recordedLocked() []recorded {
	var out []recorded
	for _, r := range t.records.all() {
		if !t.outdatedLocked(r) {
			out = append(out, r)
		}
	}
	return out
}

// outdatedLocked reports whether what a record is about was answered since the record became known.
func (t *Table) outdatedLocked(r recorded) bool {
	at, _ := t.clearancesOf(r.part).latest(r.fingerprint)
	return at.After(t.recordedAt[r.fingerprint])
}

// Tick expires old suspects, records the quarantined requests that are not yet recorded, and removes
// outdated records. It is called every Interval.
func (t *Table) Tick(ctx context.Context) {
	records, outdated := t.dueWrites()
	for f, record := range records {
		t.record(ctx, f, record)
	}
	for _, key := range outdated {
		if _, err := t.Store.Delete(ctx, key, false); err != nil {
			t.Log.Warn("quarantine: store did not confirm the removal of an outdated record; will retry.", "key", key, "error", err)
		}
	}
	for _, lost := range t.dueLost() {
		t.recordAgain(ctx, lost)
	}
	s := t.State()
	t.Scope.Gauge("suspects").Update(float64(s.Suspects))
	t.Scope.Gauge("quarantined").Update(float64(len(s.Quarantined)))
	t.Scope.Gauge("quarantined_parts").Update(float64(len(s.Parts)))
}

// dueWrites returns the records that this entry should write now, and the keys of those that it should
// remove.
func (t *Table) dueWrites() (records map[Fingerprint]fleet.Quarantined, outdated []string) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncRecordsLocked()
	if t.suspects.expire(now.Add(-retention)) || len(t.pending) > 0 {
		t.reevaluateLocked()
	}
	for f, until := range t.contested {
		if now.After(until) {
			delete(t.contested, f)
		}
	}
	for f, at := range t.lastWrite {
		if now.Sub(at) > retention {
			delete(t.lastWrite, f)
		}
	}
	if t.Store == nil {
		return nil, nil
	}
	return t.dueRecordsLocked(now), t.outdatedKeysLocked(now)
}

func (t *Table) dueRecordsLocked(now time.Time) map[Fingerprint]fleet.Quarantined {
	out := map[Fingerprint]fleet.Quarantined{}
	if t.records.len() >= maxRecords {
		return out
	}
	for f, c := range t.quarantined {
		s := t.suspects.all[f]
		if s == nil || len(c.members) > 1 || t.records.has(f) || !t.mayWriteLocked(f, now) {
			continue
		}
		if wait := now.Sub(c.since); wait >= remoteRecordDelay || s.observedLocally() && wait >= settleTime {
			t.lastWrite[f] = now
			out[f] = fleet.Quarantined{Fingerprint: f.String(), Part: c.part, Crashed: s.endpoints()}
		}
	}
	return out
}

// outdatedKeysLocked returns the keys of records of parts that this entry saw answered since, or that by
// its own evidence were only beside the cause.
func (t *Table) outdatedKeysLocked(now time.Time) []string {
	var out []string
	for _, r := range t.records.all() {
		_, local := t.cleared.latest(r.fingerprint)
		answered := local && t.outdatedLocked(r)
		acquitted := t.quarantined[r.fingerprint] == nil && t.judgesLocked(r.fingerprint) && t.suspects.all[r.fingerprint].observedLocally()
		if !r.part || !answered && !acquitted || !t.mayWriteLocked(r.fingerprint, now) {
			continue
		}
		t.lastWrite[r.fingerprint] = now
		out = append(out, fleet.Quarantined{Fingerprint: r.fingerprint.String(), Part: true}.Key())
	}
	return out
}

func (t *Table) mayWriteLocked(f Fingerprint, now time.Time) bool {
	return now.Sub(t.lastWrite[f]) >= recordRetry
}

// dueLost returns the records that the store lost, or whose removal it lost, and that this entry should
// write or remove again now: their owner does, and others if it does not.
func (t *Table) dueLost() []fleet.LostRecord {
	if t.Store == nil || t.View == nil {
		return nil
	}
	v := t.View()
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.lostSince
	t.lostSince = map[string]time.Time{}
	var due []fleet.LostRecord
	for _, lost := range v.Lost {
		f, ok := fingerprintOfKey(lost.Key)
		if !ok {
			continue
		}
		since, was := known[lost.Key]
		if !was {
			since = now
		}
		t.lostSince[lost.Key] = since
		if owns := t.Owns != nil && t.Owns(f); (owns || now.Sub(since) >= lostRecordDelay) && t.mayWriteLocked(f, now) {
			t.lastWrite[f] = now
			due = append(due, lost)
		}
	}
	return due
}

// recordAgain writes or removes a record again, unless another entry changed it since.
func (t *Table) recordAgain(ctx context.Context, lost fleet.LostRecord) {
	var ok bool
	var err error
	if lost.Value == nil {
		ok, err = t.Store.CompareAndDelete(ctx, lost.Key, lost.Stored)
	} else {
		var lease kv.LeaseID
		if lease, err = t.Store.Grant(ctx, retention); err == nil {
			ok, _, _, err = t.Store.CompareAndPut(ctx, lost.Key, lost.Stored, lost.Value, lease)
		}
	}
	if err != nil {
		t.Log.Warn("quarantine: a record that the store lost was not written again; will retry.", "key", lost.Key, "error", err)
		return
	}
	t.Log.Info("quarantine: a record that the store lost is written again.", "key", lost.Key, "removed", lost.Value == nil, "written", ok)
}

// fingerprintOfKey returns the fingerprint that a record's key names.
func fingerprintOfKey(key string) (Fingerprint, bool) {
	name, ok := strings.CutPrefix(key, fleet.QuarantinePrefix)
	if !ok {
		name, ok = strings.CutPrefix(key, fleet.QuarantinedPartPrefix)
	}
	f, err := strconv.ParseUint(name, 16, 64)
	return Fingerprint(f), ok && err == nil
}

// record writes a record under a lease, unless there is one already.
func (t *Table) record(ctx context.Context, f Fingerprint, q fleet.Quarantined) {
	value, err := json.Marshal(q)
	if err != nil {
		t.Log.Error("quarantine: encoding the record failed.", "fingerprint", q.Fingerprint, "error", err)
		return
	}
	lease, err := t.Store.Grant(ctx, retention)
	if err != nil {
		t.Log.Warn("quarantine: store did not grant a lease; will retry the record.", "fingerprint", q.Fingerprint, "error", err)
		return
	}
	ok, rev, _, err := t.Store.CompareAndPut(ctx, q.Key(), 0, value, lease)
	switch {
	case err != nil:
		t.Log.Warn("quarantine: store did not confirm the record; will retry.", "fingerprint", q.Fingerprint, "error", err)
	case ok:
		t.Log.Info("quarantine: request recorded.", "fingerprint", q.Fingerprint, "part", q.Part, "endpoints", q.Crashed, "revision", rev)
	default:
		t.Log.Info("quarantine: another entry recorded the request.", "fingerprint", q.Fingerprint)
		if err := t.Store.Revoke(ctx, lease); err != nil {
			t.Log.Info("quarantine: revoking the lease failed; it will expire.", "lease", lease, "error", err)
		}
	}
}
