package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

var quiet = slog.New(slog.DiscardHandler)

var ep = fleet.Endpoint{ID: "e1", Domain: "d0"}

var ctx = context.Background()

var errUnreachable = errors.New("owner is unreachable")

// group is a set of entries that exchange reports, spread over a number of failure domains.
type group struct {
	clock    *clockwork.FakeClock
	all      []*Limits
	headroom float64 // headroom of the simulated requests
	// receives reports whether what one entry sends reaches another; nil: it does.
	receives func(from, to int) bool
}

// owners asks the other entries of a group.
type owners struct {
	*group
	from int
}

func (o owners) TakeLimit(_ context.Context, owner fleet.Entry, ask Ask) (Verdict, error) {
	for to, l := range o.all {
		if l.Instance != owner.Instance {
			continue
		}
		if o.receives != nil && !o.receives(o.from, to) {
			return Verdict{}, errUnreachable
		}
		v := l.Grant(ask)
		if o.receives != nil && !o.receives(to, o.from) {
			return Verdict{}, errUnreachable // the answer is lost
		}
		return v, nil
	}
	return Verdict{}, errUnreachable
}

func newGroup(n, domains int) *group {
	g := &group{clock: clockwork.NewFakeClock()}
	var entries []fleet.Entry
	for i := range n {
		entries = append(entries, fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	for i, e := range entries {
		g.all = append(g.all, New(Deps{Instance: e.Instance, Domain: e.Domain, Entries: func() []fleet.Entry { return entries }, Owners: owners{g, i}, Clock: g.clock, Log: quiet}))
	}
	for i := range g.all {
		g.sendReports(i, everyone) // entries report loads before any limit is announced
	}
	return g
}

// sendReports delivers the reports of one entry to those for which receives returns true.
func (g *group) sendReports(from int, receives func(to int) bool) {
	reports := g.all[from].Reports()
	for to, l := range g.all {
		if to != from && receives(to) {
			l.ReceiveReports(g.all[from].Instance, reports, true)
		}
	}
}

func everyone(int) bool { return true }

// demand simulates requests at all entries and returns how many the endpoint got in each step of
// 10 ms. An entry reports to the others about 10 ms after it has sent a request, and every 250 ms in
// any case. Once a second all entries receive the known limits.
func (g *group) demand(d time.Duration, limit, perStep float64, rng *rand.Rand, receives func(from, to int) bool) []int {
	const step = 10 * time.Millisecond
	var got []int
	g.receives = receives
	for n := range int(d / step) {
		var senders []int
		count := 0
		for i, l := range g.all {
			if rng.Float64() < perStep/float64(len(g.all)) && l.Wait(ep, g.headroom) == 0 && l.Take(ctx, ep, g.headroom) {
				count++
				l.Observe(ep, limit)
				senders = append(senders, i)
			}
			if n%25 == i%25 {
				senders = append(senders, i)
			}
		}
		got = append(got, count)
		g.clock.Advance(step)
		if n%100 == 0 {
			for _, l := range g.all {
				l.Merge(g.all[0].Reports())
			}
		}
		for _, i := range senders {
			g.sendReports(i, func(to int) bool { return receives(i, to) })
		}
	}
	return got
}

func sum(all []int) (total int) {
	for _, n := range all {
		total += n
	}
	return total
}

// maxInWindow returns the maximum number of requests in any window of four seconds.
func maxInWindow(got []int) int {
	const window = 400
	maxInWindow := 0
	for i := 0; i+window <= len(got); i++ {
		maxInWindow = max(maxInWindow, sum(got[i:i+window]))
	}
	return maxInWindow
}

// demandFor returns the requests per step offered to an endpoint with the given limit, always more
// than the limit.
func demandFor(limit float64) float64 { return max(20, 4*limit) / 100 }

func maxAllowed(limit float64) int { return int(1.5*4*limit) + 5 }

// Guards against a limit exceeded or left unused, for any limit, number of entries and distribution of load.
func TestLimitIsEnforcedAndFullyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		g := newGroup(rapid.IntRange(1, 16).Draw(t, "entries"), 1)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		g.headroom = rapid.SampledFrom([]float64{0, LightHeadroom}).Draw(t, "leaves")
		g.all[0].Observe(ep, limit)
		g.sendReports(0, everyone)
		got := g.demand(40*time.Second, limit, demandFor(limit), rng, func(int, int) bool { return true })
		if m := maxInWindow(got); m > maxAllowed(limit) {
			t.Fatalf("%d in four seconds, %d allowed", m, maxAllowed(limit))
		}
		if used := float64(sum(got)); used < 0.9*limit*40-1 {
			t.Fatalf("%g of %g used", used, limit*40)
		}
	})
}

