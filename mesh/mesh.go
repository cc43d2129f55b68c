package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Times of exchanges.
const (
	// calmInterval is the time between exchanges while the store answers:
	// evidence on a version then reaches eight entries within a second, and a
	// change of the store an entry that does not watch it within half of one.
	calmInterval = 300 * time.Millisecond
	// awayInterval holds while the store does not answer this entry: with a
	// third of the entries in the same state, ten draws within a second and a
	// half meet one that is current with all but certainty.
	awayInterval = 150 * time.Millisecond
	// callTimeout bounds an exchange: one takes a few milliseconds; one that
	// takes longer has met a partition or a connection gone silent.
	callTimeout = 400 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// wholeTimeout is for an entry that knows nothing: a whole copy of a large
	// store, over a slow link, takes seconds.
	wholeTimeout = 3 * time.Second
	// wholeEvery is how often an entry tells a whole copy. When hundreds start
	// at once and ask the same few, copies told to all at a time would none of
	// them arrive.
	wholeEvery = 200 * time.Millisecond
	// newsPartners are how many others hear at once of a request that crashes endpoints. It
	// comes again at any entry within a second, and those that heard tell others in turn.
	newsPartners = 3
	// avoidFor is how long an entry that did not answer is left out.
	avoidFor = 2 * time.Second
	// deafFor is how long an entry whose knowledge was old, so that it does not
	// hear the store, is passed over among those that watch it.
	deafFor = 5 * time.Second
	// mostRows bounds the evidence told in one exchange.
	mostRows = 256
	// crossing times as many exchanges as one entry makes go from a failure domain to
	// others, however many entries it has: links between domains are shared by all, and
	// what the watchers of a domain know they have from the others' watchers. With as few
	// entries as this in a domain all may cross.
	crossing = 4
)

// Deps is what a mesh needs.
type Deps struct {
	Instance string
	Domain   string
	// Address is where this entry serves its peers, IP:port.
	Address  string
	Seeds    []string
	Fleet    *fleet.Follower
	Rollouts *rollout.Controller
	// Quarantine is of requests that crash endpoints.
	Quarantine *quarantine.Table
	// Limits are those that endpoints name.
	Limits *ratelimit.Limits
	Clock  clockwork.Clock
	Log    *slog.Logger
}

// Mesh is one entry's part. It is safe for concurrent use.
type Mesh struct {
	Deps
	http *http.Client

	mu     sync.Mutex
	seeds  []string
	avoid  map[string]time.Time // address -> until when it is left out
	deaf   map[string]time.Time // address -> until when it is taken not to hear the store
	lost   map[string]bool      // addresses whose loss is logged
	rounds int64
	failed int64
	whole  time.Time // when a whole copy was last told
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
	return &Mesh{Deps: d, http: &http.Client{Transport: t}, seeds: d.Seeds, avoid: map[string]time.Time{}, deaf: map[string]time.Time{}, lost: map[string]bool{}}
}

// SetSeeds replaces the seeds, as after a reload of the settings.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Run exchanges until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := calmInterval
		if m.Fleet.StoreAway() {
			interval = awayInterval
		}
		jittered := time.Duration(float64(interval) * (0.75 + rand.Float64()/2))
		partners := 1
		select {
		case <-m.Clock.After(jittered):
		case <-m.Quarantine.News():
			partners = newsPartners
		case <-ctx.Done():
			return
		}
		if m.Fleet.View().Revision == 0 && !m.Fleet.StoreAway() {
			continue // the store is being read, and tells more for less
		}
		m.exchangeWithSome(ctx, partners)
	}
}

// exchangeWithSome exchanges with so many others, side by side.
func (m *Mesh) exchangeWithSome(ctx context.Context, partners int) {
	addresses := map[string]bool{}
	for range partners {
		if address, ok := m.draw(); ok {
			addresses[address] = true
		}
	}
	var all sync.WaitGroup
	for address := range addresses {
		all.Go(func() { m.ExchangeWith(ctx, address) })
	}
	all.Wait()
}

