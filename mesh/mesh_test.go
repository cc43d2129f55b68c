package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// newEntry returns an entry's mesh, served on loopback.
func newEntry(t *testing.T, name string, seeds ...string) *Mesh {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := memkv.New(clock)
	f := fleet.NewFollower(fleet.Entry{Instance: name}, store, platform.Values{}, time.Second, clock, discardLog)
	r := rollout.New(rollout.Deps{Instance: name, Boot: 1, Store: store, Decoder: platform.Values{}, View: f.View, Clock: clock, Log: discardLog})
	q := quarantine.New(quarantine.Deps{View: f.View, Clock: clock, Log: discardLog})
	m := New(Deps{Instance: name, Seeds: seeds, Fleet: f, Rollouts: r, Quarantine: q, Limits: newLimits(), Clock: clock, Log: discardLog})
	srv := httptest.NewServer(meshpb.NewMeshServer(m))
	t.Cleanup(srv.Close)
	m.Address = strings.TrimPrefix(srv.URL, "http://")
	return m
}

func put(key, value string, rev kv.Revision) kv.Event {
	return kv.Event{KV: kv.KeyValue{Key: key, Value: []byte(value), ModRevision: rev}}
}

func mergeChanges(m *Mesh, c fleet.Changes) { m.Fleet.Merge("test", c, 0) }

// Guards against an entry that starts while the store rejects it serving nothing: it copies
// the whole state from another entry, found by its seeds.
func TestExchangeCopiesStateAndRemovals(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	mergeChanges(a, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{
		put("op/config", `{"version":3}`, 5), put("servers/e", `{"service":"s","address":"127.0.0.1:1","zone":"d","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}`, 7)}})
	b := newEntry(t, "b", a.Address)
	address, ok := b.pickPeer()
	is.True(ok)
	b.ExchangeWith(context.Background(), address)
	is.Equal(b.Fleet.View().Config.Version, int64(3))
	is.Equal(len(b.Fleet.View().Group("s").Ready), 1)
	is.Equal(b.Fleet.View().Revision, kv.Revision(7))

	mergeChanges(a, fleet.Changes{Revision: 9, Events: []kv.Event{{Type: kv.EventDelete, KV: kv.KeyValue{Key: "servers/e", ModRevision: 9}}}})
	b.ExchangeWith(context.Background(), address)
	is.Equal(len(b.Fleet.View().Group("s").Ready), 0) // removals are sent too
}

// A peer that never was current must not change another entry's state.
func TestExchangeWithEmptyPeerKeepsState(t *testing.T) {
	is := is.New(t)
	a, b := newEntry(t, "a"), newEntry(t, "b")
	mergeChanges(b, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	b.ExchangeWith(context.Background(), a.Address)
	is.Equal(b.Fleet.View().Config.Version, int64(3))
}

// Guards against a bad version being halted only on the entries that saw it fail.
func TestExchangeSharesHaltsAndEvidence(t *testing.T) {
	is := is.New(t)
	a, b := newEntry(t, "a"), newEntry(t, "b")
	for _, m := range []*Mesh{a, b} {
		mergeChanges(m, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{
			put("op/rollout/s", `{"service":"s","target":"v2","duration_s":60}`, 7)}})
	}
	g := a.Fleet.View().Group("s")
	for i := range 20 {
		a.Rollouts.Observe(rollout.Answer{Group: g, Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint(i % 2)), Version: "v2"}, Route: "r", Failed: true})
	}
	b.ExchangeWith(context.Background(), a.Address)
	is.Equal(b.Rollouts.State()[0].Samples, int64(20))
	is.True(b.Rollouts.State()[0].Halted)
	a.ExchangeWith(context.Background(), b.Address)
	is.Equal(a.Rollouts.State()[0].Samples, int64(20)) // evidence that comes back is not counted twice
}

