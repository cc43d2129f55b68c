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

// network joins entries in memory; cut says which pairs cannot talk.
type network struct {
	clock *clockwork.FakeClock
	nodes map[string]*node
	order []*node // the same each run
	cut   func(from, to string) bool
	calls int
	bytes int
}

// node is one entry whose only knowledge is a revision that rises.
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
	if to == nil || to.dead || l.net.cut(l.from, l.to) {
		return nil, errors.New("no answer")
	}
	l.net.calls++
	l.net.bytes += size(d)
	out := to.Serve(ctx, d)
	l.net.bytes += size(out)
	return out, nil
}

func newNetwork(domains, perDomain int) *network {
	net := &network{clock: clockwork.NewFakeClock(), nodes: map[string]*node{}, cut: func(string, string) bool { return false }}
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

// second is one round of every entry, and what rumours it set off.
func (n *network) second() {
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
			case <-e.rumour:
				for _, to := range e.audience() { // one by one: the same each run
					e.exchange(context.Background(), to)
				}
				again = true
			default:
			}
		}
	}
}

// behind counts live entries that do not know rev.
func (n *network) behind(rev int64) int {
	c := 0
	for _, e := range n.order {
		if !e.dead && e.rev < rev {
			c++
		}
	}
	return c
}

func (n *network) holders(domain int) int {
	c := 0
	for _, e := range n.order {
		if !e.dead && e.table.Self().Domain == fmt.Sprintf("fd-%d", domain) && e.table.Holds("config", 2) {
			c++
		}
	}
	return c
}

func (n *network) run(seconds int) {
	for range seconds {
		n.second()
	}
}

// TestNewsReachesEveryEntry: invariant 10. A change that one entry learns is
// known to every entry within a few seconds, without the KV.
func TestNewsReachesEveryEntry(t *testing.T) {
	is := is.New(t)
	net := newNetwork(4, 8)
	net.run(20)
	is.Equal(len(net.nodes["e-2-3"].table.ranked("x")), 8) // it knows its domain
	net.nodes["e-3-7"].rev = 7
	net.nodes["e-3-7"].Rumour()
	net.run(5)
	is.Equal(net.behind(7), 0)
}

// TestCutDomainFindsBack: symptom: after a long cut one failure domain stays
// behind for good. Sequence: a domain is cut off for longer than members are
// remembered; both sides forget each other; the configuration changes; the
// cut ends. Cause, if gossip went to known members only: neither side would
// ever try the other again. Seeds, tried now and then, join them.
func TestCutDomainFindsBack(t *testing.T) {
	is := is.New(t)
	net := newNetwork(3, 4)
	net.run(15)
	side := func(name string) bool { return net.nodes[name] != nil && net.nodes[name].table.Self().Domain == "fd-2" }
	net.cut = func(from, to string) bool { return side(from) != side(to) }
	net.run(int(forgetAfter/time.Second) + 20)
	net.nodes["e-0-1"].rev = 9
	net.nodes["e-0-1"].Rumour()
	net.run(5)
	is.Equal(net.behind(9), 4)  // the cut domain
	is.Equal(net.holders(2), 2) // it still knows itself, and who would watch the KV
	net.cut = func(string, string) bool { return false }
	net.run(15)
	is.Equal(net.behind(9), 0)
}

// TestDeadHolderIsReplaced: symptom: a domain learns no change any more.
// Sequence: both entries of a domain that watch the KV are killed. Cause, if
// their duty were not taken over: nobody of the domain watches.
func TestDeadHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	net := newNetwork(2, 6)
	net.run(15)
	is.Equal(net.holders(0), 2)
	for _, m := range net.nodes["e-0-0"].table.ranked("config")[:2] {
		net.nodes[m.Instance].dead = true
	}
	is.Equal(net.holders(0), 0)
	net.run(int(suspectAfter/time.Second) + 5)
	is.Equal(net.holders(0), 2)
	// A lone survivor watches by itself: more calls, never silence.
	for _, e := range net.order {
		e.dead = e.table.Self().Instance != "e-0-0" && e.table.Self().Instance != "e-1-0"
	}
	net.nodes["e-0-0"].dead = false
	net.run(int(suspectAfter/time.Second) + 5)
	is.True(net.nodes["e-0-0"].table.Holds("config", 2))
}

// TestOldRowsBringNobodyBack: a dead entry does not come
// back to life because a peer repeats an old row of it.
func TestOldRowsBringNobodyBack(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	table := NewTable(&peerpb.Member{Instance: "a", Domain: "fd-1"}, fc, rand.NewPCG(1, 1))
	row := &peerpb.Member{Instance: "b", Domain: "fd-1", Life: 1, Beat: 5}
	table.Merge([]*peerpb.Member{row})
	is.Equal(len(table.Live()), 1)
	fc.Advance(suspectAfter + time.Second)
	table.Merge([]*peerpb.Member{row}) // told again by someone who has not noticed
	is.Equal(len(table.Live()), 0)
	table.Merge([]*peerpb.Member{{Instance: "b", Domain: "fd-1", Life: 2, Beat: 1}})
	is.Equal(len(table.Live()), 1) // a new life
	is.True(!table.Alive("b", 1))
}
