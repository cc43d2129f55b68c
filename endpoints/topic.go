package endpoints

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Topic gossips load reports within a failure domain and the leaving back
// ends to all entries.
type Topic struct {
	t            *Table
	currentTable func() *route.Table
	domain       string

	fills atomic.Int64
}

// NewTopic returns the gossip topic of t for an entry in domain.
func NewTopic(t *Table, currentTable func() *route.Table, domain string) *Topic {
	return &Topic{t: t, currentTable: currentTable, domain: domain}
}

// Fill implements peers.Topic. Loads are sent only within the failure
// domain: every decision prefers the engines of its own domain.
func (p *Topic) Fill(d *peerpb.Digest, local bool) {
	p.t.mu.Lock()
	d.ListRevision = p.t.listRevision
	for b := range p.t.leaving {
		d.Leaving = append(d.Leaving, b)
	}
	now := p.t.clock.Now()
	for b, until := range p.t.draining {
		if now.Before(until) {
			d.Draining = append(d.Draining, b)
			d.DrainingAgeMs = append(d.DrainingAgeMs, uint32((drainingTTL - until.Sub(now)).Milliseconds()))
		}
	}
	p.t.mu.Unlock()
	// Polls are PollInterval apart, two gossip rounds, so every second digest
	// is enough.
	if t := p.currentTable(); local && p.fills.Add(1)%2 == 0 && t != nil && int64(t.Revision) == d.ConfigRevision {
		d.Loads = p.t.loads(t.Engines(p.domain))
	}
}

// loads groups the recent reports on engines by reporter.
func (t *Table) loads(engines []route.BackendInfo) []*peerpb.Loads {
	now := t.clock.Now()
	byReporter := map[int64]*peerpb.Loads{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range engines {
		r, ok := t.reports[engines[i].Name]
		if !ok || now.Sub(r.receivedAt) > reportTTL/2 {
			continue
		}
		l := byReporter[r.Incarnation]
		if l == nil || l.Round < r.Seq {
			l = &peerpb.Loads{Reporter: r.Incarnation, Round: r.Seq} // keep only the latest round
			byReporter[r.Incarnation] = l
		}
		if l.Round > r.Seq {
			continue
		}
		l.Engine, l.Load = append(l.Engine, uint32(i)), append(l.Load, uint32(r.Load))
		if r.Version != "" && r.Version != engines[i].Serves() {
			l.Odd, l.OddVersion = append(l.Odd, uint32(i)), append(l.OddVersion, r.Version)
		}
	}
	out := make([]*peerpb.Loads, 0, len(byReporter))
	for _, l := range byReporter {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *peerpb.Loads) int { return cmp.Compare(a.Reporter, b.Reporter) })
	return out
}

// Merge implements peers.Topic. It reports whether the instance list is newer, or
// a back end is draining that was not known to be; loads change all the time and are
// not worth passing on at once.
func (p *Topic) Merge(_ context.Context, d peers.Received) bool {
	if t := p.currentTable(); t != nil && int64(t.Revision) == d.ConfigRevision {
		for _, l := range d.Loads {
			p.mergeLoads(l, t.Engines(p.domain))
		}
	}
	changed := p.t.ApplyInstanceList(d.ListRevision, d.Leaving)
	for i, b := range d.Draining {
		if i < len(d.DrainingAgeMs) {
			changed = p.t.Draining(b, time.Duration(d.DrainingAgeMs[i])*time.Millisecond) || changed
		}
	}
	return changed
}

func (p *Topic) mergeLoads(l *peerpb.Loads, engines []route.BackendInfo) {
	versions := map[uint32]string{}
	for i, e := range l.Odd {
		if i < len(l.OddVersion) {
			versions[e] = l.OddVersion[i]
		}
	}
	for i, e := range l.Engine {
		if i < len(l.Load) && int(e) < len(engines) {
			p.t.RecordReport(engines[e].Name, Report{Load: int(l.Load[i]), Version: versions[e], Incarnation: l.Reporter, Seq: l.Round})
		}
	}
}
