package endpoints

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Topic spreads load reports within a failure domain and the leaving back
// ends everywhere.
type Topic struct {
	t      *Table
	tables func() *route.Table
	domain string

	digests atomic.Int64
}

// NewTopic returns the gossip topic of t for an entry in domain.
func NewTopic(t *Table, tables func() *route.Table, domain string) *Topic {
	return &Topic{t: t, tables: tables, domain: domain}
}

// Fill implements peers.Topic. Loads stay within the failure domain: a
// domain's own engines come first in every decision.
func (p *Topic) Fill(d *peerpb.Digest, local bool) {
	p.t.mu.Lock()
	d.ListRevision = p.t.listRev
	for b := range p.t.leaving {
		d.Leaving = append(d.Leaving, b)
	}
	p.t.mu.Unlock()
	// Rounds are PollInterval apart, so every second digest is enough.
	if t := p.tables(); local && p.digests.Add(1)%2 == 0 && t != nil && int64(t.Revision) == d.ConfigRevision {
		d.Loads = p.t.loads(t.Engines(p.domain))
	}
}

// loads groups the reports on engines by who made them.
func (t *Table) loads(engines []route.BackendInfo) []*peerpb.Loads {
	now := t.clock.Now()
	byReporter := map[int64]*peerpb.Loads{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range engines {
		r, ok := t.reports[engines[i].Name]
		if !ok || now.Sub(r.at) > reportTTL/2 {
			continue
		}
		l := byReporter[r.Life]
		if l == nil || l.Round < r.Seq {
			l = &peerpb.Loads{Reporter: r.Life, Round: r.Seq} // the latest round only
			byReporter[r.Life] = l
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

// Merge implements peers.Topic. A newer instance list is news; loads are
// not, they change all the time.
func (p *Topic) Merge(_ context.Context, d peers.Received) bool {
	if t := p.tables(); t != nil && int64(t.Revision) == d.ConfigRevision {
		for _, l := range d.Loads {
			p.mergeLoads(l, t.Engines(p.domain))
		}
	}
	return p.t.Listed(d.ListRevision, d.Leaving)
}

func (p *Topic) mergeLoads(l *peerpb.Loads, engines []route.BackendInfo) {
	odd := map[uint32]string{}
	for i, e := range l.Odd {
		if i < len(l.OddVersion) {
			odd[e] = l.OddVersion[i]
		}
	}
	for i, e := range l.Engine {
		if i < len(l.Load) && int(e) < len(engines) {
			p.t.Reported(engines[e].Name, Report{Load: int(l.Load[i]), Version: odd[e], Life: l.Reporter, Seq: l.Round})
		}
	}
}