// Guards against a request that crashes endpoints being sent by entries that were not notified in time.
func TestCrashingRequestIsExchangedAtOnce(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	b := newEntry(t, "b", a.Address)
	mergeChanges(b, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	clock := clockwork.NewFakeClock() // no periodic exchange is due
	b.Clock = clock
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	b.Quarantine.Crashed(quarantine.Subject{Request: 1}, "e1", 0, quarantine.Started)
	b.Quarantine.Crashed(quarantine.Subject{Request: 1}, "e2", 0, quarantine.Started)
	for !a.Quarantine.Check(quarantine.Subject{Request: 1}).Quarantined {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
}

// Guards against exchanges stalling on an unreachable entry: one that does not answer is skipped for a while.
func TestUnreachablePeerIsSkipped(t *testing.T) {
	is := is.New(t)
	gone := newEntry(t, "gone")
	srv := httptest.NewServer(nil)
	gone.Address = strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	b := newEntry(t, "b", gone.Address)
	b.ExchangeWith(context.Background(), gone.Address)
	_, ok := b.pickPeer()
	is.True(!ok)
	is.Equal(b.State().Failed, int64(1))
	is.Equal(b.State().Lost, []string{gone.Address})
}

func newLimits() *ratelimit.Limits {
	return ratelimit.New(ratelimit.Deps{Entries: func() []fleet.Entry { return nil }, Clock: clockwork.NewFakeClock(), Log: discardLog})
}

func newBudget() *retry.Budget {
	return retry.New(retry.Bounds{Ratio: 0.9, Extra: 56, Window: 10 * time.Second}, func() int { return 8 }, clockwork.NewFakeClock())
}

// Retry counts reach other entries, which may then use the rest of the retry budget.
func TestDatagramSharesRetryCounts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	budgets := []*retry.Budget{newBudget(), newBudget()}
	a := NewLoadExchange(LoadExchangeDeps{Instance: "a", Board: place.NewBoard(clock), Budget: budgets[0], Limits: newLimits(), Log: discardLog})
	b := NewLoadExchange(LoadExchangeDeps{Instance: "b", Board: place.NewBoard(clock), Budget: budgets[1], Limits: newLimits(), Log: discardLog})
	take := func(b *retry.Budget) (n int) {
		for b.Take("s", retry.ForFailure) {
			n++
		}
		return n
	}
	for _, b := range budgets {
		for range 100 {
			b.AddRequest("s")
		}
	}
	alone := take(budgets[1])
	raw, _, err := a.Datagram()
	is.NoErr(err)
	b.Receive(raw)
	is.True(take(budgets[1]) > 0)
	is.Equal(take(budgets[0]), alone) // it received no counts from others
}

// Outstanding work reaches other entries; a datagram that cannot be decoded is ignored.
func TestDatagramSharesOutstandingWork(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := place.NewBoard(clock), place.NewBoard(clock)
	a := NewLoadExchange(LoadExchangeDeps{Instance: "a", Board: from, Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	b := NewLoadExchange(LoadExchangeDeps{Instance: "b", Board: to, Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	_, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(empty)
	from.Begin(fleet.Endpoint{ID: "e1"}, 250*time.Millisecond)
	raw, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(!empty)
	is.True(len(raw) < 30)
	b.Receive([]byte("not a load"))
	b.Receive(raw)
	is.Equal(to.Standing("e1").Wait, 250*time.Millisecond)
}

// Each entry publishes to all entries of its failure domain, whose engines it shares, and
// to a bounded number of others, whatever the size of the fleet. When only a part of the
// domain was told, the rest sent to engines that had just been given a long prompt.
func TestRecipientsAreBounded(t *testing.T) {
	for _, tt := range []struct{ domains, want int }{{13, 25}, {2, maxRecipients}} {
		is := is.New(t)
		m := newEntry(t, "a")
		var events []kv.Event
		for i := range 330 {
			events = append(events, put(fmt.Sprintf("%si%03d", fleet.EntryPrefix, i), fmt.Sprintf(`{"instance":"i%03d","domain":"d%d","loads":"127.0.0.1:%d"}`, i, i%tt.domains, 1000+i), kv.Revision(i+1)))
		}
		mergeChanges(m, fleet.Changes{Revision: 330, Whole: true, Events: events})
		board := place.NewBoard(m.Clock)
		l := NewLoadExchange(LoadExchangeDeps{Instance: "i000", Domain: "d0", Fleet: m.Fleet, Board: board, Limits: newLimits(), Log: discardLog})
		is.Equal(len(l.recipients()), tt.want)
		board.Begin(fleet.Endpoint{ID: "e1", Domain: "d1"}, time.Second)
		is.Equal(len(l.recipients()), min(2*tt.want+1, maxRecipients)) // plus those that send to the same engine
	}
}

// Guards against a busy entry slowing its own requests with datagrams without limit. Each
// of many long prompts is published at once to thirty others, and nothing but the limiter
// bounds these datagrams.
func TestSendLimiterBoundsDatagrams(t *testing.T) {
	is := is.New(t)
	const recipients, step, duration = 70, 10 * time.Millisecond, 10 * time.Second
	now := time.Unix(0, 0)
	var limiter sendLimiter
	sent := 0
	for end := now.Add(duration); now.Before(end); now = now.Add(step) {
		if limiter.wait(now) > 0 {
			continue
		}
		limiter.sent(recipients)
		sent += recipients
	}
	is.True(sent <= datagramBurst+recipients+int(duration/datagramInterval))
	limiter.wait(now.Add(time.Minute))
	is.Equal(limiter.tokens, float64(datagramBurst)) // a pause saves up one burst at most
}

// Loads that endpoints reported to one entry reach another, with their age.
func TestDatagramForwardsEndpointLoads(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := place.NewBoard(clock), place.NewBoard(clock)
	a := NewLoadExchange(LoadExchangeDeps{Instance: "a", Board: from, Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	b := NewLoadExchange(LoadExchangeDeps{Instance: "b", Board: to, Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	ep := fleet.Endpoint{ID: "e1", Service: "s", Slots: 12}
	to.Rank([]fleet.Endpoint{ep}, place.Request{}) // makes the endpoint known to the board
	from.Begin(ep, 0).HeadReceived(&call.Load{Running: 9, Waiting: 2, Slots: 12})
	clock.Advance(100 * time.Millisecond)
	raw, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(!empty)
	b.Receive(raw)
	is.Equal(to.Standing("e1").Running, 9)
	is.Equal(to.Standing("e1").Load, 11.0)
	is.Equal(len(to.LoadReports()), 0) // received reports are not forwarded again
}

// Guards against entries cut off from the store staying on an old configuration though most
// entries have the new one. This entry and all watchers are cut off; asking watchers only,
// it finds none that knows more, while the other entries have long polled the store
// themselves.
func TestStaleEntryPicksAnyPeer(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, all := newRelying(t, clock)
	watchers := 0
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			watchers++
		}
	}
	is.Equal(len(pickedPeers(m)), watchers)
	clock.Advance(3 * time.Second)
	is.Equal(len(pickedPeers(m)), len(all)-1)
}

// Guards against exchanges that make up most of the traffic between failure domains and
// grow with the fleet. 195 entries each asked one of ten watchers of all domains three
// times a second, and got hundreds of rows of evidence, as the watchers of the own domain,
// which have the same data, were not preferred.
func TestExchangesStayMostlyWithinDomain(t *testing.T) {
	is := is.New(t)
	const entries, domains, picks = 195, 6, 3000
	var all []fleet.Entry
	var events []kv.Event
	for i := range entries {
		e := fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("d%d", i%domains), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
		all = append(all, e)
		events = append(events, put(fleet.EntryPrefix+e.Instance, fmt.Sprintf(`{"instance":%q,"domain":%q,"address":%q}`, e.Instance, e.Domain, e.Address), kv.Revision(i+1)))
	}
	lists := newEntry(t, "lists")
	mergeChanges(lists, fleet.Changes{Revision: entries, Whole: true, Events: events})
	domainOf, source := map[string]string{}, map[string]bool{}
	for _, e := range lists.Fleet.View().Sources() {
		source[e.Address] = true
	}
	is.True(len(source) <= domains+entries/32)
	var relying fleet.Entry
	for _, e := range all {
		domainOf[e.Address] = e.Domain
		if !source[e.Address] {
			relying = e
		}
	}
	clock := clockwork.NewFakeClock()
	m := newEntry(t, relying.Instance)
	m.Clock, m.Address, m.Domain = clock, relying.Address, relying.Domain
	m.Fleet = fleet.NewFollower(relying, memkv.New(clock), platform.Values{}, time.Second, clock, discardLog)
	m.Fleet.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) })
	mergeChanges(m, fleet.Changes{Revision: entries, Whole: true, Events: events})
	crossed, reached := 0, map[string]bool{}
	for range picks {
		address, ok := m.pickPeer()
		is.True(ok)
		is.True(source[address])
		reached[domainOf[address]] = true
		if domainOf[address] != relying.Domain {
			crossed++
		}
	}
	// On average crossDomainExchanges of 32 exchanges of an entry may cross; the bound is twice that.
	is.True(crossed < picks*2*crossDomainExchanges/(entries/domains))
	is.Equal(len(reached), domains) // evidence of one domain still reaches the others
}

// Guards against evidence traffic growing with the fleet: an entry that relies on watchers
// sends only its own evidence, as they have the evidence that it received from them.
func TestRequestToWatcherCarriesOwnEvidenceOnly(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, _ := newRelying(t, clock)
	m.Rollouts = rollout.New(rollout.Deps{Instance: m.Instance, Boot: 1, Decoder: platform.Values{}, View: m.Fleet.View, Clock: clock, Log: discardLog})
	mergeChanges(m, fleet.Changes{Revision: 11, Events: []kv.Event{put("op/rollout/s", `{"service":"s","target":"v2","duration_s":60}`, 11)}})
	row := rollout.Row{Source: rollout.Source{Instance: "another", Boot: 1, Service: "s", Ordered: 11, Route: "r"}, Counts: rollout.Counts{Samples: 3}}
	m.Rollouts.Merge(nil, []rollout.Row{row}, nil)
	is.Equal(len(m.request().Evidence), 0)
	is.Equal(len(m.response().Evidence), 1) // a response carries all evidence
	clock.Advance(5 * time.Second)
	is.Equal(len(m.request().Evidence), 1) // with stale data the peer may know less
}

// Guards against every other entry polling the store for each change while all watchers are
// cut off from it. An entry that polls has current data; if it asked only the watchers, it
// would get nothing current from them and share its data with nobody.
func TestStaleWatchersAreSkipped(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, all := newRelying(t, clock)
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			m.recordFreshness(e.Address, &meshpb.ExchangeMessage{ConfirmedMs: 3000})
		}
	}
	is.Equal(len(pickedPeers(m)), len(all)-1)
	one := all[0]
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			one = e
		}
	}
	m.recordFreshness(one.Address, &meshpb.ExchangeMessage{ConfirmedMs: 100})
	is.Equal(pickedPeers(m), map[string]bool{one.Address: true})
}

