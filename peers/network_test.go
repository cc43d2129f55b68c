package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// network connects entries in memory; partitioned reports whether a message
// between two of them is lost.
type network struct {
	clock       *clockwork.FakeClock
	nodes       map[string]*node
	order       []*node // in a fixed order, so that runs are reproducible
	partitioned func(from, to string) bool
	calls       int
	bytes       int
}

// node is an entry whose only topic is a configuration revision.
type node struct {
	*Gossip
	table *Table
	net   *network
	rev   int64
	dead  bool
}

func (n *node) Fill(d *peerpb.Digest, _ bool) { d.ConfigRevision = n.rev }

func (n *node) Merge(_ context.Context, d Received) bool {
	if d.ConfigRevision <= n.rev {
		return false
	}
	n.rev = d.ConfigRevision
	return true
}

type link struct {
	peerpb.Peer
	from, to string
	net      *network
}

func (l link) Exchange(ctx context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	to := l.net.nodes[l.to]
	if to == nil || to.dead || l.net.partitioned(l.from, l.to) {
		return nil, errors.New("no answer")
	}
	l.net.calls++
	l.net.bytes += protoSize(d)
	out := to.Serve(ctx, d)
	l.net.bytes += protoSize(out)
	return out, nil
}

func newNetwork(domains, perDomain int) *network {
	net := &network{clock: clockwork.NewFakeClock(), nodes: map[string]*node{}, partitioned: func(string, string) bool { return false }}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	seeds := func() []string { return []string{"e-0-0", "e-1-0"} }
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("e-%d-%d", d, i)
			t := NewTable(&peerpb.Member{Instance: name, Domain: fmt.Sprintf("fd-%d", d), Address: name, Life: 1}, net.clock, rand.NewPCG(uint64(d), uint64(i)))
			n := &node{table: t, net: net}
			n.Gossip = NewGossip(t, seeds, func(to string) peerpb.Peer { return link{from: name, to: to, net: net} }, log)
			n.Add(n)
			net.nodes[name] = n
			net.order = append(net.order, n)
		}
	}
	return net
}

// tick runs one round of every entry and then all spreads that it triggers.
func (n *network) tick() {
	n.clock.Advance(time.Second)
	for _, e := range n.order {
		if !e.dead {
			e.Round(context.Background())
		}
	}
	for again := true; again; {
		again = false
		for _, e := range n.order {
			select {
			case <-e.spreadRequested:
				for _, to := range e.spreadTargets() { // sequentially, so that runs are reproducible
					e.exchange(context.Background(), to)
				}
				again = true
			default:
			}
		}
	}
}

// behind counts live entries whose revision is older than rev.
func (n *network) behind(rev int64) int {
	c := 0
	for _, e := range n.order {
		if !e.dead && e.rev < rev {
			c++
		}
	}
	return c
}

func (n *network) watchers(domain int) int {
	c := 0
	for _, e := range n.order {
		if !e.dead && e.table.Self().Domain == fmt.Sprintf("fd-%d", domain) && e.table.IsResponsible("config", 2) {
			c++
		}
	}
	return c
}

func (n *network) run(seconds int) {
	for range seconds {
		n.tick()
	}
}

// TestChangeReachesEveryEntry (invariant 10): a change that one entry learns
// reaches every entry within a few seconds, without the KV.
func TestChangeReachesEveryEntry(t *testing.T) {
	is := is.New(t)
	net := newNetwork(4, 8)
	net.run(20)
	is.Equal(len(net.nodes["e-2-3"].table.ranked("x")), 8) // it knows all members of its domain
	net.nodes["e-3-7"].rev = 7
	net.nodes["e-3-7"].TriggerSpread()
	net.run(5)
	is.Equal(net.behind(7), 0)
}

// TestPartitionedDomainRejoins guards against a failure domain that stays on an
// old revision after a long partition. The partition outlasts evictAfter, so
// both sides evict each other, and the configuration changes meanwhile. With
// gossip to known members only, neither side would contact the other again;
// periodic rounds to seeds reconnect them.
func TestPartitionedDomainRejoins(t *testing.T) {
	is := is.New(t)
	net := newNetwork(3, 4)
	net.run(15)
	inPartition := func(name string) bool { return net.nodes[name] != nil && net.nodes[name].table.Self().Domain == "fd-2" }
	net.partitioned = func(from, to string) bool { return inPartition(from) != inPartition(to) }
	net.run(int(evictAfter/time.Second) + 20)
	net.nodes["e-0-1"].rev = 9
	net.nodes["e-0-1"].TriggerSpread()
	net.run(5)
	is.Equal(net.behind(9), 4)   // the partitioned domain
	is.Equal(net.watchers(2), 2) // its members still know each other and who watches the KV
	net.partitioned = func(string, string) bool { return false }
	net.run(15)
	is.Equal(net.behind(9), 0)
}

// TestDeadWatcherIsReplaced guards against a domain that receives no more
// changes because both of its entries that watch the KV were killed and no
// other entry takes over.
func TestDeadWatcherIsReplaced(t *testing.T) {
	is := is.New(t)
	net := newNetwork(2, 6)
	net.run(15)
	is.Equal(net.watchers(0), 2)
	for _, m := range net.nodes["e-0-0"].table.ranked("config")[:2] {
		net.nodes[m.Instance].dead = true
	}
	is.Equal(net.watchers(0), 0)
	net.run(int(deadAfter/time.Second) + 5)
	is.Equal(net.watchers(0), 2)
	// An entry left alone in its domain watches the KV itself.
	for _, e := range net.order {
		e.dead = e.table.Self().Instance != "e-0-0" && e.table.Self().Instance != "e-1-0"
	}
	net.nodes["e-0-0"].dead = false
	net.run(int(deadAfter/time.Second) + 5)
	is.True(net.nodes["e-0-0"].table.IsResponsible("config", 2))
}

// TestStaleRecordDoesNotReviveMember checks that a dead member does not become
// live again when a peer repeats an old record of it.
func TestStaleRecordDoesNotReviveMember(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(&peerpb.Member{Instance: "a", Domain: "fd-1"}, fc, rand.NewPCG(1, 1))
	record := &peerpb.Member{Instance: "b", Domain: "fd-1", Life: 1, Beat: 5}
	table.Merge([]*peerpb.Member{record})
	is.Equal(len(table.Live()), 1)
	fc.Advance(deadAfter + time.Second)
	table.Merge([]*peerpb.Member{record}) // repeated by a peer that has not detected the failure
	is.Equal(len(table.Live()), 0)
	table.Merge([]*peerpb.Member{{Instance: "b", Domain: "fd-1", Life: 2, Beat: 1}})
	is.Equal(len(table.Live()), 1) // a new incarnation
	is.True(!table.Alive("b", 1))
}
