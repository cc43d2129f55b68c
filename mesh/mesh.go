package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Timing of exchanges.
const (
	// exchangeInterval is the time between exchanges while the store answers. Evidence on a
	// version then reaches eight entries within a second, and a change of the store reaches
	// an entry that does not watch it within half a second.
	exchangeInterval = 300 * time.Millisecond
	// relayInterval applies to relays: the data of their domain is older by it.
	relayInterval = 150 * time.Millisecond
	// outageInterval applies while the store does not answer this entry. If a third of the
	// entries are in the same state, ten random peers within 1.5 s almost certainly include
	// one that is current.
	outageInterval = 150 * time.Millisecond
	// callTimeout bounds an exchange. One normally takes a few milliseconds; a longer one has
	// hit a partition or a dead connection.
	callTimeout = 400 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// snapshotTimeout applies to an entry without current data: a snapshot of a large store
	// takes seconds over a slow link.
	snapshotTimeout = 3 * time.Second
	// snapshotInterval is the minimum time between snapshots sent by one entry whose link is
	// not known; others send as many as take up snapshotLinkShare of it. When hundreds of
	// entries start at once and ask the same few peers, none of the snapshots would arrive if
	// all were sent at the same time.
	snapshotInterval  = 200 * time.Millisecond
	snapshotLinkShare = 0.5
	// crashFanout is how many peers are told at once of a request that crashes endpoints. The
	// request comes again at any entry within a second, and those peers pass it on in turn.
	crashFanout = 3
	// unreachableFor is how long a peer that did not answer is skipped.
	unreachableFor = 2 * time.Second
	// forgetPeerAfter is how long after that a peer is forgotten that was not asked again.
	forgetPeerAfter = time.Minute
	// staleFor is how long an entry that does not receive the store's changes is skipped as a
	// source.
	staleFor = 5 * time.Second
	// maxEvidenceRows bounds the evidence sent in one exchange.
	maxEvidenceRows = 256
	// crossDomainExchanges bounds the exchanges from one failure domain to others to this many
	// times those of one entry, however many entries the domain has: all entries share the
	// links between domains, and a domain's watchers get the others' data from the watchers
	// there. In a domain of no more entries than this, all exchanges may cross.
	crossDomainExchanges = 4
)

// Deps are the dependencies of a Mesh.
type Deps struct {
	Instance string
	Domain   string
	// Address is where this entry serves its peers, IP:port.
	Address  string
	LinkMbps float64 // bandwidth of the network link in Mbit/s; 0: not known
	Seeds    []string
	Fleet    *fleet.Follower
	Rollouts *rollout.Controller
	// Quarantine holds the requests that crash endpoints.
	Quarantine *quarantine.Table
	// Limits are the rate limits named by endpoints.
	Limits *ratelimit.Limits
	// Concurrency bounds the requests at brittle endpoints.
	Concurrency *concurrency.Limiter
	// Peer returns a client of the entry at an address; nil: by HTTP.
	Peer  func(address string) meshpb.Mesh
	Clock clockwork.Clock
	Log   *slog.Logger
}

// Mesh exchanges state with the other entries. It is safe for concurrent use.
type Mesh struct {
	Deps

	mu               sync.Mutex
	seeds            []string
	unreachableUntil map[string]time.Time // address -> until when it is skipped
	staleUntil       map[string]time.Time // address -> until when it does not count as a watcher
	unreachable      map[string]bool      // addresses logged as not answering
	exchanges        int64
	failed           int64
	lastSnapshot     time.Time // when a snapshot was last sent
	// announced are peers that told of a later era than this entry's.
	announced chan announcement

	started time.Time
	// heardAt is when the latest exchange was begun that a peer answered, aloneAt when none answered, as uptimes;
	// 0: never.
	heardAt, aloneAt atomic.Int64
	// refreshes has a call while peers are asked before requests are sent.
	refreshes singleflight.Group

	packer packer
}

var _ meshpb.Mesh = (*Mesh)(nil)