// Guards against data that is seconds old passing for current. Data is passed from entry to
// entry over slow links, and each response names the age at the time it was sent.
func TestExchangeDurationAddsToAge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, _ := newRelying(t, clock)
	clock.Advance(10 * time.Second)
	m.merge(&meshpb.ExchangeMessage{Instance: "i1", Revision: 10, ConfirmedMs: 100}, 300*time.Millisecond)
	age, ok := m.Fleet.Age()
	is.True(ok)
	is.Equal(age, 400*time.Millisecond)
}

// newRelying returns the mesh of one of ten entries of a failure domain, one
// that relies on the watchers, and the list of all ten.
func newRelying(t *testing.T, clock *clockwork.FakeClock) (*Mesh, []fleet.Entry) {
	t.Helper()
	var all []fleet.Entry
	var events []kv.Event
	for i := range 10 {
		e := fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: "d", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
		all = append(all, e)
		events = append(events, put(fleet.EntryPrefix+e.Instance, fmt.Sprintf(`{"instance":%q,"domain":%q,"address":%q}`, e.Instance, e.Domain, e.Address), kv.Revision(i+1)))
	}
	relying := all[0]
	for _, e := range all {
		if !fleet.IsWatcher(all, e) {
			relying = e
		}
	}
	m := newEntry(t, relying.Instance)
	m.Clock, m.Address = clock, relying.Address
	m.Fleet = fleet.NewFollower(relying, memkv.New(clock), platform.Values{}, time.Second, clock, discardLog)
	m.Fleet.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) })
	mergeChanges(m, fleet.Changes{Revision: 10, Whole: true, Events: events})
	return m, all
}