// Guards against a limit exceeded while reports between entries are lost.
func TestLimitIsEnforcedWhenReportsAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		g := newGroup(rapid.IntRange(2, 16).Draw(t, "entries"), 1)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		g.all[0].Observe(ep, limit)
		g.sendReports(0, everyone)
		got := g.demand(20*time.Second, limit, demandFor(limit), rng, func(int, int) bool { return rng.Float64() > 0.3 })
		if m := maxInWindow(got); m > maxAllowed(limit) {
			t.Fatalf("%d in four seconds, %d allowed", m, maxAllowed(limit))
		}
	})
}

// Guards against each side of a network partition using the whole limit.
func TestPartitionSidesKeepTheirShare(t *testing.T) {
	is := is.New(t)
	const limit = 6.0
	g := newGroup(8, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	g.all[0].Observe(ep, limit)
	g.sendReports(0, everyone)
	got := g.demand(20*time.Second, limit, 1, rng, func(from, to int) bool { return from%2 == to%2 })
	is.True(maxInWindow(got[400:]) <= maxAllowed(limit))
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against the share of entries that are gone being left unused.
func TestShareOfLostEntriesIsUsed(t *testing.T) {
	is := is.New(t)
	const limit = 4.0
	g := newGroup(8, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	g.all[0].Observe(ep, limit)
	g.sendReports(0, everyone)
	g.all = g.all[:6] // two are gone but still registered
	got := g.demand(20*time.Second, limit, 1, rng, func(int, int) bool { return true })
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against a limit that is no longer announced staying in force forever.
func TestLimitExpiresUnlessConfirmed(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.Observe(ep, 0.5)
	for l.Take(ctx, ep, 0) {
	}
	is.True(l.Wait(ep, 0) > 0)
	g.clock.Advance(l.byID[g.all[0].Reports()[0].Endpoint].ttl() + time.Millisecond)
	for range 100 {
		is.True(l.Take(ctx, ep, 0))
	}
}

// Guards against the removal of a limit reaching only one entry.
func TestLimitRemovalPropagates(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	g.all[0].Observe(ep, 0.5)
	g.sendReports(0, everyone)
	for g.all[1].Take(ctx, ep, 0) {
	}
	g.clock.Advance(time.Millisecond)
	g.all[0].Observe(ep, 0)
	is.Equal(g.all[0].Wait(ep, 0), time.Duration(0))
	g.sendReports(1, everyone) // an older report changes nothing
	is.Equal(g.all[0].Wait(ep, 0), time.Duration(0))
	g.sendReports(0, everyone)
	is.Equal(g.all[1].Wait(ep, 0), time.Duration(0))
	g.clock.Advance(removedTTL + time.Second)
	is.Equal(len(g.all[0].Reports()), 0)
}

// Guards against entries that do not exchange reports using the same limit.
func TestLargeFleetLimitIsUsedWithinDomain(t *testing.T) {
	is := is.New(t)
	const limit = 2.0
	g := newGroup(60, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, l := range g.all {
		l.Observe(ep, limit)
	}
	is.True(g.all[0].Take(ctx, ep, 0))  // in the endpoint's domain
	is.True(!g.all[1].Take(ctx, ep, 0)) // in another domain
	got := g.demand(20*time.Second, limit, 1, rng, func(from, to int) bool { return from%4 == to%4 })
	is.True(maxInWindow(got) <= maxAllowed(limit))
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against a restarted entry being charged again for what it sent before the restart.
func TestRestartedEntryCountsFromZero(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.ReceiveReports("i1", []Report{{Endpoint: 7, Limit: 1, Sent: 40}}, false)
	g.clock.Advance(time.Minute / 6)
	l.ReceiveReports("i1", []Report{{Endpoint: 7, Limit: 1, Sent: 1}}, false)
	is.Equal(l.byID[7].bucket.level >= 1, true)
	is.True(l.byID[7].bucket.level < 40)
}

// Guards against light requests using up a limit, while endpoints without a limit are late with
// long prompts.
func TestLightRequestsLeaveRoomForHeavyOnes(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 1)
	l := g.all[0]
	const limit = 2.0
	l.Observe(ep, limit)
	heavy, light := 0, 0
	for n := range 3000 { // 30 s
		work := 10 * time.Millisecond
		if n%20 == 0 {
			work = 100 * time.Millisecond
		}
		headroom := l.Headroom("s", work)
		if l.Take(ctx, ep, headroom) {
			l.Observe(ep, limit)
			if headroom == 0 {
				heavy++
			} else {
				light++
			}
		}
		g.clock.Advance(10 * time.Millisecond)
	}
	is.True(float64(heavy+light) >= 0.9*limit*30) // all of it is used
	is.True(heavy > 4*light)
	is.Equal(l.Headroom("plain", 0), 0.0) // without known work all requests are alike
}

// Guards against limits of endpoints that are gone being kept, and looked up, forever.
func TestLimitOfRemovedEndpointIsForgotten(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.Observe(ep, 2)
	l.ReceiveReports("i1", nil, false)
	g.clock.Advance(limitTTL + time.Second)
	is.Equal(len(l.Reports()), 0)
	is.True(!l.Any())
	is.Equal(len(l.heard), 0)
}

// Guards against a log line for each answer, because other entries know the limit only in
// thousandths.
func TestLimitIsRoundedAsOnTheWire(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	g.all[0].Observe(ep, 1.23456789)
	is.True(g.all[1].MergeMessage(g.all[0].Message()))
	is.Equal(g.all[0].Limit(ep), g.all[1].Limit(ep))
	g.clock.Advance(time.Millisecond)
	g.all[1].Observe(ep, 1.23456789)
	is.True(!g.all[0].MergeMessage(g.all[1].Message()))
}

// Guards against an owner granting the whole limit beside entries that do not ask, during an upgrade.
func TestRequestsOfEntriesThatDoNotAskAreCounted(t *testing.T) {
	is := is.New(t)
	const limit, other = 3.0, 2.0 // requests a second; other: of the entry that does not ask
	g := newGroup(3, 1)
	for _, l := range g.all {
		l.Observe(ep, limit)
	}
	got := 0
	for n := range 600 { // 60 s
		for _, l := range g.all[:2] {
			if l.Take(ctx, ep, 0) {
				got++
				l.Observe(ep, limit)
			}
		}
		for i := range g.all[:2] {
			g.sendReports(i, func(to int) bool { return to < 2 })
			g.all[i].ReceiveReports("i2", []Report{{Endpoint: place.ShortID(ep.ID), Limit: limit, Sent: uint32(float64(n) / 10 * other)}}, false)
		}
		g.clock.Advance(100 * time.Millisecond)
	}
	is.True(float64(got) <= 1.1*(limit-other)*60+2)
	is.True(float64(got) >= 0.9*(limit-other)*60)
}

// silentOwners never answers.
type silentOwners struct{}

func (silentOwners) TakeLimit(ctx context.Context, _ fleet.Entry, _ Ask) (Verdict, error) {
	<-ctx.Done()
	return Verdict{}, ctx.Err()
}

// Guards against callers that leave making the owner of a limit look gone.
func TestCallersThatLeaveSayNothingAboutTheOwner(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	for i, l := range g.all {
		l.Observe(ep, 1)
		l.begin(ep, 0)
		if l.byID[place.ShortID(ep.ID)].owner.Instance == l.Instance {
			continue
		}
		l.byID[place.ShortID(ep.ID)].asking = 0
		l.Owners = silentOwners{}
		left, leave := context.WithCancel(ctx)
		leave()
		for range 2 * minUnanswered {
			is.True(!l.Take(left, ep, 0))
		}
		is.Equal(l.heard[g.all[1-i].Instance].unanswered, 0)
		is.Equal(l.Wait(ep, 0), time.Duration(0)) // the next caller may ask
	}
}

// Guards against an entry of another failure domain granting requests.
func TestEntryOfAnotherDomainGrantsNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(60, 4)
	is.True(!g.all[1].Grant(Ask{Entry: "i0", Endpoint: place.ShortID(ep.ID), ID: ep.ID, Domain: ep.Domain, Limit: 2}).Granted)
}

// Guards against a request that waits for an owner that is silent, once for each endpoint that it owns.
func TestSilentOwnerIsAskedAboutOneEndpointAtATime(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	var owned []fleet.Endpoint // by the other entry
	for i := 0; len(owned) < 3; i++ {
		e := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Domain: "d0"}
		l.Observe(e, 1)
		if _, q := l.begin(e, 0); q != nil {
			owned = append(owned, e)
			l.abandon(q)
		}
	}
	_, q := l.begin(owned[0], 0)
	l.settle(q, Verdict{}, errUnreachable)
	for _, e := range owned {
		is.True(l.Wait(e, 0) > 0)
	}
	g.clock.Advance(unansweredDelay)
	is.Equal(l.Wait(owned[1], 0), time.Duration(0))
	is.Equal(l.heard["i1"].unanswered, 1)
}
