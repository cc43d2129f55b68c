package mesh

import (
	"context"
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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// newEntry returns an entry's mesh, served on loopback.
func newEntry(t *testing.T, name string, seeds ...string) *Mesh {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := memkv.New(clock)
	f := fleet.NewFollower(fleet.Entry{Instance: name}, store, platform.Values{}, time.Second, clock, quiet)
	r := rollout.New(rollout.Deps{Instance: name, Boot: 1, Store: store, Decoder: platform.Values{}, View: f.View, Clock: clock, Log: quiet})
	q := quarantine.New(quarantine.Deps{View: f.View, Clock: clock, Log: quiet})
	m := New(Deps{Instance: name, Seeds: seeds, Fleet: f, Rollouts: r, Quarantine: q, Limits: newLimits(), Clock: clock, Log: quiet})
	srv := httptest.NewServer(meshpb.NewMeshServer(m))
	t.Cleanup(srv.Close)
	m.Address = strings.TrimPrefix(srv.URL, "http://")
	return m
}

func put(key, value string, rev kv.Revision) kv.Event {
	return kv.Event{KV: kv.KeyValue{Key: key, Value: []byte(value), ModRevision: rev}}
}

func know(m *Mesh, c fleet.Changes) { m.Fleet.Merge("test", c, 0) }

// Symptom: an entry that starts while the store turns it away serves nothing.
// It learns everything from another entry, found by its seeds.
func TestAnEntryLearnsFromAnother(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	know(a, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{
		put("op/config", `{"version":3}`, 5), put("servers/e", `{"service":"s","address":"127.0.0.1:1","zone":"d","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}`, 7)}})
	b := newEntry(t, "b", a.Address)
	address, ok := b.draw()
	is.True(ok)
	b.ExchangeWith(context.Background(), address)
	is.Equal(b.Fleet.View().Config.Version, int64(3))
	is.Equal(len(b.Fleet.View().Group("s").Ready), 1)
	is.Equal(b.Fleet.View().Revision, kv.Revision(7))

	know(a, fleet.Changes{Revision: 9, Events: []kv.Event{{Type: kv.EventDelete, KV: kv.KeyValue{Key: "servers/e", ModRevision: 9}}}})
	b.ExchangeWith(context.Background(), address)
	is.Equal(len(b.Fleet.View().Group("s").Ready), 0) // removals are told too
}