// New returns a mesh.
func New(d Deps) *Mesh {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        16,
		IdleConnTimeout:     15 * time.Second,
		DisableCompression:  true,
	}
	if d.Concurrency == nil {
		d.Concurrency = concurrency.New(concurrency.Deps{Instance: d.Instance, Clock: d.Clock, Log: d.Log})
	}
	if d.Peer == nil {
		client := newClient(t, maxMessageBytes)
		d.Peer = func(address string) meshpb.Mesh { return meshpb.NewMeshProtobufClient("http://"+address, client) }
	}
	m := &Mesh{Deps: d, seeds: d.Seeds, unreachableUntil: map[string]time.Time{}, staleUntil: map[string]time.Time{}, unreachable: map[string]bool{}, announced: make(chan announcement, eraFanout)}
	if d.Clock != nil {
		m.started = d.Clock.Now()
	}
	return m
}

// SetSeeds replaces the seeds, for example after the settings were reloaded.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Run exchanges with random peers until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	asking.Go(func() { m.releaseConfig(ctx) })
	for ctx.Err() == nil {
		interval := exchangeInterval
		switch view := m.Fleet.View(); {
		case m.Fleet.StoreUnreachable() || view.Revision == 0:
			interval = outageInterval
		case view.IsRelay(m.Instance):
			interval = relayInterval
		}
		jittered := time.Duration(float64(interval) * (0.75 + rand.Float64()/2))
		partners, pick := 1, m.pickPeer
		select {
		case <-m.Clock.After(jittered):
		case <-m.Quarantine.Updates():
			partners = crashFanout
		case <-m.Fleet.EraEntered():
			partners, pick = eraFanout, m.pickListener
		case a := <-m.announced:
			m.catchUp(ctx, a)
			continue
		case <-ctx.Done():
			return
		}
		if v := m.Fleet.View(); v.Revision == 0 && len(v.Entries) == 0 && !m.Fleet.StoreUnreachable() {
			continue // the store is being read, and gives more data at less cost
		}
		m.exchangeWithPeers(ctx, partners, pick)
	}
}

// exchangeWithPeers exchanges with up to that many peers concurrently.
func (m *Mesh) exchangeWithPeers(ctx context.Context, partners int, pick func() (address string, ok bool)) {
	addresses := map[string]bool{}
	for range partners {
		if address, ok := pick(); ok {
			addresses[address] = true
		}
	}
	var wg sync.WaitGroup
	for address := range addresses {
		wg.Go(func() { m.ExchangeWith(ctx, address) })
	}
	wg.Wait()
}

