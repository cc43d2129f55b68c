package endpoints

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/route"
)

// Lifetimes and limits of the recorded state.
const (
	// reportTTL is how long a load report is used. After that, the entry
	// counts only its own requests in flight.
	reportTTL = 5 * time.Second
	// initialBackoff and maxBackoff bound how long a failed back end ranks
	// last. The duration doubles with each failure, so that a back end that
	// stays broken is tried less and less often.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// backoffPenalty is the load added to a back end in backoff. It ranks behind
	// every healthy one but stays usable: when all have failed, trying one is
	// better than refusing the request.
	backoffPenalty = 1 << 20
	// drainingTTL is how long a back end's own draining notice is honored; by
	// then the instance list names it, or it accepts requests again.
	drainingTTL = 10 * time.Second
)

// Report is one load report of a back end.
type Report struct {
	// Load is the number of requests in flight there, from all entries.
	Load int
	// Version is the loaded model@version; empty if not reported.
	Version string
	// Incarnation identifies the polling process; Seq orders its reports.
	Incarnation, Seq int64

	receivedAt  time.Time // on this entry's monotonic clock
	ownInFlight int       // this entry's requests in flight at receivedAt
}

type backoff struct {
	until    time.Time
	duration time.Duration
}

// Table holds the state of the back ends. It is safe for concurrent use; its
// lock is held only for map operations, never across a call.
type Table struct {
	clock clockwork.Clock

	mu           sync.Mutex
	inFlight     map[string]int
	reports      map[string]Report
	backoffs     map[string]backoff
	draining     map[string]time.Time // back end -> expiry of its draining notice
	rests        map[string]time.Time // back end -> until when it wants no requests from this entry
	listRevision int64
	leaving      map[string]bool // from the instance list of listRevision
}

var (
	_ route.Endpoints = (*Table)(nil)
	_ route.Resting   = (*Table)(nil)
)

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{
		clock: clock, inFlight: map[string]int{}, reports: map[string]Report{}, backoffs: map[string]backoff{},
		draining: map[string]time.Time{}, rests: map[string]time.Time{}, leaving: map[string]bool{},
	}
}

// State implements route.Endpoints.
func (t *Table) State(b *route.BackendInfo) (load int, usable bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.acceptsLocked(b.Name, now) {
		return 0, false
	}
	load = t.inFlight[b.Name]
	if r, ok := t.reports[b.Name]; ok && now.Sub(r.receivedAt) <= reportTTL {
		if r.Version != "" && r.Version != b.Serves() {
			return 0, false
		}
		// The report includes this entry's requests in flight at that time.
		load = max(load, r.Load+load-r.ownInFlight)
	}
	if now.Before(t.backoffs[b.Name].until) {
		load += backoffPenalty
	}
	return load, true
}

// Begin counts a request on b as in flight until the returned func is called.
func (t *Table) Begin(b string) func() {
	t.mu.Lock()
	t.inFlight[b]++
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		t.inFlight[b]--
		t.mu.Unlock()
	}
}

// Failed records that b failed or stopped responding.
func (t *Table) Failed(b string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.backoffs[b]
	if now.Before(a.until) {
		return // already in backoff: failures of concurrent requests count once
	}
	a.duration = min(max(a.duration*2, initialBackoff), maxBackoff)
	a.until = now.Add(a.duration)
	t.backoffs[b] = a
}

// Answered records a complete answer from b, which ends its backoff.
func (t *Table) Answered(b string) {
	t.mu.Lock()
	delete(t.backoffs, b)
	t.mu.Unlock()
}

// Draining records b's own notice, of the given age, that it wants no new requests. It
// reports whether b was not known to be draining.
func (t *Table) Draining(b string, age time.Duration) (changed bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(drainingTTL - max(0, age))
	if !until.After(now) || !until.After(t.draining[b]) {
		return false
	}
	changed = !now.Before(t.draining[b])
	t.draining[b] = until
	return changed
}

// Accepts reports whether b wants new requests from this entry, by its own notices and the instance
// list.
func (t *Table) Accepts(b string) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptsLocked(b, now)
}