// pickedPeers returns the peers that a mesh picks in many picks.
func pickedPeers(m *Mesh) map[string]bool {
	out := map[string]bool{}
	for range 1000 { // misses one of nine peers once in 10^50 times
		if address, ok := m.pickPeer(); ok {
			out[address] = true
		}
	}
	return out
}

// Datagrams tell other entries how long answers took, each once.
func TestDatagramSharesAnswers(t *testing.T) {
	is := is.New(t)
	rates := []*place.Rates{place.NewRates(), place.NewRates()}
	a := NewLoadExchange(LoadExchangeDeps{Instance: "a", Board: place.NewBoard(clockwork.NewFakeClock()), Rates: rates[0], Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	b := NewLoadExchange(LoadExchangeDeps{Instance: "b", Board: place.NewBoard(clockwork.NewFakeClock()), Rates: rates[1], Budget: newBudget(), Limits: newLimits(), Log: discardLog})
	rates[0].Learn("m", 10000, 2*time.Second)
	raw, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(!empty)
	b.Receive(raw)
	is.Equal(rates[1].TimeToFirstEvent("m", 10000), rates[0].TimeToFirstEvent("m", 10000))
	_, empty, err = a.Datagram()
	is.NoErr(err)
	is.True(empty)
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x01, 'a'})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		NewLoadExchange(LoadExchangeDeps{Board: place.NewBoard(clockwork.NewFakeClock()), Budget: newBudget(), Limits: newLimits(), Log: discardLog}).Receive(raw)
	})
}

