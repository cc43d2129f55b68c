package endpoints

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/route"
)

// Bounds of the view.
const (
	// reportTTL is how long a load report counts. Older, the entry goes by
	// what it has in flight itself.
	reportTTL = 5 * time.Second
	// avoidFirst and avoidMax bound how long a back end that failed is tried
	// last: doubling, so that one that stays broken costs ever fewer tries.
	avoidFirst = time.Second
	avoidMax   = 30 * time.Second
	// avoidPenalty puts a back end behind every healthy one without taking
	// it out: when all have failed, trying one beats refusing.
	avoidPenalty = 1 << 20
	// drainingTTL is how long a back end's own word that it drains counts;
	// by then the instance list says so, or it is back.
	drainingTTL = 10 * time.Second
)

// Report is what a back end last said of itself.
type Report struct {
	// Load is requests in flight there, from every entry.
	Load int
	// Version is the model@version it has loaded; empty: not said.
	Version string
	// Life and Seq order the reports of one polling entry.
	Life, Seq int64

	at      time.Time // when it was received, on this entry's steady clock
	ownThen int       // this entry's in-flight count when it was received
}

type avoidance struct {
	until time.Time
	next  time.Duration
}

// Table is the view. It is safe for concurrent use; its lock is held only
// for map work, never across a call.
type Table struct {
	clock clockwork.Clock

	mu       sync.Mutex
	inFlight map[string]int
	reports  map[string]Report
	avoid    map[string]avoidance
	draining map[string]time.Time // back end -> until when its word counts
	listRev  int64
	leaving  map[string]bool // from the instance list of listRev
}

var _ route.Endpoints = (*Table)(nil)

// NewTable returns an empty view.
func NewTable(clock clockwork.Clock) *Table {
	return &Table{
		clock: clock, inFlight: map[string]int{}, reports: map[string]Report{}, avoid: map[string]avoidance{},
		draining: map[string]time.Time{}, leaving: map[string]bool{},
	}
}

// State implements route.Endpoints.
func (t *Table) State(b *route.BackendInfo) (load int, usable bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving[b.Name] || now.Before(t.draining[b.Name]) {
		return 0, false
	}
	load = t.inFlight[b.Name]
	if r, ok := t.reports[b.Name]; ok && now.Sub(r.at) <= reportTTL {
		if r.Version != "" && r.Version != b.Serves() {
			return 0, false
		}
		// The report counted this entry's requests of that time too.
		load = max(load, r.Load+load-r.ownThen)
	}
	if now.Before(t.avoid[b.Name].until) {
		load += avoidPenalty
	}
	return load, true
}

// Begin counts one request on b; the returned func ends it.
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

// Failed notes that b failed or went silent.
func (t *Table) Failed(b string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.avoid[b]
	if now.Before(a.until) {
		return // one of several failures of the same moment
	}
	a.next = min(max(a.next*2, avoidFirst), avoidMax)
	a.until = now.Add(a.next)
	t.avoid[b] = a
}

// Answered notes that b gave a whole answer.
func (t *Table) Answered(b string) {
	t.mu.Lock()
	delete(t.avoid, b)
	t.mu.Unlock()
}

// Draining notes b's own word that it takes no new work.
func (t *Table) Draining(b string) {
	now := t.clock.Now()
	t.mu.Lock()
	t.draining[b] = now.Add(drainingTTL)
	t.mu.Unlock()
}

// Reported takes b's report. Reports of one polling entry are ordered by
// Seq; another entry's is taken once the one held is growing old.
func (t *Table) Reported(b string, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.reports[b]
	if ok && cur.Life == r.Life && cur.Seq >= r.Seq {
		return
	}
	if ok && cur.Life != r.Life && now.Sub(cur.at) < reportTTL/2 {
		return
	}
	r.at, r.ownThen = now, t.inFlight[b]
	t.reports[b] = r
}

// Loaded returns the model@version that b last reported, "" when it has not
// reported lately.
func (t *Table) Loaded(b string) string {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.reports[b]
	if !ok || now.Sub(r.at) > reportTTL {
		return ""
	}
	return r.Version
}

// Keep forgets back ends that left the configuration, or the view would grow
// with every endpoint ever replaced. One with requests in flight stays until
// the next call.
func (t *Table) Keep(named func(backend string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := func(b string) bool { return !named(b) }
	maps.DeleteFunc(t.inFlight, func(b string, n int) bool { return n == 0 && gone(b) })
	maps.DeleteFunc(t.reports, func(b string, _ Report) bool { return gone(b) })
	maps.DeleteFunc(t.avoid, func(b string, _ avoidance) bool { return gone(b) })
	maps.DeleteFunc(t.draining, func(b string, _ time.Time) bool { return gone(b) })
}

// Listed takes the instance list of revision rev; it returns whether it is
// newer than the one held. Only newer lists count, so a late answer cannot
// bring a leaving back end back.
func (t *Table) Listed(rev int64, leaving []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rev <= t.listRev {
		return false
	}
	t.listRev, t.leaving = rev, make(map[string]bool, len(leaving))
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

// State is the view's part of the state dump.
type State struct {
	ListRevision int64                   `json:"list_revision"`
	Backends     map[string]BackendState `json:"backends"`
}

// Snapshot copies the view for the state dump.
func (t *Table) Snapshot() State {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := State{ListRevision: t.listRev, Backends: map[string]BackendState{}}
	edit := func(b string, f func(*BackendState)) {
		s := out.Backends[b]
		f(&s)
		out.Backends[b] = s
	}
	for b, n := range t.inFlight {
		edit(b, func(s *BackendState) { s.InFlight = n })
	}
	for b, r := range t.reports {
		edit(b, func(s *BackendState) { s.Reported, s.Version = r.Load, r.Version })
	}
	for b := range t.leaving {
		edit(b, func(s *BackendState) { s.Leaving = true })
	}
	for b, until := range t.draining {
		if now.Before(until) {
			edit(b, func(s *BackendState) { s.Leaving = true })
		}
	}
	for b, a := range t.avoid {
		if now.Before(a.until) {
			edit(b, func(s *BackendState) { s.Avoided = true })
		}
	}
	return out
}