func (t *Table) acceptsLocked(b string, now time.Time) bool {
	return !t.leaving[b] && !now.Before(t.draining[b]) && !now.Before(t.rests[b])
}

// Rest records that b wants no requests from this entry for some time.
func (t *Table) Rest(b string, d time.Duration) {
	until := t.clock.Now().Add(d)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.rests[b]) {
		t.rests[b] = until
	}
}

// Resting implements route.Resting.
func (t *Table) Resting(b string) time.Duration {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.rests[b].Sub(now))
}

// RecordReport stores b's report. Reports of one poller are ordered by
// Seq; a report of another poller replaces the stored one only when that is
// at least half of reportTTL old.
func (t *Table) RecordReport(b string, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.reports[b]
	if ok && cur.Incarnation == r.Incarnation && cur.Seq >= r.Seq {
		return
	}
	if ok && cur.Incarnation != r.Incarnation && now.Sub(cur.receivedAt) < reportTTL/2 {
		return
	}
	r.receivedAt, r.ownInFlight = now, t.inFlight[b]
	t.reports[b] = r
}

// Loaded returns the model@version that b last reported, or "" without a
// report within reportTTL.
func (t *Table) Loaded(b string) string {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.reports[b]
	if !ok || now.Sub(r.receivedAt) > reportTTL {
		return ""
	}
	return r.Version
}

// Prune removes back ends that left the configuration; otherwise the table would
// grow with every endpoint ever replaced. The in-flight count of a back end
// with open requests stays until a later call.
func (t *Table) Prune(configured func(backend string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := func(b string) bool { return !configured(b) }
	maps.DeleteFunc(t.inFlight, func(b string, n int) bool { return n == 0 && gone(b) })
	maps.DeleteFunc(t.reports, func(b string, _ Report) bool { return gone(b) })
	maps.DeleteFunc(t.backoffs, func(b string, _ backoff) bool { return gone(b) })
	maps.DeleteFunc(t.rests, func(b string, _ time.Time) bool { return gone(b) })
	maps.DeleteFunc(t.draining, func(b string, _ time.Time) bool { return gone(b) })
}

// ApplyInstanceList stores the leaving back ends of the instance list of
// revision rev and reports whether that list is newer than the stored one.
// Older lists are ignored, so that a late answer cannot make a leaving back
// end usable again.
func (t *Table) ApplyInstanceList(rev int64, leaving []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rev <= t.listRevision {
		return false
	}
	t.listRevision, t.leaving = rev, make(map[string]bool, len(leaving))
	for _, b := range leaving {
		t.leaving[b] = true
	}
	return true
}

// BackendState is one back end's row in the state dump.
type BackendState struct {
	InFlight int    `json:"in_flight"`
	Reported int    `json:"reported"`
	Version  string `json:"version,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	Avoided  bool   `json:"avoided,omitempty"`
}

// State is the table's part of the state dump.
type State struct {
	ListRevision int64                   `json:"list_revision"`
	Backends     map[string]BackendState `json:"backends"`
}

// Snapshot returns the table's part of the state dump.
func (t *Table) Snapshot() State {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := State{ListRevision: t.listRevision, Backends: map[string]BackendState{}}
	update := func(b string, f func(*BackendState)) {
		s := out.Backends[b]
		f(&s)
		out.Backends[b] = s
	}
	for b, n := range t.inFlight {
		update(b, func(s *BackendState) { s.InFlight = n })
	}
	for b, r := range t.reports {
		update(b, func(s *BackendState) { s.Reported, s.Version = r.Load, r.Version })
	}
	for b := range t.leaving {
		update(b, func(s *BackendState) { s.Leaving = true })
	}
	for b, until := range t.draining {
		if now.Before(until) {
			update(b, func(s *BackendState) { s.Leaving = true })
		}
	}
	for b, a := range t.backoffs {
		if now.Before(a.until) {
			update(b, func(s *BackendState) { s.Avoided = true })
		}
	}
	return out
}