// An entry that never was current itself vouches for nothing.
func TestAnEntryThatKnowsNothingTeachesNothing(t *testing.T) {
	is := is.New(t)
	a, b := newEntry(t, "a"), newEntry(t, "b")
	know(b, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	b.ExchangeWith(context.Background(), a.Address)
	is.Equal(b.Fleet.View().Config.Version, int64(3))
}

// Symptom: a bad version is halted on the entries that saw it only.
func TestHaltsAndEvidenceAreTold(t *testing.T) {
	is := is.New(t)
	a, b := newEntry(t, "a"), newEntry(t, "b")
	for _, m := range []*Mesh{a, b} {
		know(m, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{
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
	is.Equal(a.Rollouts.State()[0].Samples, int64(20)) // what comes back is not counted twice
}

// Guards against a request that crashes endpoints getting through at entries that have not heard of it.
func TestARequestThatCrashesEndpointsIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	b := newEntry(t, "b", a.Address)
	know(b, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	clock := clockwork.NewFakeClock() // no regular exchange is due
	b.Clock = clock
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	b.Quarantine.Crashed(1, "e1", quarantine.Started)
	b.Quarantine.Crashed(1, "e2", quarantine.Started)
	for !a.Quarantine.Check(1).Quarantined {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
}

// Symptom: exchanges stall on an entry that is gone.
// One that does not answer is left out for a while.
func TestAnEntryThatIsGoneIsLeftOut(t *testing.T) {
	is := is.New(t)
	gone := newEntry(t, "gone")
	srv := httptest.NewServer(nil)
	gone.Address = strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	b := newEntry(t, "b", gone.Address)
	b.ExchangeWith(context.Background(), gone.Address)
	_, ok := b.draw()
	is.True(!ok)
	is.Equal(b.State().Failed, int64(1))
	is.Equal(b.State().Lost, []string{gone.Address})
}

func newLimits() *ratelimit.Limits {
	return ratelimit.New(ratelimit.Deps{Entries: func() []fleet.Entry { return nil }, Clock: clockwork.NewFakeClock(), Log: quiet})
}

func newBudget() *retry.Budget {
	return retry.New(retry.Bounds{Ratio: 0.9, Extra: 56, Window: 10 * time.Second}, func() int { return 8 }, clockwork.NewFakeClock())
}

// How many repeats entries make reaches others, and lets them take what is left.
func TestRepeatsAreTold(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	budgets := []*retry.Budget{newBudget(), newBudget()}
	a := NewLoads(LoadsDeps{Instance: "a", Board: place.NewBoard(clock), Budget: budgets[0], Limits: newLimits(), Log: quiet})
	b := NewLoads(LoadsDeps{Instance: "b", Board: place.NewBoard(clock), Budget: budgets[1], Limits: newLimits(), Log: quiet})
	take := func(b *retry.Budget) (n int) {
		for b.Take("s", retry.ForFailure) {
			n++
		}
		return n
	}
	for _, b := range budgets {
		for range 100 {
			b.Earn("s")
		}
	}
	alone := take(budgets[1])
	raw, _, err := a.Datagram()
	is.NoErr(err)
	b.Hear(raw)
	is.True(take(budgets[1]) > 0)
	is.Equal(take(budgets[0]), alone) // it has heard of nobody
}

// Loads are told in datagrams; what is none is passed over.
func TestLoadsAreToldAndHeard(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := place.NewBoard(clock), place.NewBoard(clock)
	a := NewLoads(LoadsDeps{Instance: "a", Board: from, Budget: newBudget(), Limits: newLimits(), Log: quiet})
	b := NewLoads(LoadsDeps{Instance: "b", Board: to, Budget: newBudget(), Limits: newLimits(), Log: quiet})
	_, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(empty)
	from.Begin(fleet.Endpoint{ID: "e1"}, 250*time.Millisecond)
	raw, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(!empty)
	is.True(len(raw) < 30)
	b.Hear([]byte("not a load"))
	b.Hear(raw)
	is.Equal(to.Standing("e1").Wait, 250*time.Millisecond)
}

// Each entry tells all of its failure domain, whose engines it shares, and a bounded
// number of others, however many there are. With a part of the domain told, the others
// sent to engines that were just given a long prompt.
func TestTheNumberToldIsBounded(t *testing.T) {
	for _, tt := range []struct{ domains, told int }{{13, 25}, {2, mostTold}} {
		is := is.New(t)
		m := newEntry(t, "a")
		var events []kv.Event
		for i := range 330 {
			events = append(events, put(fmt.Sprintf("%si%03d", fleet.EntryPrefix, i), fmt.Sprintf(`{"instance":"i%03d","domain":"d%d","loads":"127.0.0.1:%d"}`, i, i%tt.domains, 1000+i), kv.Revision(i+1)))
		}
		know(m, fleet.Changes{Revision: 330, Whole: true, Events: events})
		board := place.NewBoard(m.Clock)
		l := NewLoads(LoadsDeps{Instance: "i000", Domain: "d0", Fleet: m.Fleet, Board: board, Limits: newLimits(), Log: quiet})
		is.Equal(len(l.others()), tt.told)
		board.Begin(fleet.Endpoint{ID: "e1", Domain: "d1"}, time.Second)
		is.Equal(len(l.others()), min(2*tt.told+1, mostTold)) // those that send to the same engine
	}
}

// Symptom: a busy entry sends datagrams without end, and slows its own requests.
// Events: each long prompt is told at once to thirty others, and many come.
// Cause: nothing bounds what is told out of turn.
func TestTellingOutOfTurnIsBounded(t *testing.T) {
	is := is.New(t)
	const others, each, long = 70, 10 * time.Millisecond, 10 * time.Second
	now := time.Unix(0, 0)
	var p pace
	sent := 0
	for end := now.Add(long); now.Before(end); now = now.Add(each) {
		if p.wait(now) > 0 {
			continue
		}
		p.sent(others)
		sent += others
	}
	is.True(sent <= tellBurst+others+int(long/tellEach))
	p.wait(now.Add(time.Minute))
	is.Equal(p.credit, float64(tellBurst)) // a pause does not save up more
}

// What endpoints told one entry of their load reaches another, with its age.
func TestLoadsThatEndpointsToldArePassedOn(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	from, to := place.NewBoard(clock), place.NewBoard(clock)
	a := NewLoads(LoadsDeps{Instance: "a", Board: from, Budget: newBudget(), Limits: newLimits(), Log: quiet})
	b := NewLoads(LoadsDeps{Instance: "b", Board: to, Budget: newBudget(), Limits: newLimits(), Log: quiet})
	ep := fleet.Endpoint{ID: "e1", Service: "s", Slots: 12}
	to.Rank([]fleet.Endpoint{ep}, place.Want{}) // it knows the endpoint
	from.Begin(ep, 0).Head(&call.Load{Running: 9, Waiting: 2, Slots: 12})
	clock.Advance(100 * time.Millisecond)
	raw, empty, err := a.Datagram()
	is.NoErr(err)
	is.True(!empty)
	b.Hear(raw)
	is.Equal(to.Standing("e1").Running, 9)
	is.Equal(to.Standing("e1").Load, 11.0)
	is.Equal(len(to.Reports()), 0) // what is hearsay is not passed on as news
}

// Symptom: entries that cannot reach the store stay on an old configuration,
// though most entries know the new one and answer them.
// Events: all entries that watch the store for the others are cut off from it,
// and so is this one. It asks only those that watch, who know no more; the
// others have long asked the store themselves.
func TestAnEntryWhoseKnowledgeIsOldAsksEveryone(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, all := newRelying(t, clock)
	watchers := 0
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			watchers++
		}
	}
	is.Equal(len(drawn(m)), watchers)
	clock.Advance(3 * time.Second)
	is.Equal(len(drawn(m)), len(all)-1)
}

// Symptom: entries' exchanges are most of the bytes between failure domains, and grow
// with the fleet.
// Events: 195 entries each ask one of ten that watch, drawn from all domains, three
// times a second, and are told hundreds of rows of evidence.
// Cause: the watchers of the own domain, which know the same, were not preferred.
func TestExchangesOfALargeFleetStayInTheirDomain(t *testing.T) {
	is := is.New(t)
	const entries, domains, draws = 195, 6, 3000
	var all []fleet.Entry
	var events []kv.Event
	for i := range entries {
		e := fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("d%d", i%domains), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
		all = append(all, e)
		events = append(events, put(fleet.EntryPrefix+e.Instance, fmt.Sprintf(`{"instance":%q,"domain":%q,"address":%q}`, e.Instance, e.Domain, e.Address), kv.Revision(i+1)))
	}
	domainOf, watching := map[string]string{}, map[string]bool{}
	var relying fleet.Entry
	for _, e := range all {
		domainOf[e.Address] = e.Domain
		if fleet.IsWatcher(all, e) {
			watching[e.Address] = true
		} else {
			relying = e
		}
	}
	clock := clockwork.NewFakeClock()
	m := newEntry(t, relying.Instance)
	m.Clock, m.Address, m.Domain = clock, relying.Address, relying.Domain
	m.Fleet = fleet.NewFollower(relying, memkv.New(clock), platform.Values{}, time.Second, clock, quiet)
	m.Fleet.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) })
	know(m, fleet.Changes{Revision: entries, Whole: true, Events: events})
	crossed, met := 0, map[string]bool{}
	for range draws {
		address, ok := m.draw()
		is.True(ok)
		is.True(watching[address])
		met[domainOf[address]] = true
		if domainOf[address] != relying.Domain {
			crossed++
		}
	}
	// crossing exchanges of a domain's 32 entries together, each as likely to stay.
	is.True(crossed < draws*2*crossing/(entries/domains))
	is.Equal(len(met), domains) // what one domain has seen still reaches the others
}

