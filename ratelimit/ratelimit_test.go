package ratelimit

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/fleet"
)

var quiet = slog.New(slog.DiscardHandler)

var ep = fleet.Endpoint{ID: "e1", Domain: "d0"}

// group is entries that tell each other; domains are as many as given.
type group struct {
	clock  *clockwork.FakeClock
	all    []*Limits
	leaves float64 // of the requests that are played
}

func newGroup(n, domains int) *group {
	g := &group{clock: clockwork.NewFakeClock()}
	var entries []fleet.Entry
	for i := range n {
		entries = append(entries, fleet.Entry{Instance: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	for _, e := range entries {
		g.all = append(g.all, New(Deps{Instance: e.Instance, Domain: e.Domain, Entries: func() []fleet.Entry { return entries }, Clock: g.clock, Log: quiet}))
	}
	return g
}

// tell lets one entry tell those that hears says.
func (g *group) tell(from int, hears func(to int) bool) {
	told := g.all[from].Tell()
	for to, l := range g.all {
		if to != from && hears(to) {
			l.Hear(g.all[from].Instance, told)
		}
	}
}

func everyone(int) bool { return true }

// demand plays requests at all entries, each of which tells the others some 10 ms after it
// has sent one, and returns how many the endpoint got in each step of 10 ms. Once a second
// all learn which limits there are.
func (g *group) demand(d time.Duration, limit, perStep float64, rng *rand.Rand, hears func(from, to int) bool) []int {
	const step = 10 * time.Millisecond
	var got []int
	for n := range int(d / step) {
		var news []int
		count := 0
		for i, l := range g.all {
			if rng.Float64() < perStep/float64(len(g.all)) && l.Wait(ep, g.leaves) == 0 && l.Take(ep, g.leaves) {
				count++
				l.Named(ep, limit)
				news = append(news, i)
			}
			if n%25 == i%25 {
				news = append(news, i)
			}
		}
		got = append(got, count)
		g.clock.Advance(step)
		if n%100 == 0 {
			for _, l := range g.all {
				l.Learn(g.all[0].Tell())
			}
		}
		for _, i := range news {
			g.tell(i, func(to int) bool { return hears(i, to) })
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

// most is the most in any four seconds.
func most(got []int) int {
	const window = 400
	most := 0
	for i := 0; i+window <= len(got); i++ {
		most = max(most, sum(got[i:i+window]))
	}
	return most
}

// demandFor is how many requests a step would go to the endpoint if it named no limit of so
// many a second: always more than that.
func demandFor(limit float64) float64 { return max(20, 4*limit) / 100 }

func mayGet(limit float64) int { return int(1.5*4*limit) + 5 }

// Guards against a limit exceeded, or left unused, whatever the limit, the number of entries and their load.
func TestTheLimitIsKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		g := newGroup(rapid.IntRange(1, 16).Draw(t, "entries"), 1)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		g.leaves = rapid.SampledFrom([]float64{0, LightLeaves}).Draw(t, "leaves")
		g.all[0].Named(ep, limit)
		g.tell(0, everyone)
		got := g.demand(40*time.Second, limit, demandFor(limit), rng, func(int, int) bool { return true })
		if m := most(got); m > mayGet(limit) {
			t.Fatalf("%d in four seconds, %d allowed", m, mayGet(limit))
		}
		if used := float64(sum(got)); used < 0.9*limit*40-1 {
			t.Fatalf("%g of %g used", used, limit*40)
		}
	})
}

// Guards against a limit exceeded while what entries tell each other is lost.
func TestALimitIsKeptWhileTellingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		g := newGroup(rapid.IntRange(2, 16).Draw(t, "entries"), 1)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		g.all[0].Named(ep, limit)
		g.tell(0, everyone)
		got := g.demand(20*time.Second, limit, demandFor(limit), rng, func(int, int) bool { return rng.Float64() > 0.3 })
		if m := most(got); m > mayGet(limit) {
			t.Fatalf("%d in four seconds, %d allowed", m, mayGet(limit))
		}
	})
}