// ExchangeWith does one exchange with the entry at an address.
func (m *Mesh) ExchangeWith(ctx context.Context, address string) {
	timeout := callTimeout
	if m.Fleet.View().Revision == 0 || !m.Fleet.Current() {
		timeout = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := m.Clock.Now()
	got, err := m.Peer(address).Exchange(ctx, m.request())
	if err == nil {
		err = m.unpackChanges(got)
	}
	m.recordResult(address, err)
	if err == nil {
		m.recordFreshness(address, got)
		m.merge(got, m.Clock.Since(started))
		m.heardAt.Store(max(m.heardAt.Load(), m.uptime(started)))
	}
}

// recordFreshness records whether a peer that answered is a good source: its data is current and,
// if it is a watcher, the store answers it. One that gets its data from others would make that of
// its relays older. An answer without an age says nothing about that.
func (m *Mesh) recordFreshness(address string, got *meshpb.ExchangeMessage) {
	if got.ConfirmedMs < 0 || len(got.Changes) >= fleet.BulkChanges {
		return // it has no data, or is catching up with the store
	}
	view := m.Fleet.View()
	cutOff := !got.Watching && view.HasEntry(got.Instance) && view.IsWatcher(got.Instance)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !cutOff && fleet.IsCurrent(time.Duration(got.ConfirmedMs)*time.Millisecond) {
		delete(m.staleUntil, address)
		return
	}
	m.staleUntil[address] = m.Clock.Now().Add(staleFor)
}

// recordResult updates the counters, and logs when a peer stops or resumes answering.
func (m *Mesh) recordResult(address string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exchanges++
	was := m.unreachable[address]
	if err == nil {
		delete(m.unreachable, address)
		delete(m.unreachableUntil, address)
		if was {
			m.Log.Info("mesh: entry answers again.", "address", address)
		}
		return
	}
	m.failed++
	m.unreachableUntil[address] = m.Clock.Now().Add(unreachableFor)
	m.unreachable[address] = true
	if !was {
		m.Log.Warn("mesh: entry does not answer.", "address", address, "error", err)
	}
}

// request is the message sent to a peer. Watchers and relays receive evidence from all entries, so
// an entry that relies on them sends only its own evidence, not what it received from them.
func (m *Mesh) request() *meshpb.ExchangeMessage {
	orders, evidence, sessions := m.Rollouts.Snapshot()
	if !m.Fleet.Watching() && m.Fleet.Current() && !m.Fleet.View().IsRelay(m.Instance) {
		evidence = slices.DeleteFunc(evidence, func(r rollout.Row) bool { return r.Instance != m.Instance })
	}
	out := m.encode(orders, evidence, sessions)
	out.Unpacks, out.WantsCarried = true, m.Fleet.StartedInEra()
	return out
}

// response is this entry's state without changes of the store. Its Watching field is for
// entries that run another version of the program and depend on it.
func (m *Mesh) response() *meshpb.ExchangeMessage {
	return m.encode(m.Rollouts.Snapshot())
}

func (m *Mesh) encode(orders []rollout.OrderState, evidence []rollout.Row, sessions []rollout.Session) *meshpb.ExchangeMessage {
	revision := m.Fleet.Revision()
	era := revision.Era()
	out := &meshpb.ExchangeMessage{Instance: m.Instance, Revision: revision.Number(), EraPlusOne: int64(era) + 1, ConfirmedMs: -1, Watching: m.Fleet.Watching()}
	if age, ok := m.Fleet.Age(); ok {
		out.ConfirmedMs = age.Milliseconds()
	}
	for _, o := range orders {
		if o.Ordered.Era() == era {
			out.Orders = append(out.Orders, &meshpb.Order{Service: o.Service, Ordered: o.Ordered.Number(), AgeMs: o.Age.Milliseconds(), Halted: o.Halted, MovedMs: promotedAgoMS(o)})
		}
	}
	for _, s := range sessions {
		out.Session = append(out.Session, s.Hash)
		out.SessionAgoMs = append(out.SessionAgoMs, uint32(s.Ago.Milliseconds()))
	}
	evidence = slices.DeleteFunc(evidence, func(r rollout.Row) bool { return r.Ordered.Era() != era })
	if len(evidence) > maxEvidenceRows {
		rand.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
		evidence = evidence[:maxEvidenceRows]
	}
	for _, r := range evidence {
		out.Evidence = append(out.Evidence, &meshpb.Evidence{Instance: r.Instance, Boot: r.Boot, Service: r.Service, Ordered: r.Ordered.Number(),
			Route: r.Route, Samples: r.Samples, Failed: r.Failed, Slow: r.Slow, Rank: r.LogTime, Seen: r.Seen, Bad: r.Bad})
	}
	out.Suspects, out.SuspectParts = m.Quarantine.Message()
	out.Limits = m.Limits.Message()
	out.Brittle = m.Concurrency.Message()
	for _, d := range m.Fleet.Departures() {
		out.Departures = append(out.Departures, &meshpb.Departure{Endpoint: string(d.Endpoint), AgeMs: uint32(d.Age.Milliseconds())})
	}
	return out
}

// promotedAgoMS returns the time since the entry raised the share above the canary share, or -1
// if it has not.
func promotedAgoMS(o rollout.OrderState) int64 {
	if !o.Promoted {
		return -1
	}
	return o.PromotedAgo.Milliseconds()
}

// Exchange implements meshpb.Mesh: it merges the caller's state and answers with the
// changes that the caller lacks.
func (m *Mesh) Exchange(_ context.Context, in *meshpb.ExchangeMessage) (*meshpb.ExchangeMessage, error) {
	m.noteEra(in)
	m.mergeRollouts(in)
	m.Quarantine.MergeMessage(in.Instance, in.Suspects, in.SuspectParts)
	m.Limits.MergeMessage(in.Limits)
	m.Concurrency.MergeMessage(in.Brittle)
	m.mergeDepartures(in)
	out := m.response()
	after := kv.RevisionIn(m.eraOf(in), in.Revision)
	if m.Fleet.NeedsSnapshot(after) && !m.allowSnapshot() {
		out.Revision, out.ConfirmedMs, out.Watching = 0, -1, false
		return out, nil
	}
	if err := m.addChanges(out, after, in.Unpacks); err != nil {
		m.Log.Error("mesh: changes cannot be encoded.", "error", err)
		return nil, err
	}
	if in.WantsCarried {
		m.addCarried(out)
	}
	return out, nil
}

// allowSnapshot reports whether a snapshot may be sent now; if so, it counts as sent.
func (m *Mesh) allowSnapshot() bool {
	now := m.Clock.Now()
	interval := m.snapshotInterval()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSnapshot) < interval {
		return false
	}
	m.lastSnapshot = now
	return true
}