// draw picks another entry at random: one of those that watch the store and
// lately heard it, if this one does not watch; in a large fleet mostly one of its own
// failure domain. Where there is none, as when all are cut off from the store, and when
// what this one knows is old, it may be any: of the others, those that reach the store
// have asked it by themselves.
func (m *Mesh) draw() (string, bool) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]bool{}
	watchers := map[string]bool{}
	nearWatchers := map[string]bool{}
	here := 0
	view := m.Fleet.View()
	for _, e := range view.Entries {
		known[e.Address] = true
		if e.Domain == m.Domain {
			here++
		}
		if e.Address != m.Address && !now.Before(m.deaf[e.Address]) && view.IsWatcher(e.Instance) {
			watchers[e.Address] = true
			nearWatchers[e.Address] = e.Domain == m.Domain
		}
	}
	// Seeds may be stale; they count while the store has told of nobody.
	if len(known) < 2 {
		for _, s := range m.seeds {
			known[s] = true
		}
	}
	delete(known, m.Address)
	var open []string
	for a := range known {
		if !now.Before(m.avoid[a]) {
			open = append(open, a)
		}
	}
	for a, until := range m.avoid {
		if now.After(until) && !known[a] {
			delete(m.avoid, a)
			delete(m.lost, a)
		}
	}
	for a, until := range m.deaf {
		if now.After(until) {
			delete(m.deaf, a)
		}
	}
	if !m.Fleet.Watching() && m.Fleet.Current() {
		if all := only(open, watchers); len(all) > 0 {
			open = all
		}
		if near := only(open, nearWatchers); len(near) > 0 && rand.Float64()*float64(here) >= crossing {
			open = near
		}
	}
	if len(open) == 0 {
		return "", false
	}
	return open[rand.IntN(len(open))], true
}

func only(addresses []string, in map[string]bool) []string {
	var out []string
	for _, a := range addresses {
		if in[a] {
			out = append(out, a)
		}
	}
	return out
}

// ExchangeWith exchanges once with the entry at an address.
func (m *Mesh) ExchangeWith(ctx context.Context, address string) {
	limit := callTimeout
	if m.Fleet.View().Revision == 0 {
		limit = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := meshpb.NewMeshProtobufClient("http://"+address, m.http)
	asked := m.Clock.Now()
	got, err := client.Exchange(ctx, m.question())
	m.note(address, err)
	if err == nil {
		m.noteHearing(address, got)
		m.merge(got, m.Clock.Since(asked))
	}
}

// noteHearing notes whether an entry that answered hears the store. One that
// vouches for nothing says nothing of that.
func (m *Mesh) noteHearing(address string, got *meshpb.ExchangeMessage) {
	if got.ConfirmedMs < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if fleet.IsCurrent(time.Duration(got.ConfirmedMs) * time.Millisecond) {
		delete(m.deaf, address)
		return
	}
	m.deaf[address] = m.Clock.Now().Add(deafFor)
}

// note keeps count, and logs when a peer is lost or back.
func (m *Mesh) note(address string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rounds++
	was := m.lost[address]
	if err == nil {
		delete(m.lost, address)
		delete(m.avoid, address)
		if was {
			m.Log.Info("mesh: entry answers again.", "address", address)
		}
		return
	}
	m.failed++
	m.avoid[address] = m.Clock.Now().Add(avoidFor)
	m.lost[address] = true
	if !was {
		m.Log.Warn("mesh: entry does not answer.", "address", address, "error", err)
	}
}

// question is what this entry tells the one that it asks. Those that watch the store
// hear from all the others: an entry that leaves watching to them tells them what it
// has seen itself, and not what it heard from them.
func (m *Mesh) question() *meshpb.ExchangeMessage {
	told, rows, under := m.Rollouts.Tell()
	if !m.Fleet.Watching() && m.Fleet.Current() {
		rows = slices.DeleteFunc(rows, func(r rollout.Row) bool { return r.Instance != m.Instance })
	}
	return m.encode(told, rows, under)
}

// message is what this entry knows, without changes of the store. Watching is
// told for entries that run another version of the program, which rely on it.
func (m *Mesh) message() *meshpb.ExchangeMessage {
	return m.encode(m.Rollouts.Tell())
}

func (m *Mesh) encode(told []rollout.Told, rows []rollout.Row, under []rollout.Session) *meshpb.ExchangeMessage {
	out := &meshpb.ExchangeMessage{Instance: m.Instance, Revision: int64(m.Fleet.View().Revision), ConfirmedMs: -1, Watching: m.Fleet.Watching()}
	if age, ok := m.Fleet.Age(); ok {
		out.ConfirmedMs = age.Milliseconds()
	}
	for _, t := range told {
		out.Orders = append(out.Orders, &meshpb.Order{Service: t.Service, Ordered: int64(t.Ordered), AgeMs: t.Age.Milliseconds(), Halted: t.Halted, MovedMs: movedMS(t)})
	}
	for _, u := range under {
		out.Session = append(out.Session, u.Hash)
		out.SessionAgoMs = append(out.SessionAgoMs, uint32(u.Ago.Milliseconds()))
	}
	if len(rows) > mostRows {
		rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		rows = rows[:mostRows]
	}
	for _, r := range rows {
		out.Evidence = append(out.Evidence, &meshpb.Evidence{Instance: r.Instance, Boot: r.Boot, Service: r.Service, Ordered: int64(r.Ordered),
			Route: r.Route, Samples: r.Samples, Failed: r.Failed, Slow: r.Slow, Rank: r.LogTime, Seen: r.Seen, Bad: r.Bad})
	}
	out.Suspects = m.Quarantine.Message()
	out.Limits = m.Limits.Message()
	return out
}

func movedMS(t rollout.Told) int64 {
	if !t.HasMoved {
		return -1
	}
	return t.Moved.Milliseconds()
}

// Exchange implements meshpb.Mesh: it takes what the caller knows and
// answers with what it lacks.
func (m *Mesh) Exchange(_ context.Context, in *meshpb.ExchangeMessage) (*meshpb.ExchangeMessage, error) {
	m.hearRollouts(in)
	m.Quarantine.HearMessage(in.Suspects)
	m.Limits.LearnMessage(in.Limits)
	out := m.message()
	c := m.Fleet.Since(kv.Revision(in.Revision))
	if c.Whole && !m.mayTellWhole() {
		out.Revision, out.ConfirmedMs, out.Watching = 0, -1, false
		return out, nil
	}
	out.Revision = int64(c.Revision)
	out.Whole = c.Whole
	for _, e := range c.Events {
		out.Changes = append(out.Changes, &meshpb.Change{Key: e.KV.Key, Value: e.KV.Value, Revision: int64(e.KV.ModRevision),
			Created: int64(e.KV.CreateRevision), Lease: int64(e.KV.Lease), Deleted: e.Type == kv.EventDelete})
	}
	return out, nil
}

// mayTellWhole reports whether a whole copy may be told now, and takes the
// turn.
func (m *Mesh) mayTellWhole() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.whole) < wholeEvery {
		return false
	}
	m.whole = now
	return true
}