// Symptom: as above.
// An entry that leaves watching to others tells them what it has seen itself; what it
// heard from them they know.
func TestAnEntryTellsWatchersItsOwnEvidence(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, _ := newRelying(t, clock)
	m.Rollouts = rollout.New(rollout.Deps{Instance: m.Instance, Boot: 1, Decoder: platform.Values{}, View: m.Fleet.View, Clock: clock, Log: quiet})
	know(m, fleet.Changes{Revision: 11, Events: []kv.Event{put("op/rollout/s", `{"service":"s","target":"v2","duration_s":60}`, 11)}})
	row := rollout.Row{Source: rollout.Source{Instance: "another", Boot: 1, Service: "s", Ordered: 11, Route: "r"}, Counts: rollout.Counts{Samples: 3}}
	m.Rollouts.Hear(nil, []rollout.Row{row}, nil)
	is.Equal(len(m.question().Evidence), 0)
	is.Equal(len(m.message().Evidence), 1) // whoever asks is told
	clock.Advance(5 * time.Second)
	is.Equal(len(m.question().Evidence), 1) // with old knowledge it may be asking one that knows less
}

// Symptom: while all that watch the store are cut off from it, every other
// entry asks it for each change.
// Events: an entry asks the store by itself, so that its knowledge is current;
// it goes on asking only those that watch, hears from none of them anything
// current, and tells nobody either.
func TestAnEntryPassesOverWatchersThatHearNothing(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m, all := newRelying(t, clock)
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			m.noteHearing(e.Address, &meshpb.ExchangeMessage{ConfirmedMs: 3000})
		}
	}
	is.Equal(len(drawn(m)), len(all)-1)
	one := all[0]
	for _, e := range all {
		if fleet.IsWatcher(all, e) {
			one = e
		}
	}
	m.noteHearing(one.Address, &meshpb.ExchangeMessage{ConfirmedMs: 100})
	is.Equal(drawn(m), map[string]bool{one.Address: true})
}

