package quarantine

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Deps is what a table is made of.
type Deps struct {
	// Store is where guilty requests are recorded; nil: they are not.
	Store kv.Client
	// View is what the store is known to hold; nil: nothing.
	View  func() *fleet.View
	Clock clockwork.Clock
	Log   *slog.Logger
}

// Table is what an entry knows of requests under which endpoints crashed. It is safe for
// concurrent use; its lock is never held across a call.
type Table struct {
	Deps

	mu       sync.Mutex
	suspects suspects
	served   served
	guilty   map[Fingerprint]time.Time // since when
	// records is the record of guilty requests that they were judged by.
	records *fleet.Quarantine
	// news has room for one sign that others should hear at once of what is known.
	news chan struct{}
	// holds are the sends that may still be stopped.
	holds map[Fingerprint]map[*Hold]struct{}
	// wrote is when this entry last tried to record a request.
	wrote map[Fingerprint]time.Time
}

// New returns a table that suspects nothing.
func New(d Deps) *Table {
	return &Table{Deps: d, suspects: suspects{}, guilty: map[Fingerprint]time.Time{}, wrote: map[Fingerprint]time.Time{}, holds: map[Fingerprint]map[*Hold]struct{}{}, news: make(chan struct{}, 1)}
}

// Verdict is what is known of a request.
type Verdict struct {
	// Suspect: an endpoint crashed while the request was there.
	Suspect bool
	// Quarantined: the request crashes endpoints and must reach none, for so long.
	Quarantined bool
	For         time.Duration
}

// Check returns what is known of a request.
func (t *Table) Check(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeRecordsLocked()
	_, suspect := t.suspects[f]
	since, guilty := t.guilty[f]
	if !guilty {
		return Verdict{Suspect: suspect}
	}
	return Verdict{Suspect: true, Quarantined: true, For: max(time.Second, life-t.Clock.Since(since))}
}

// Crashed notes that an endpoint crashed while a request was there.
func (t *Table) Crashed(f Fingerprint, ep fleet.EndpointID, stage Stage) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.served.has(f) {
		return
	}
	if t.noteLocked(f, ep, crash{stage: stage, at: now, own: true}) {
		t.judgeLocked()
	}
}

// noteLocked notes a crash against a request, and reports whether that may change who is
// guilty.
func (t *Table) noteLocked(f Fingerprint, ep fleet.EndpointID, c crash) bool {
	s := t.suspects.of(f)
	if !s.note(ep, c) {
		return false
	}
	t.newsLocked(s)
	_, guilty := t.guilty[f]
	return guilty || s.weight(nil) >= guiltyWeight
}

// Served notes that a request was answered whole: it crashes no endpoint.
func (t *Table) Served(f Fingerprint) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(f, now)
	if _, suspect := t.suspects[f]; !suspect {
		return
	}
	delete(t.suspects, f)
	t.judgeLocked()
}

// takeRecordsLocked judges anew when other requests are recorded.
func (t *Table) takeRecordsLocked() {
	if t.View == nil {
		return
	}
	if records := t.View().Quarantine; records != t.records {
		t.records = records
		t.judgeLocked()
	}
}

// judgeLocked finds the guilty requests by all that is known now.
func (t *Table) judgeLocked() {
	now := t.Clock.Now()
	found := t.suspects.guilty(t.recordedLocked(), t.served.has)
	for f := range t.guilty {
		if !found[f] {
			delete(t.guilty, f)
			t.Log.Info("quarantine: request is let through again.", "fingerprint", f.String())
		}
	}
	for f := range found {
		if _, known := t.guilty[f]; known {
			continue
		}
		t.guilty[f] = now
		t.stopLocked(f)
		attrs := []any{"fingerprint", f.String(), "recorded", t.records.Has(uint64(f))}
		if s := t.suspects[f]; s != nil {
			attrs = append(attrs, "endpoints", s.endpoints(), "weight", s.weight(nil))
		}
		t.Log.Warn("quarantine: request crashes endpoints; no endpoint gets it.", attrs...)
	}
}

func (t *Table) recordedLocked() map[Fingerprint][]fleet.EndpointID {
	out := map[Fingerprint][]fleet.EndpointID{}
	for f, crashed := range t.records.All() {
		out[Fingerprint(f)] = crashed
	}
	return out
}

// State is the table's part of the state dump.
type State struct {
	Suspects    int      `json:"suspects"`
	Recorded    int      `json:"recorded"`
	Quarantined []string `json:"quarantined,omitempty"`
}

// State returns the current dump.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeRecordsLocked()
	s := State{Suspects: len(t.suspects), Recorded: t.records.Len()}
	for f := range t.guilty {
		s.Quarantined = append(s.Quarantined, f.String())
	}
	return s
}
