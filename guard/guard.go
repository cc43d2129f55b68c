package guard

import (
	"context"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// maxEvidenceRows bounds the rows of counts in one digest: the entries of one
// failure domain at the target size, times a few versions under roll-out.
// Rows of this entry's domain take precedence.
const maxEvidenceRows = 64

// evidenceTTL is how long counts are gossiped after they last increased: the
// test is about a version's current behavior, and rows of processes long ended
// would crowd out the others.
const evidenceTTL = 30 * time.Second

// source is one incarnation (process) of one entry.
type source struct {
	instance    string
	incarnation int64
}

type counts struct {
	samples, bad int64
	updatedAt    time.Time // when they last increased, on this entry's monotonic clock
}

// Guard counts answers and keeps halts for one entry. It is safe for
// concurrent use; its lock is never held across a call.
type Guard struct {
	self   source
	clock  clockwork.Clock
	log    *slog.Logger
	onHalt func() // called after an own halt or one read from the KV

	mu         sync.Mutex
	halts      map[string]bool // subject -> whether it is known to be in the KV
	counts     map[string]map[source]counts
	statistics map[string]*cusum
}

var _ route.Halts = (*Guard)(nil)

// New returns the guard of one incarnation of an instance.
func New(instance string, incarnation int64, clock clockwork.Clock, log *slog.Logger) *Guard {
	return &Guard{self: source{instance, incarnation}, clock: clock, log: log, onHalt: func() {},
		halts: map[string]bool{}, counts: map[string]map[source]counts{}, statistics: map[string]*cusum{}}
}

// OnHalt sets the func to call after this entry halts a version or reads a new
// halt from the KV. It must be called before the guard is used.
func (g *Guard) OnHalt(f func()) { g.onHalt = f }

// Halted implements route.Halts.
func (g *Guard) Halted(subject string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.halts[subject]
	return ok
}

// Observe counts one answer of a guarded version.
func (g *Guard) Observe(subject string, bad bool) {
	g.mu.Lock()
	c := g.counts[subject][g.self]
	c.samples++
	if bad {
		c.bad++
	}
	halted := g.updateCountsLocked(subject, g.self, c)
	g.mu.Unlock()
	if halted {
		g.log.Warn("guard: version answers badly; halting it.", "subject", subject)
		g.onHalt()
	}
}

// updateCountsLocked stores a source's new totals and reports whether they halted
// the subject.
func (g *Guard) updateCountsLocked(subject string, from source, c counts) bool {
	if g.counts[subject] == nil {
		g.counts[subject], g.statistics[subject] = map[source]counts{}, new(cusum)
	}
	old := g.counts[subject][from]
	if c.samples <= old.samples {
		return false // stale or repeated digest
	}
	c.updatedAt = g.clock.Now()
	g.counts[subject][from] = c
	bad := c.bad - old.bad
	if !g.statistics[subject].add(c.samples-old.samples-bad, bad) {
		return false
	}
	return g.recordHaltLocked(subject, false)
}

// recordHaltLocked records a halt and reports whether it is new; stored means that
// it is known to be in the KV.
func (g *Guard) recordHaltLocked(subject string, stored bool) bool {
	old, known := g.halts[subject]
	g.halts[subject] = old || stored
	return !known
}

// RecordStoredHalt records a halt found in the KV under key.
func (g *Guard) RecordStoredHalt(key string) {
	subject, ok := strings.CutPrefix(key, config.HaltPrefix)
	if !ok || subject == "" {
		return
	}
	g.mu.Lock()
	isNew := g.recordHaltLocked(subject, true)
	g.mu.Unlock()
	if isNew {
		g.onHalt()
	}
}

// ForgetStored makes Persist write all halts again: the KV was restored from a copy and may have lost
// them.
func (g *Guard) ForgetStored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for subject := range g.halts {
		g.halts[subject] = false
	}
}

// Persist writes the halts not yet known to be in the KV. Writes are
// create-only, so any number of entries may repeat them.
func (g *Guard) Persist(ctx context.Context, c kv.KV) {
	g.mu.Lock()
	var pending []string
	for s, stored := range g.halts {
		if !stored {
			pending = append(pending, s)
		}
	}
	g.mu.Unlock()
	for _, s := range pending {
		if _, _, _, err := c.CompareAndPut(ctx, config.HaltPrefix+s, 0, []byte(g.self.instance), 0); err != nil {
			g.log.Warn("guard: halt not confirmed by the KV; retrying later.", "subject", s, "error", err)
			continue
		}
		g.mu.Lock()
		g.recordHaltLocked(s, true)
		g.mu.Unlock()
	}
}

// Topic returns the guard's gossip topic; isLocal reports whether an instance
// is in this entry's failure domain.
func (g *Guard) Topic(isLocal func(instance string) bool) peers.Topic {
	return &topic{g: g, isLocal: isLocal}
}

type topic struct {
	g       *Guard
	isLocal func(instance string) bool
}

// Fill implements peers.Topic.
func (t *topic) Fill(d *peerpb.Digest, _ bool) {
	now := t.g.clock.Now()
	t.g.mu.Lock()
	for s := range t.g.halts {
		d.Halts = append(d.Halts, s)
	}
	var rows []*peerpb.Evidence
	for s, sources := range t.g.counts {
		if _, halted := t.g.halts[s]; halted {
			continue
		}
		for src, c := range sources {
			if now.Sub(c.updatedAt) > evidenceTTL {
				continue
			}
			rows = append(rows, &peerpb.Evidence{Instance: src.instance, Life: src.incarnation, Subject: s, Samples: c.samples, Bad: c.bad})
		}
	}
	t.g.mu.Unlock()
	if len(rows) > maxEvidenceRows {
		local := func(e *peerpb.Evidence) bool { return t.isLocal(e.Instance) }
		sort.SliceStable(rows, func(i, j int) bool { return local(rows[i]) && !local(rows[j]) })
		rows = rows[:maxEvidenceRows]
	}
	d.Evidence = rows
}

// Merge implements peers.Topic. It reports whether a new halt became known.
func (t *topic) Merge(_ context.Context, d peers.Received) bool {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	halted := false
	for _, s := range d.Halts {
		halted = g.recordHaltLocked(s, false) || halted
	}
	for _, e := range d.Evidence {
		from := source{e.Instance, e.Life}
		if from == g.self {
			continue
		}
		halted = g.updateCountsLocked(e.Subject, from, counts{samples: e.Samples, bad: e.Bad}) || halted
	}
	return halted
}

// VersionState is one guarded version's row in the state dump.
type VersionState struct {
	Samples   int64   `json:"samples"`
	Bad       int64   `json:"bad"`
	Statistic float64 `json:"statistic"`
	Halted    bool    `json:"halted"`
	Stored    bool    `json:"stored"`
}

// State returns the guard's part of the state dump, by subject.
func (g *Guard) State() map[string]VersionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]VersionState{}
	for s, sources := range g.counts {
		v := VersionState{Statistic: float64(*g.statistics[s])}
		for _, c := range sources {
			v.Samples, v.Bad = v.Samples+c.samples, v.Bad+c.bad
		}
		out[s] = v
	}
	for s, stored := range g.halts {
		v := out[s]
		v.Halted, v.Stored = true, stored
		out[s] = v
	}
	return out
}