// Guards against no entry serving for half a minute after all were killed. Hundreds start at
// once and ask the same few seeds for snapshots; these fill the seeds' links, and every call
// times out before its snapshot has arrived. With one snapshot sent per snapshotInterval,
// the others ask again, or ask the store.
func TestSnapshotsAreRateLimited(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	clock := clockwork.NewFakeClock()
	a.Clock = clock
	mergeChanges(a, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	ask := func(revision int64) *meshpb.ExchangeMessage {
		got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Revision: revision})
		is.NoErr(err)
		return got
	}
	is.Equal(len(ask(0).Changes), 1)
	second := ask(0)
	is.Equal(len(second.Changes), 0)
	is.Equal(second.ConfirmedMs, int64(-1)) // the response names no age
	mergeChanges(a, fleet.Changes{Revision: 8, Events: []kv.Event{put("op/config", `{"version":4}`, 8)}})
	delta := ask(7)
	is.Equal(len(delta.Changes), 1) // a small difference is sent at once
	is.True(!delta.Whole)
	is.Equal(len(ask(4).Changes), 0) // removals before its own snapshot are unknown to it
	clock.Advance(snapshotInterval)
	is.Equal(len(ask(0).Changes), 1)
}

// Guards against entries that count requests by reports learning of them only with the next load datagram.
func TestLimitedRequestIsPublishedAtOnce(t *testing.T) {
	is := is.New(t)
	ep := fleet.Endpoint{ID: "e1", Domain: "d0"}
	clock := clockwork.NewFakeClock() // no periodic datagram is due
	m := newEntry(t, "a")
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer conn.Close()
	mergeChanges(m, fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{
		put(fleet.EntryPrefix+"b", fmt.Sprintf(`{"instance":"b","domain":"d0","loads":%q}`, conn.LocalAddr().String()), 1)}})
	limits := ratelimit.New(ratelimit.Deps{Instance: "a", Domain: "d0", Entries: func() []fleet.Entry { return m.Fleet.View().Entries }, Clock: clock, Log: discardLog})
	l := NewLoadExchange(LoadExchangeDeps{Instance: "a", Domain: "d0", Address: "127.0.0.1:0", Fleet: m.Fleet, Board: place.NewBoard(clock), Budget: newBudget(), Limits: limits, Clock: clock, Log: discardLog})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	limits.Observe(ep, 2)
	limits.ReceiveReports("b", nil, false)
	is.True(limits.Take(ctx, ep, 0))
	buf := make([]byte, maxDatagramBytes)
	n, _, err := conn.ReadFrom(buf)
	is.NoErr(err)
	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(buf[:n], &msg))
	is.True(msg.LimitsOnly)
	is.Equal(msg.Sent, []uint32{1})
	stop()
	<-done
}

// Guards against an entry that starts after a restore bringing back a revoked key, a withdrawn version or a quarantined request.
func TestAnEntryThatStartsAfterARestoreLearnsWhatTheStoreLost(t *testing.T) {
	is := is.New(t)
	inEra := func(era kv.Era, revision int64, events ...kv.Event) fleet.Changes {
		for i := range events {
			events[i].KV.ModRevision = kv.RevisionIn(era, int64(events[i].KV.ModRevision))
			events[i].KV.CreateRevision = events[i].KV.ModRevision
		}
		return fleet.Changes{Revision: kv.RevisionIn(era, revision), Whole: true, Events: events}
	}
	const oldConfig, newConfig = `{"version":3,"tenants":[{"name":"c","api_keys":["revoked"]}]}`, `{"version":4,"tenants":[{"name":"c","api_keys":["kept"]}]}`
	const order, rolledBack = `{"service":"s","target":"v2","duration_s":60}`, `{"state":"rolled_back","target":"v2"}`
	record := fleet.Quarantined{Fingerprint: "7"}
	copied := func(era kv.Era) fleet.Changes {
		return inEra(era, 5, put("op/config", oldConfig, 5), put("op/evacuate/d1", "{}", 4))
	}
	a, b := newEntry(t, "a"), newEntry(t, "b")
	mergeChanges(a, copied(1))
	mergeChanges(a, fleet.Changes{Revision: kv.RevisionIn(1, 10), Events: append(inEra(1, 0, put("op/config", newConfig, 6), put("op/rollout/s", order, 7),
		put("status/rollout/s", rolledBack, 8), put(record.Key(), `{"crashed":["e"]}`, 9)).Events,
		kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: "op/evacuate/d1", ModRevision: kv.RevisionIn(1, 10)}})})
	for _, m := range []*Mesh{a, b} {
		mergeChanges(m, copied(2))
	}
	is.Equal(b.Fleet.View().Config.Version, int64(3))
	b.ExchangeWith(context.Background(), a.Address)
	for _, m := range []*Mesh{a, b} {
		v := m.Fleet.View()
		is.True(v.Customer("revoked") == nil && v.Customer("kept") != nil)
		is.Equal(v.Group("s").Rollout.State, fleet.RolloutRolledBack)
		is.True(v.Quarantine.Has(7))
		is.Equal(len(v.Evacuated), 0)
	}
	// What is written again takes its place.
	mergeChanges(b, fleet.Changes{Revision: kv.RevisionIn(2, 8), Events: inEra(2, 0, put("op/config", `{"version":5}`, 6), put("op/rollout/s", order, 7), put("op/evacuate/d1", "{}", 8)).Events})
	is.Equal(b.Fleet.View().Config.Version, int64(5))
	is.Equal(b.Fleet.View().Group("s").Rollout.State, fleet.RolloutRolledBack)
	is.Equal(b.Fleet.View().Evacuated, []string{"d1"})
}

