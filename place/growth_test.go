package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
)

// Guards against a choice that costs each request a look at every endpoint of a large fleet.
func TestAChoiceLooksAtAsManyEndpointsHoweverLargeTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 2000, 4000} {
		eps := endpoints(n, "d1", "d2", "d3", "d4", "d5", "d6")
		b := newSimBoard(clockwork.NewFakeClock(), 1)
		looked := 0
		req := Request{Domain: "d2", Affinity: 7, SharedTokens: 5000, PrefillTime: 100 * time.Millisecond, Closed: func(fleet.Endpoint) bool { looked++; return false }}
		ranked := b.Rank(eps, req)
		is.True(looked <= maxConsidered+1)                     // the preferred one besides
		is.Equal(ranked[0].ID, preferredEndpoint(eps, req).ID) // it is always among them
		local := 0
		for _, r := range ranked {
			if r.Domain == "d2" {
				local++
			}
		}
		is.True(local >= maxConsidered/2)
	}
}

// Guards against statistics of every endpoint ever looked at, and against loads lost without them.
func TestOnlyUsedEndpointsOfALargeFleetHaveStatistics(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 2000, 4000} {
		eps := endpoints(n, "d1")
		b := newSimBoard(clockwork.NewFakeClock(), 1)
		for range 100 {
			b.Rank(eps, Request{Domain: "d1"})
		}
		is.Equal(len(b.byID), 0)
		all := make([]LoadReport, 0, n)
		for _, ep := range eps {
			all = append(all, LoadReport{Endpoint: ShortID(ep.ID), Running: 3, Waiting: 1})
		}
		b.ReceiveLoads(all)
		is.Equal(b.Rank(eps, Request{Domain: "d1"})[0].Standing.Load, 4.0)
		b.Begin(eps[0], 0)
		is.Equal(b.Standing(eps[0].ID).Load, 5.0)
		is.Equal(len(b.byID), 1)
	}
}

// Guards against requests refused while endpoints have room that a random part of them does not hold.
func TestTheOnlyUsableEndpointOfALargeFleetIsFound(t *testing.T) {
	is := is.New(t)
	eps := endpoints(4*maxConsidered, "d1", "d2")
	b := newSimBoard(clockwork.NewFakeClock(), 1)
	for _, only := range []int{0, len(eps) / 2, len(eps) - 1} {
		ranked := b.Rank(eps, Request{Domain: "d1", Closed: func(ep fleet.Endpoint) bool { return ep.ID != eps[only].ID }})
		is.Equal(len(ranked), 1)
		is.Equal(ranked[0].ID, eps[only].ID)
	}
}

// Guards against longer waits as entries and endpoints grow together and each entry knows less of them.
func TestWaitsDoNotGrowWithTheFleet(t *testing.T) {
	for _, k := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := fleetSim{entries: 90 * k, domains: 6, engines: 300 * k, perSecond: 1090 * float64(k), length: 4 * time.Second}.run(1)
			t.Log(r)
			is.True(r.quantile(0.9) < 120*time.Millisecond)
			is.True(r.quantile(0.99) < 450*time.Millisecond)
			is.Equal(r.rejected, 0)
		})
	}
}

// Guards against late answers of models of which an entry sees too few to learn how long they take.
func TestEntriesWithFewAnswersLearnFromOthers(t *testing.T) {
	is := is.New(t)
	const truth = 0.06 // milliseconds a token, twice what entries assume at first
	for _, n := range []int{25, 50, 100} {
		r := rand.New(rand.NewPCG(uint64(n), 1))
		entries := make([]*Rates, n)
		for i := range entries {
			entries[i] = NewRates()
		}
		for range n { // ten seconds
			tokens := 4000 + r.IntN(40000)
			took := milliseconds(20 + truth*float64(tokens))
			if r.IntN(3) == 0 { // it waited for other requests
				took += milliseconds(r.ExpFloat64() * 500)
			}
			e := entries[r.IntN(n)]
			e.Learn("large", tokens, took)
			told := e.Answers()
			for _, other := range entries {
				if other != e && r.IntN(10) > 0 { // datagrams may be lost
					other.ReceiveAnswers(told)
				}
			}
		}
		for _, e := range entries {
			got := e.TimeToFirstEvent("large", 40000)
			is.True(got > milliseconds(0.9*truth*40000))
			is.True(got < milliseconds(1.2*truth*40000))
		}
	}
}

// BenchmarkRank measures a choice, by the number of endpoints.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			eps := endpoints(n, "d1", "d2", "d3", "d4", "d5", "d6")
			board := newSimBoard(clockwork.NewFakeClock(), 1)
			for i := range 100 {
				board.ReceiveWork(fmt.Sprint(i), map[uint32]time.Duration{ShortID(eps[i%n].ID): time.Second})
			}
			req := Request{Domain: "d2", Affinity: 7, SharedTokens: 5000}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				board.Rank(eps, req)
			}
		})
	}
}