// merge takes a peer's answer to an exchange that took so long. The age that it
// tells may have been on the way for all of that: not counted, knowledge that is
// passed on over slow links would look younger with each entry.
func (m *Mesh) merge(got *meshpb.ExchangeMessage, took time.Duration) {
	c := fleet.Changes{Revision: kv.Revision(got.Revision), Whole: got.Whole, Events: make([]kv.Event, 0, len(got.Changes))}
	for _, ch := range got.Changes {
		e := kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: ch.Key, Value: ch.Value, ModRevision: kv.Revision(ch.Revision),
			CreateRevision: kv.Revision(ch.Created), Lease: kv.LeaseID(ch.Lease)}}
		if ch.Deleted {
			e.Type = kv.EventDelete
		}
		c.Events = append(c.Events, e)
	}
	if got.ConfirmedMs >= 0 {
		m.Fleet.Merge(got.Instance, c, time.Duration(got.ConfirmedMs)*time.Millisecond+took)
	}
	m.hearRollouts(got)
	m.Quarantine.HearMessage(got.Suspects)
	m.Limits.LearnMessage(got.Limits)
}

func (m *Mesh) hearRollouts(in *meshpb.ExchangeMessage) {
	told := make([]rollout.Told, 0, len(in.Orders))
	for _, o := range in.Orders {
		told = append(told, rollout.Told{Service: o.Service, Ordered: kv.Revision(o.Ordered), Age: time.Duration(o.AgeMs) * time.Millisecond, Halted: o.Halted,
			HasMoved: o.MovedMs >= 0, Moved: time.Duration(o.MovedMs) * time.Millisecond})
	}
	rows := make([]rollout.Row, 0, len(in.Evidence))
	for _, e := range in.Evidence {
		rows = append(rows, rollout.Row{
			Source: rollout.Source{Instance: e.Instance, Boot: e.Boot, Service: e.Service, Ordered: kv.Revision(e.Ordered), Route: e.Route},
			Counts: rollout.Counts{Samples: e.Samples, Failed: e.Failed, Slow: e.Slow, LogTime: e.Rank, Seen: e.Seen, Bad: e.Bad},
		})
	}
	under := make([]rollout.Session, 0, len(in.Session))
	for i, hash := range in.Session {
		if i < len(in.SessionAgoMs) {
			under = append(under, rollout.Session{Hash: hash, Ago: time.Duration(in.SessionAgoMs[i]) * time.Millisecond})
		}
	}
	m.Rollouts.Hear(told, rows, under)
}

// State is the mesh's part of the state dump.
type State struct {
	Rounds int64    `json:"rounds"`
	Failed int64    `json:"failed"`
	Lost   []string `json:"lost"`
}

// State returns the current dump.
func (m *Mesh) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{Rounds: m.rounds, Failed: m.failed}
	for a := range m.lost {
		s.Lost = append(s.Lost, a)
	}
	return s
}