// snapshotInterval returns the minimum time between snapshots: that of the last one sent on its
// share of the link.
func (m *Mesh) snapshotInterval() time.Duration {
	size := m.packer.snapshotSize()
	if m.LinkMbps <= 0 || size == 0 {
		return snapshotInterval
	}
	return time.Duration(float64(8*size) / (snapshotLinkShare * m.LinkMbps * 1e6) * float64(time.Second))
}

// merge applies a peer's response. The round trip is added to the age that it names, since
// the response may have spent all of that time in transit: without it, data passed on over
// slow links would appear younger with each entry.
func (m *Mesh) merge(got *meshpb.ExchangeMessage, took time.Duration) {
	if got.ConfirmedMs >= 0 {
		m.Fleet.Merge(got.Instance, decodeChanges(got), time.Duration(got.ConfirmedMs)*time.Millisecond+took)
		m.mergeCarried(got)
	}
	m.mergeRollouts(got)
	m.Quarantine.MergeMessage(got.Instance, got.Suspects, got.SuspectParts)
	m.Limits.MergeMessage(got.Limits)
	m.Concurrency.MergeMessage(got.Brittle)
	m.mergeDepartures(got)
}

func (m *Mesh) mergeDepartures(in *meshpb.ExchangeMessage) {
	reports := make([]fleet.Departure, 0, len(in.Departures))
	for _, d := range in.Departures {
		reports = append(reports, fleet.Departure{Endpoint: fleet.EndpointID(d.Endpoint), Age: time.Duration(d.AgeMs) * time.Millisecond})
	}
	m.Fleet.AddDepartures(in.Instance, reports)
}

func (m *Mesh) mergeRollouts(in *meshpb.ExchangeMessage) {
	era := m.eraOf(in)
	orders := make([]rollout.OrderState, 0, len(in.Orders))
	for _, o := range in.Orders {
		orders = append(orders, rollout.OrderState{Service: o.Service, Ordered: kv.RevisionIn(era, o.Ordered), Age: time.Duration(o.AgeMs) * time.Millisecond, Halted: o.Halted,
			Promoted: o.MovedMs >= 0, PromotedAgo: time.Duration(o.MovedMs) * time.Millisecond})
	}
	evidence := make([]rollout.Row, 0, len(in.Evidence))
	for _, e := range in.Evidence {
		evidence = append(evidence, rollout.Row{
			Source: rollout.Source{Instance: e.Instance, Boot: e.Boot, Service: e.Service, Ordered: kv.RevisionIn(era, e.Ordered), Route: e.Route},
			Counts: rollout.Counts{Samples: e.Samples, Failed: e.Failed, Slow: e.Slow, LogTime: e.Rank, Seen: e.Seen, Bad: e.Bad},
		})
	}
	sessions := make([]rollout.Session, 0, len(in.Session))
	for i, hash := range in.Session {
		if i < len(in.SessionAgoMs) {
			sessions = append(sessions, rollout.Session{Hash: hash, Ago: time.Duration(in.SessionAgoMs[i]) * time.Millisecond})
		}
	}
	m.Rollouts.Merge(orders, evidence, sessions)
}

// State is the mesh's part of the state dump.
type State struct {
	Rounds int64    `json:"rounds"`
	Failed int64    `json:"failed"`
	Lost   []string `json:"lost"`
}

// State returns the current state dump.
func (m *Mesh) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{Rounds: m.exchanges, Failed: m.failed}
	for a := range m.unreachable {
		s.Lost = append(s.Lost, a)
	}
	return s
}
