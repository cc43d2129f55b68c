package endpoints

import (
	"context"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Topic spreads load reports within a failure domain and the leaving back
// ends everywhere.
type Topic struct{ t *Table }

// NewTopic returns the gossip topic of t.
func NewTopic(t *Table) *Topic { return &Topic{t: t} }

// Fill implements peers.Topic.
func (p *Topic) Fill(d *peerpb.Digest, local bool) {
	now := p.t.clock.Now()
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	d.ListRevision = p.t.listRev
	for b := range p.t.leaving {
		d.Leaving = append(d.Leaving, b)
	}
	if !local {
		return
	}
	for b, r := range p.t.reports {
		if now.Sub(r.at) <= reportTTL/2 {
			d.Loads = append(d.Loads, &peerpb.Load{Backend: b, Load: int32(r.Load), At: r.Seq, ReporterLife: r.Life, Version: r.Version})
		}
	}
}

// Merge implements peers.Topic. A newer instance list is news; loads are
// not, they change all the time.
func (p *Topic) Merge(_ context.Context, d peers.Received) bool {
	for _, l := range d.Loads {
		p.t.Reported(l.Backend, Report{Load: int(l.Load), Version: l.Version, Life: l.ReporterLife, Seq: l.At})
	}
	return p.t.Listed(d.ListRevision, d.Leaving)
}