// Symptom: knowledge that is seconds old passes for current.
// Events: it is passed on from entry to entry over links on which answers wait;
// each tells how old it was when it answered.
func TestTheTimeOfAnExchangeCountsToTheAgeOfWhatItTells(t *testing.T) {
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
// for which others watch the store, and what all ten are.
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
	m.Fleet = fleet.NewFollower(relying, memkv.New(clock), platform.Values{}, time.Second, clock, quiet)
	m.Fleet.SetSinceBoot(func() time.Duration { return clock.Since(time.Time{}) })
	know(m, fleet.Changes{Revision: 10, Whole: true, Events: events})
	return m, all
}

// drawn are the entries that a mesh draws in many draws.
func drawn(m *Mesh) map[string]bool {
	out := map[string]bool{}
	for range 1000 { // one of nine is left out by all once in 10^50 times
		if address, ok := m.draw(); ok {
			out[address] = true
		}
	}
	return out
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x01, 'a'})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		NewLoads(LoadsDeps{Board: place.NewBoard(clockwork.NewFakeClock()), Budget: newBudget(), Limits: newLimits(), Log: quiet}).Hear(raw)
	})
}

// Symptom: after all entries were killed, none serves for half a minute.
// Events: hundreds start at once and ask the same few seeds for everything;
// the copies fill the seeds' links, and every call ends before its copy has
// arrived.
// A whole copy is told now and then; the others ask again, or the store.
func TestWholeCopiesAreToldOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	a := newEntry(t, "a")
	clock := clockwork.NewFakeClock()
	a.Clock = clock
	know(a, fleet.Changes{Revision: 7, Whole: true, Events: []kv.Event{put("op/config", `{"version":3}`, 5)}})
	ask := func(revision int64) *meshpb.ExchangeMessage {
		got, err := a.Exchange(context.Background(), &meshpb.ExchangeMessage{Instance: "b", Revision: revision})
		is.NoErr(err)
		return got
	}
	is.Equal(len(ask(0).Changes), 1)
	second := ask(0)
	is.Equal(len(second.Changes), 0)
	is.Equal(second.ConfirmedMs, int64(-1)) // it vouches for nothing
	know(a, fleet.Changes{Revision: 8, Events: []kv.Event{put("op/config", `{"version":4}`, 8)}})
	little := ask(7)
	is.Equal(len(little.Changes), 1) // what is little is told at once
	is.True(!little.Whole)
	is.Equal(len(ask(4).Changes), 0) // what came and went before it read everything, it does not know
	clock.Advance(wholeEvery)
	is.Equal(len(ask(0).Changes), 1)
}

// Guards against a limit exceeded because others hear of requests only when it is the turn of the loads.
func TestWhatIsSentToALimitedEndpointIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	ep := fleet.Endpoint{ID: "e1", Domain: "d0"}
	clock := clockwork.NewFakeClock() // no regular telling is due
	m := newEntry(t, "a")
	heard, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer heard.Close()
	know(m, fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{
		put(fleet.EntryPrefix+"b", fmt.Sprintf(`{"instance":"b","domain":"d0","loads":%q}`, heard.LocalAddr().String()), 1)}})
	limits := ratelimit.New(ratelimit.Deps{Instance: "a", Domain: "d0", Entries: func() []fleet.Entry { return m.Fleet.View().Entries }, Clock: clock, Log: quiet})
	l := NewLoads(LoadsDeps{Instance: "a", Domain: "d0", Address: "127.0.0.1:0", Fleet: m.Fleet, Board: place.NewBoard(clock), Budget: newBudget(), Limits: limits, Clock: clock, Log: quiet})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	limits.Named(ep, 2)
	is.True(limits.Take(ep, 0))
	buf := make([]byte, mostDatagram)
	n, _, err := heard.ReadFrom(buf)
	is.NoErr(err)
	var msg meshpb.Load
	is.NoErr(proto.Unmarshal(buf[:n], &msg))
	is.True(msg.LimitsOnly)
	is.Equal(msg.Sent, []uint32{1})
	stop()
	<-done
}
