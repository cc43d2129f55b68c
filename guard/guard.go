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

// maxEvidence bounds the rows of counts in one digest: the entries of one
// failure domain at the target size, times a few versions under roll-out.
// This entry's domain is told first.
const maxEvidence = 64

// evidenceFor is how long counts are told on after they last rose: the test
// is about how a version does now, and rows of lives long ended would crowd
// out the others.
const evidenceFor = 30 * time.Second

// source is one life of one entry.
type source struct {
	instance string
	life     int64
}

type counts struct {
	samples, bad int64
	at           time.Time // when they last rose, on this entry's steady clock
}

// Guard is one entry's guard. It is safe for concurrent use; its lock is
// never held across a call.
type Guard struct {
	self  source
	clock clockwork.Clock
	log   *slog.Logger
	news  func() // called after a halt became known

	mu     sync.Mutex
	halts  map[string]bool // subject -> whether it is known to be in the KV
	counts map[string]map[source]counts
	stats  map[string]*cusum
}

var _ route.Halts = (*Guard)(nil)

// New returns the guard of one life of an instance.
func New(instance string, life int64, clock clockwork.Clock, log *slog.Logger) *Guard {
	return &Guard{self: source{instance, life}, clock: clock, log: log, news: func() {},
		halts: map[string]bool{}, counts: map[string]map[source]counts{}, stats: map[string]*cusum{}}
}

// OnNews sets what to call after a halt became known; set it before use.
func (g *Guard) OnNews(f func()) { g.news = f }

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
	halted := g.countLocked(subject, g.self, c)
	g.mu.Unlock()
	if halted {
		g.log.Warn("guard: version answers badly; halting it.", "subject", subject)
		g.news()
	}
}

// countLocked takes a source's new totals; true: they halted the subject.
func (g *Guard) countLocked(subject string, from source, c counts) bool {
	if g.counts[subject] == nil {
		g.counts[subject], g.stats[subject] = map[source]counts{}, new(cusum)
	}
	old := g.counts[subject][from]
	if c.samples <= old.samples {
		return false // an older digest
	}
	c.at = g.clock.Now()
	g.counts[subject][from] = c
	bad := c.bad - old.bad
	if !g.stats[subject].add(c.samples-old.samples-bad, bad) {
		return false
	}
	return g.haltLocked(subject, false)
}

// haltLocked keeps a halt; stored says it was read from the KV. It reports
// whether the halt was new.
func (g *Guard) haltLocked(subject string, stored bool) bool {
	old, known := g.halts[subject]
	g.halts[subject] = old || stored
	return !known
}

// Stored takes a halt found in the KV.
func (g *Guard) Stored(key string) {
	subject, ok := strings.CutPrefix(key, config.HaltPrefix)
	if !ok || subject == "" {
		return
	}
	g.mu.Lock()
	fresh := g.haltLocked(subject, true)
	g.mu.Unlock()
	if fresh {
		g.news()
	}
}

// Persist writes the halts not yet known to be in the KV, create-only: any
// number of entries may write the same halt any number of times.
func (g *Guard) Persist(ctx context.Context, c kv.KV) {
	g.mu.Lock()
	var todo []string
	for s, stored := range g.halts {
		if !stored {
			todo = append(todo, s)
		}
	}
	g.mu.Unlock()
	for _, s := range todo {
		if _, _, _, err := c.CompareAndPut(ctx, config.HaltPrefix+s, 0, []byte(g.self.instance), 0); err != nil {
			g.log.Warn("guard: halt not confirmed by the KV; will write it again.", "subject", s, "error", err)
			continue
		}
		g.mu.Lock()
		g.haltLocked(s, true)
		g.mu.Unlock()
	}
}

// Topic returns the guard's gossip topic; local tells whether an instance is
// in this entry's failure domain.
func (g *Guard) Topic(local func(instance string) bool) peers.Topic {
	return &topic{g: g, local: local}
}

type topic struct {
	g     *Guard
	local func(instance string) bool
}

// Fill implements peers.Topic.
func (t *topic) Fill(d *peerpb.Digest, _ bool) {
	now := t.g.clock.Now()
	t.g.mu.Lock()
	for s := range t.g.halts {
		d.Halts = append(d.Halts, s)
	}
	var rows []*peerpb.Evidence
	for s, from := range t.g.counts {
		if _, halted := t.g.halts[s]; halted {
			continue
		}
		for src, c := range from {
			if now.Sub(c.at) > evidenceFor {
				continue
			}
			rows = append(rows, &peerpb.Evidence{Instance: src.instance, Life: src.life, Subject: s, Samples: c.samples, Bad: c.bad})
		}
	}
	t.g.mu.Unlock()
	if len(rows) > maxEvidence {
		near := func(e *peerpb.Evidence) bool { return t.local(e.Instance) }
		sort.SliceStable(rows, func(i, j int) bool { return near(rows[i]) && !near(rows[j]) })
		rows = rows[:maxEvidence]
	}
	d.Evidence = rows
}

// Merge implements peers.Topic.
func (t *topic) Merge(_ context.Context, d peers.Received) bool {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	news := false
	for _, s := range d.Halts {
		news = g.haltLocked(s, false) || news
	}
	for _, e := range d.Evidence {
		from := source{e.Instance, e.Life}
		if from == g.self {
			continue
		}
		news = g.countLocked(e.Subject, from, counts{samples: e.Samples, bad: e.Bad}) || news
	}
	return news
}

// VersionState is one guarded version's row in the state dump.
type VersionState struct {
	Samples   int64   `json:"samples"`
	Bad       int64   `json:"bad"`
	Statistic float64 `json:"statistic"`
	Halted    bool    `json:"halted"`
	Stored    bool    `json:"stored"`
}

// State returns the current dump, by subject.
func (g *Guard) State() map[string]VersionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]VersionState{}
	for s, from := range g.counts {
		v := VersionState{Statistic: float64(*g.stats[s])}
		for _, c := range from {
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