// Guards against each side of a partition taking the whole limit.
func TestEachSideOfAPartitionKeepsItsPart(t *testing.T) {
	is := is.New(t)
	const limit = 6.0
	g := newGroup(8, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	g.all[0].Named(ep, limit)
	g.tell(0, everyone)
	got := g.demand(20*time.Second, limit, 1, rng, func(from, to int) bool { return from%2 == to%2 })
	is.True(most(got[400:]) <= mayGet(limit))
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against the part of entries that are gone left unused.
func TestThePartOfLostEntriesIsUsed(t *testing.T) {
	is := is.New(t)
	const limit = 4.0
	g := newGroup(8, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	g.all[0].Named(ep, limit)
	g.tell(0, everyone)
	g.all = g.all[:6] // two are gone, and still registered
	got := g.demand(20*time.Second, limit, 1, rng, func(int, int) bool { return true })
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against a limit that nobody names any more holding for ever.
func TestALimitLapsesWithoutNews(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.Named(ep, 0.5)
	for l.Take(ep, 0) {
	}
	is.True(l.Wait(ep, 0) > 0)
	g.clock.Advance(l.byID[g.all[0].Tell()[0].Endpoint].life() + time.Millisecond)
	for range 100 {
		is.True(l.Take(ep, 0))
	}
}

// Guards against the news that a limit has ended reaching one entry only.
func TestTheEndOfALimitIsTold(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	g.all[0].Named(ep, 0.5)
	g.tell(0, everyone)
	for g.all[1].Take(ep, 0) {
	}
	g.clock.Advance(time.Millisecond)
	g.all[0].Named(ep, 0)
	is.Equal(g.all[0].Wait(ep, 0), time.Duration(0))
	g.tell(1, everyone) // older news changes nothing
	is.Equal(g.all[0].Wait(ep, 0), time.Duration(0))
	g.tell(0, everyone)
	is.Equal(g.all[1].Wait(ep, 0), time.Duration(0))
	g.clock.Advance(endedFor + time.Second)
	is.Equal(len(g.all[0].Tell()), 0)
}

// Guards against entries that do not hear each other sharing a limit.
func TestInALargeFleetEntriesOfTheEndpointsDomainUseItsLimit(t *testing.T) {
	is := is.New(t)
	const limit = 2.0
	g := newGroup(60, 4)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, l := range g.all {
		l.Named(ep, limit)
	}
	is.True(g.all[0].Take(ep, 0))  // of the endpoint's domain
	is.True(!g.all[1].Take(ep, 0)) // of another
	got := g.demand(20*time.Second, limit, 1, rng, func(from, to int) bool { return from%4 == to%4 })
	is.True(most(got) <= mayGet(limit))
	is.True(float64(sum(got)) >= 0.9*limit*20)
}

// Guards against an entry that starts again counted as having taken what it took before.
func TestAnEntryThatStartsAgainCountsFromZero(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.Hear("i1", []Told{{Endpoint: 7, Limit: 1, Sent: 40}})
	g.clock.Advance(time.Minute / 6)
	l.Hear("i1", []Told{{Endpoint: 7, Limit: 1, Sent: 1}})
	is.Equal(l.byID[7].bucket.level >= 1, true)
	is.True(l.byID[7].bucket.level < 40)
}

// Guards against a limit used up by requests that are little work, while the others that have no limit are late with long prompts.
func TestLightRequestsLeaveRoomForHeavyOnes(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 1)
	l := g.all[0]
	const limit = 2.0
	l.Named(ep, limit)
	heavy, light := 0, 0
	for n := range 3000 { // 30 s
		work := 10 * time.Millisecond
		if n%20 == 0 {
			work = 100 * time.Millisecond
		}
		leaves := l.Leaves("s", work)
		if l.Take(ep, leaves) {
			l.Named(ep, limit)
			if leaves == 0 {
				heavy++
			} else {
				light++
			}
		}
		g.clock.Advance(10 * time.Millisecond)
	}
	is.True(float64(heavy+light) >= 0.9*limit*30) // all of it is used
	is.True(heavy > 4*light)
	is.Equal(l.Leaves("plain", 0), 0.0) // where nothing is known of their work all are alike
}

// Guards against limits of endpoints that are gone kept, and looked up, for ever.
func TestALimitOfAnEndpointThatIsGoneIsForgotten(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	l := g.all[0]
	l.Named(ep, 2)
	l.Hear("i1", nil)
	g.clock.Advance(lapseAfter + time.Second)
	is.Equal(len(l.Tell()), 0)
	is.True(!l.Any())
	is.Equal(len(l.heard), 0)
}

// Guards against a log line with each answer because others know a limit in thousandths.
func TestALimitIsTheSameAsOthersKnowIt(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 1)
	g.all[0].Named(ep, 1.23456789)
	is.True(g.all[1].LearnMessage(g.all[0].Message()))
	is.Equal(g.all[0].Limit(ep), g.all[1].Limit(ep))
	g.clock.Advance(time.Millisecond)
	g.all[1].Named(ep, 1.23456789)
	is.True(!g.all[0].LearnMessage(g.all[1].Message()))
}