// Guards against data of an earlier era that comes by an entry of a build which does not tell it, and against such entries getting no changes.
func TestEntriesThatTellNoEraAreSentChangesAndNotFollowed(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	config := func(version, revision int64) kv.Event {
		return put("op/config", fmt.Sprintf(`{"version":%d}`, version), kv.RevisionIn(2, revision))
	}
	mergeChanges(a, fleet.Changes{Revision: kv.RevisionIn(2, 5), Whole: true, Events: []kv.Event{config(3, 5)}})
	mergeChanges(a, fleet.Changes{Revision: kv.RevisionIn(2, 9), Events: []kv.Event{config(4, 9)}})
	got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Revision: 7, ConfirmedMs: 0})
	is.NoErr(err)
	is.Equal(got.Revision, int64(9))
	is.True(!got.Whole)
	is.Equal(len(got.Changes), 1)
	is.Equal(got.Changes[0].Revision, int64(9))
	a.merge(&meshpb.ExchangeMessage{Instance: "b", Revision: 30, Whole: true, Changes: encodeChanges([]kv.Event{put("op/config", `{"version":5}`, 30)})}, 0)
	is.Equal(a.Fleet.View().Config.Version, int64(4))
	is.Equal(a.Fleet.Revision(), kv.RevisionIn(2, 9))
}

// Guards against an entry that starts after a restore serving a revoked key until its first exchange, or nothing if no other entry answers.
func TestTheFirstConfigurationAfterARestoreWaitsForOtherEntries(t *testing.T) {
	for _, answers := range []bool{true, false} {
		is := is.New(t)
		a, b := newEntry(t, "a"), newEntry(t, "b")
		b.Fleet.HoldConfig()
		var versions []int64
		b.Fleet.OnChange(func(v *fleet.View) {
			if v.Config != nil {
				versions = append(versions, v.Config.Version)
			}
		})
		peer := fleet.Entry{Instance: "a", Domain: "d", Address: a.Address}
		if !answers {
			peer.Address = "127.0.0.1:1"
		}
		registration, err := json.Marshal(peer)
		is.NoErr(err)
		inEra := func(era kv.Era, version, revision int64) fleet.Changes {
			c := fleet.Changes{Revision: kv.RevisionIn(era, revision), Whole: true, Events: []kv.Event{put("op/config", fmt.Sprintf(`{"version":%d}`, version), kv.Revision(revision)), put(peer.Key(), string(registration), 1)}}
			for i := range c.Events {
				c.Events[i].KV.ModRevision = kv.RevisionIn(era, int64(c.Events[i].KV.ModRevision))
			}
			return c
		}
		mergeChanges(a, inEra(1, 4, 9))
		mergeChanges(a, inEra(2, 3, 5))
		mergeChanges(b, inEra(2, 3, 5))
		is.True(b.Fleet.View().Config == nil)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); b.Run(ctx) }()
		<-b.Fleet.ConfigKnown()
		stop()
		<-done
		if answers {
			is.Equal(versions[0], int64(4))
		} else {
			is.Equal(versions[0], int64(3))
		}
	}
}
