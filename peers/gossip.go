package peers

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Bounds of gossip.
const (
	// Interval is the time between two rounds an entry starts.
	Interval = time.Second
	// foreignEvery makes every n-th round go to another failure domain.
	foreignEvery = 4
	// exchangeWait bounds one exchange: a peer behind a cut or a connection
	// gone silent must not hold up the next round.
	exchangeWait = 700 * time.Millisecond
	// seedEvery makes every n-th round go to a seed even when members are
	// known: after a long cut both sides have forgotten each other, and
	// without this the two halves would never meet again.
	seedEvery = 10
	// rowsEvery makes every n-th digest carry whole rows; in the first
	// youngBeats rounds of an entry's life every digest from and to it does.
	rowsEvery  = 5
	youngBeats = 20
	// rumourFanout is how many peers hear of news at once.
	rumourFanout = 3
)

// Received is a peer's digest.
type Received struct {
	*peerpb.Digest
	// Asked is when this entry asked for it, zero when the peer sent it
	// unasked. An unasked digest may have lain in a socket while this process
	// was paused, so nothing in it says how things stand now.
	Asked time.Time
}

// Topic is one kind of knowledge carried in digests. Fill adds it; local is
// true when the peer is in the same failure domain. Merge takes the peer's
// and returns whether it held news worth passing on at once.
type Topic interface {
	Fill(d *peerpb.Digest, local bool)
	Merge(ctx context.Context, d Received) (news bool)
}

// Dial returns a client for a peer's base URL.
type Dial func(address string) peerpb.Peer

// HTTPDial returns a Dial over HTTP whose calls share one connection pool.
func HTTPDial() Dial {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}
	var clients sync.Map // address -> peerpb.Peer
	return func(address string) peerpb.Peer {
		if c, ok := clients.Load(address); ok {
			return c.(peerpb.Peer)
		}
		c := peerpb.NewPeerProtobufClient(address, hc)
		clients.Store(address, c)
		return c
	}
}

// Gossip runs exchanges over a table.
type Gossip struct {
	table *Table
	seeds func() []string // base URLs to try besides the known members
	dial  Dial
	log   *slog.Logger

	topics  []Topic
	round   int
	digests atomic.Int64
	rumour  chan struct{}
}

// NewGossip returns gossip over table. seeds gives base URLs that may hold a
// peer: from the settings and from the platform's instance list.
func NewGossip(table *Table, seeds func() []string, dial Dial, log *slog.Logger) *Gossip {
	return &Gossip{table: table, seeds: seeds, dial: dial, log: log, rumour: make(chan struct{}, 1)}
}

// Add registers topics; it must be called before the first round.
func (g *Gossip) Add(topics ...Topic) { g.topics = append(g.topics, topics...) }

// Digest is what this entry tells a peer. Most digests name members by id
// and beat only: whole rows would be most of what gossip sends.
// to may be nil.
func (g *Gossip) Digest(to *peerpb.Member) *peerpb.Digest {
	d := &peerpb.Digest{From: g.table.Self()}
	rows := g.table.Rows()
	if g.digests.Add(1)%rowsEvery == 1 || young(d.From) || young(to) {
		d.Members = rows
	} else {
		for _, m := range rows {
			d.Alive, d.Beat = append(d.Alive, lifeID(m)), append(d.Beat, uint32(m.Beat))
		}
	}
	for _, t := range g.topics {
		t.Fill(d, to != nil && to.Domain == d.From.Domain)
	}
	return d
}

// young reports whether m's life has just begun: it knows few, and few know
// it.
func young(m *peerpb.Member) bool { return m == nil || m.Beat <= youngBeats }

// receive merges a peer's digest. News makes a rumour: it is passed on
// without waiting for the next round.
func (g *Gossip) receive(ctx context.Context, d Received) {
	g.table.Merge(append(d.Members, d.From))
	g.table.MergeBeats(d.Alive, d.Beat)
	news := false
	for _, t := range g.topics {
		news = t.Merge(ctx, d) || news
	}
	if news {
		g.Rumour()
	}
}

// Rumour asks for an extra round at once.
func (g *Gossip) Rumour() {
	select {
	case g.rumour <- struct{}{}:
	default: // one is already asked for
	}
}

// Serve answers a peer's exchange.
func (g *Gossip) Serve(ctx context.Context, d *peerpb.Digest) *peerpb.Digest {
	out := g.Digest(d.From)
	g.receive(ctx, Received{Digest: d})
	return out
}

// Round starts one exchange with a random peer.
func (g *Gossip) Round(ctx context.Context) {
	g.table.Beat()
	g.round++
	to := g.pick(1, g.round%foreignEvery == 0)
	if len(to) == 0 || g.round%seedEvery == 0 {
		g.seedRound(ctx)
		return
	}
	g.exchange(ctx, to[0])
}

// audience is who hears of news at once, one of them in another domain.
func (g *Gossip) audience() []*peerpb.Member {
	return append(g.pick(rumourFanout, false), g.pick(1, true)...)
}

// Spread tells a few peers of news.
func (g *Gossip) Spread(ctx context.Context) {
	var wg sync.WaitGroup
	for _, to := range g.audience() {
		wg.Add(1)
		go func() { defer wg.Done(); g.exchange(ctx, to) }()
	}
	wg.Wait()
}

// seedRound reaches for a seed: at start, and now and then.
func (g *Gossip) seedRound(ctx context.Context) {
	self := g.table.Self().Address
	seeds := slices.DeleteFunc(g.seeds(), func(a string) bool { return a == self })
	if len(seeds) > 0 {
		shuffle(g.table, seeds)
		g.exchange(ctx, &peerpb.Member{Address: seeds[0]})
	}
}

// pick returns up to n random live members of this domain, or of others.
func (g *Gossip) pick(n int, foreign bool) []*peerpb.Member {
	mine := g.table.Self().Domain
	var pool []*peerpb.Member
	for _, m := range g.table.Live() {
		if (m.Domain != mine) == foreign {
			pool = append(pool, m)
		}
	}
	if len(pool) == 0 && n == 1 { // alone here, or no other domain known
		pool = g.table.Live()
	}
	shuffle(g.table, pool)
	return pool[:min(n, len(pool))]
}

func (g *Gossip) exchange(ctx context.Context, to *peerpb.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	asked := g.table.clock.Now()
	d, err := g.dial(to.Address).Exchange(ctx, g.Digest(to))
	if err != nil {
		g.log.Debug("peers: exchange failed.", "peer", to.Address, "error", err)
		return
	}
	g.receive(ctx, Received{Digest: d, Asked: asked})
}

// Run gossips until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	g.Round(ctx)
	for {
		select {
		case <-t.C:
			g.Round(ctx)
		case <-g.rumour:
			g.Spread(ctx)
		case <-ctx.Done():
			return
		}
	}
}
