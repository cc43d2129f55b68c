package slowstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/slowstart"
)

var service = fleet.Service{Name: "s", ColdFor: 3 * time.Second, ColdPerSecond: 9.2}

func entriesOf(n, domains int) []fleet.Entry {
	var out []fleet.Entry
	for i := range n {
		out = append(out, fleet.Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%domains)})
	}
	return out
}

func newGate(entries []fleet.Entry, instance string, clock clockwork.Clock) *slowstart.Gate {
	return slowstart.New(slowstart.Deps{Instance: instance, Entries: func() []fleet.Entry { return entries }, Clock: clock})
}

// Guards against more requests than a cold endpoint bears, from entries that restart or know of different entries.
func TestColdEndpointsBearWhatAllEntriesSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		s := service
		s.ColdPerSecond = rapid.Float64Range(1, 60).Draw(t, "per_second")
		entries := entriesOf(rapid.IntRange(1, 200).Draw(t, "entries"), rapid.IntRange(1, 6).Draw(t, "domains"))
		behind := entries[:len(entries)-rapid.IntRange(0, min(2, len(entries)-1)).Draw(t, "unknown")]
		gates := make([]*slowstart.Gate, len(entries))
		start := func(i int) {
			known := entries
			if i%2 == 1 {
				known = behind
			}
			gates[i] = newGate(known, entries[i].Instance, clock)
		}
		for i := range entries {
			start(i)
		}
		ep := fleet.Endpoint{ID: "e", Domain: "d0", ColdUntil: clock.Now().Add(s.ColdFor)}
		const step = 20 * time.Millisecond
		var sent []int
		kill := rapid.IntRange(0, int(s.ColdFor/step)).Draw(t, "kill")
		for n := range int(s.ColdFor / step) {
			if n == kill { // all entries restart at once
				for i := range entries {
					start(i)
				}
			}
			count := 0
			for _, g := range gates {
				for g.Take(ep, s) {
					count++
				}
			}
			sent = append(sent, count)
			clock.Advance(step)
		}
		allowed := 1.5*s.ColdPerSecond + 5
		for from := range sent {
			total := 0
			for _, n := range sent[from:min(len(sent), from+int(time.Second/step))] {
				total += n
			}
			if float64(total) > allowed {
				t.Fatalf("%d requests in a second, %g allowed", total, allowed)
			}
		}
	})
}

func TestWarmEndpointsAreNotLimited(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	g := newGate(entriesOf(60, 4), "i1", clock)
	unlimited := fleet.Service{Name: "s"}
	cold := fleet.Endpoint{ID: "e", Domain: "d0", ColdUntil: clock.Now().Add(time.Second)}
	for range 100 {
		is.True(g.Take(fleet.Endpoint{ID: "warm"}, service))
		is.True(g.Take(cold, unlimited))
	}
	clock.Advance(time.Second)
	for range 100 {
		is.True(g.Take(cold, service))
	}
}

// Guards against a refusal that sends callers back long before or after the endpoint accepts a request.
func TestWaitEndsWhenARequestMayBeSent(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	entries := entriesOf(1, 1)
	g := newGate(entries, "i0", clock)
	ep := fleet.Endpoint{ID: "e", Domain: "d0", ColdUntil: clock.Now().Add(3 * time.Second)}
	is.True(g.Take(ep, service))
	is.True(!g.Take(ep, service))
	wait := g.Wait(ep, service)
	is.True(wait > 0)
	clock.Advance(wait - time.Millisecond)
	is.True(!g.Take(ep, service))
	clock.Advance(2 * time.Millisecond)
	is.True(g.Take(ep, service))
}
