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
	"github.com/lovageweir/lovageweir/upstream"
)

// Bounds of gossip.
const (
	// Interval is the time between the rounds that an entry starts.
	Interval = time.Second
	// remoteDomainEvery makes every n-th round go to another failure domain.
	remoteDomainEvery = 4
	// exchangeTimeout bounds one exchange: an unreachable peer or a stalled
	// connection must not delay the next round.
	exchangeTimeout = 700 * time.Millisecond
	// seedEvery makes every n-th round go to a seed even when members are
	// known: after a long network partition both sides have evicted each
	// other, and without this they would never reconnect.
	seedEvery = 10
	// fullDigestEvery makes every n-th digest carry full member records. In the
	// first warmUpBeats rounds of an entry every digest from and to it does.
	fullDigestEvery = 5
	warmUpBeats     = 20
	// spreadFanout is how many peers of the own domain an update is sent to at
	// once.
	spreadFanout = 3
)

// Received is a peer's digest.
type Received struct {
	*peerpb.Digest
	// RequestedAt is when this entry requested the digest, or zero if the peer sent
	// it unrequested. An unrequested digest may have waited in a socket buffer
	// while this process was paused, so it proves nothing about the present.
	RequestedAt time.Time
}

// Topic is one kind of state carried in digests. Fill adds this entry's state
// to a digest; local is true when the peer is in the same failure domain. Merge
// applies the peer's state and reports whether it contained a change to
// propagate at once.
type Topic interface {
	Fill(d *peerpb.Digest, local bool)
	Merge(ctx context.Context, d Received) (changed bool)
}

// Dial returns a client for a peer's base URL.
type Dial func(address string) peerpb.Peer

// Bounds of the answers of peers, whose digests and snapshots of the configuration are as large as their messages.
const (
	maxHeaderBytes  = 16 << 10
	maxMessageBytes = 16 << 20
)

// HTTPDial returns a Dial over HTTP whose calls share one connection pool.
func HTTPDial() Dial {
	hc := upstream.NewClient(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes}, maxMessageBytes)
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

	topics          []Topic
	round           int
	digests         atomic.Int64
	spreadRequested chan struct{}
}

// NewGossip returns gossip over table. seeds returns base URLs at which a peer
// may be reachable: from the settings and from the platform's instance list.
func NewGossip(table *Table, seeds func() []string, dial Dial, log *slog.Logger) *Gossip {
	return &Gossip{table: table, seeds: seeds, dial: dial, log: log, spreadRequested: make(chan struct{}, 1)}
}

// Add registers topics; it must be called before the first round.
func (g *Gossip) Add(topics ...Topic) { g.topics = append(g.topics, topics...) }

// Digest builds the digest to send to a peer. Most digests list members by id
// and heartbeat counter only: full records would make up most of the gossip
// traffic. to may be nil.
func (g *Gossip) Digest(to *peerpb.Member) *peerpb.Digest {
	d := &peerpb.Digest{From: g.table.Self()}
	members := g.table.DigestMembers()
	if g.digests.Add(1)%fullDigestEvery == 1 || warmingUp(d.From) || warmingUp(to) {
		d.Members = members
	} else {
		for _, m := range members {
			d.Alive, d.Beat = append(d.Alive, incarnationID(m)), append(d.Beat, uint32(m.Beat))
		}
	}
	for _, t := range g.topics {
		t.Fill(d, to != nil && to.Domain == d.From.Domain)
	}
	return d
}

// warmingUp reports whether m has just started, when it knows few members and
// few know it. A nil m counts as just started.
func warmingUp(m *peerpb.Member) bool { return m == nil || m.Beat <= warmUpBeats }

// receive merges a peer's digest. A change in it is propagated without waiting
// for the next round.
func (g *Gossip) receive(ctx context.Context, d Received) {
	g.table.Merge(append(d.Members, d.From))
	g.table.MergeHeartbeats(d.Alive, d.Beat)
	changed := false
	for _, t := range g.topics {
		changed = t.Merge(ctx, d) || changed
	}
	if changed {
		g.TriggerSpread()
	}
}

// TriggerSpread requests that Run send this entry's digest to several peers at once
// (Spread).
func (g *Gossip) TriggerSpread() {
	select {
	case g.spreadRequested <- struct{}{}:
	default: // already requested
	}
}

// Serve answers a peer's exchange.
func (g *Gossip) Serve(ctx context.Context, d *peerpb.Digest) *peerpb.Digest {
	out := g.Digest(d.From)
	g.receive(ctx, Received{Digest: d})
	return out
}

// Round increments the heartbeat and runs one exchange with a random peer or a
// seed.
func (g *Gossip) Round(ctx context.Context) {
	g.table.Beat()
	g.round++
	to := g.pick(1, g.round%remoteDomainEvery == 0)
	if len(to) == 0 || g.round%seedEvery == 0 {
		g.seedRound(ctx)
		return
	}
	g.exchange(ctx, to[0])
}

// spreadTargets returns the peers that an update is sent to at once, one of
// them in another domain.
func (g *Gossip) spreadTargets() []*peerpb.Member {
	return append(g.pick(spreadFanout, false), g.pick(1, true)...)
}

// Spread exchanges digests with several peers concurrently.
func (g *Gossip) Spread(ctx context.Context) {
	var wg sync.WaitGroup
	for _, to := range g.spreadTargets() {
		wg.Add(1)
		go func() { defer wg.Done(); g.exchange(ctx, to) }()
	}
	wg.Wait()
}

// seedRound runs one exchange with a random seed: at the start, when no member is
// known, and every seedEvery rounds.
func (g *Gossip) seedRound(ctx context.Context) {
	self := g.table.Self().Address
	seeds := slices.DeleteFunc(g.seeds(), func(a string) bool { return a == self })
	if len(seeds) > 0 {
		shuffle(g.table, seeds)
		g.exchange(ctx, &peerpb.Member{Address: seeds[0]})
	}
}

// pick returns up to n random live members of this domain, or of the other
// domains if remote is set.
func (g *Gossip) pick(n int, remote bool) []*peerpb.Member {
	own := g.table.Self().Domain
	var candidates []*peerpb.Member
	for _, m := range g.table.Live() {
		if (m.Domain != own) == remote {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 && n == 1 { // no other member of this domain, or no other domain, is known
		candidates = g.table.Live()
	}
	shuffle(g.table, candidates)
	return candidates[:min(n, len(candidates))]
}

func (g *Gossip) exchange(ctx context.Context, to *peerpb.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	requestedAt := g.table.clock.Now()
	d, err := g.dial(to.Address).Exchange(ctx, g.Digest(to))
	if err != nil {
		g.log.Debug("peers: exchange failed.", "peer", to.Address, "error", err)
		return
	}
	g.receive(ctx, Received{Digest: d, RequestedAt: requestedAt})
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
		case <-g.spreadRequested:
			g.Spread(ctx)
		case <-ctx.Done():
			return
		}
	}
}
