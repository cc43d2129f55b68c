package concurrency

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/fleet"
)

const service = "svc"

// testFleet is entries that ask each other without a network.
type testFleet struct {
	clock    *clockwork.FakeClock
	entries  []fleet.Entry
	limiters map[string]*Limiter

	mu   sync.Mutex
	dead map[string]bool
	asks int
}

func newFleet(n int) *testFleet {
	f := &testFleet{clock: clockwork.NewFakeClock(), limiters: map[string]*Limiter{}, dead: map[string]bool{}}
	for i := range n {
		f.entries = append(f.entries, fleet.Entry{Instance: fmt.Sprint("i", i), Domain: "d1"})
	}
	for _, e := range f.entries {
		f.limiters[e.Instance] = New(Deps{Instance: e.Instance, Entries: func() []fleet.Entry { return f.entries }, Owners: f, Clock: f.clock, Log: slog.New(slog.DiscardHandler)})
		f.limiters[e.Instance].Observe(service, 3)
	}
	return f
}

// TakePermit implements Owners.
func (f *testFleet) TakePermit(_ context.Context, owner fleet.Entry, ask Ask) (Verdict, error) {
	f.mu.Lock()
	f.asks++
	dead := f.dead[owner.Instance]
	f.mu.Unlock()
	if dead {
		return Verdict{}, errors.New("no answer")
	}
	return f.limiters[owner.Instance].Grant(AskOf(ask.Message())), nil
}

// renew tells all owners of all permits.
func (f *testFleet) renew() {
	for _, l := range f.limiters {
		l.mu.Lock()
		var asks []Ask
		var owners []fleet.Entry
		for _, e := range l.endpoints {
			a := l.askLocked(e, 3)
			a.Update = true
			asks, owners = append(asks, a), append(owners, l.ownerLocked(e.ep, f.clock.Now()))
		}
		l.mu.Unlock()
		for i, a := range asks {
			_, _ = l.ask(context.Background(), owners[i], a)
		}
	}
}

// Guards against more requests at a brittle endpoint than it has slots, and against lost permits.
func TestEntriesTogetherKeepWithinTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "entries"))
		ep := fleet.Endpoint{ID: "e1", Service: service, Domain: "d1", Slots: slots}
		var held []*Permit
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if f.clock.Advance(2 * deniedDelay); step%20 == 0 { // within renewInterval
				f.renew()
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				held[i].Release(false)
				held[i].Release(false) // has no effect
				held = append(held[:i], held[i+1:]...)
				if rapid.Bool().Draw(t, "told") {
					f.renew()
				}
				continue
			}
			l := f.limiters[f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")].Instance]
			if p, ok := l.Take(context.Background(), ep); ok {
				held = append(held, p)
			}
			if len(held) > slots+1 { // one may wait after some time without refusals
				t.Fatalf("%d requests at %d slots", len(held), slots)
			}
		}
		for _, p := range held {
			p.Release(false)
		}
		f.clock.Advance(renewInterval)
		f.renew()
		f.clock.Advance(learningTime) // of the owner, if it was not asked before
		for i := range slots {
			l := f.limiters[f.entries[i%len(f.entries)].Instance]
			if _, ok := l.Take(context.Background(), ep); !ok {
				t.Fatalf("permit %d of %d is lost", i+1, slots)
			}
		}
	})
}

// Guards against counting permits by a message that a later one has overtaken.
func TestOvertakenMessagesDoNotFreePermits(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	l := f.limiters["i0"]
	f.clock.Advance(learningTime)
	l.Grant(Ask{Entry: "a", Endpoint: 1, Service: service, Slots: 2, Boot: 7, Sequence: 1, Update: true})
	f.clock.Advance(learningTime)
	is.True(l.Grant(Ask{Entry: "a", Endpoint: 1, Service: service, Slots: 2, Boot: 7, Sequence: 4, InUse: 1}).Granted)
	l.Grant(Ask{Entry: "a", Endpoint: 1, Service: service, Slots: 2, Boot: 7, Sequence: 3, InUse: 0, Update: true}) // overtaken
	is.True(!l.Grant(Ask{Entry: "b", Endpoint: 1, Service: service, Slots: 2, Boot: 9, Sequence: 1}).Granted)
	l.Grant(Ask{Entry: "a", Endpoint: 1, Service: service, Slots: 2, Boot: 8, Sequence: 1, InUse: 0, Update: true}) // it started again
	is.True(l.Grant(Ask{Entry: "b", Endpoint: 1, Service: service, Slots: 2, Boot: 9, Sequence: 2}).Granted)
}

// Guards against an endpoint that nobody may use, or that two entries grant, because its owner is dead.
func TestAnotherEntryStandsInForADeadOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	ep := fleet.Endpoint{ID: "e1", Service: service, Domain: "d1", Slots: 4}
	owner := f.limiters["i0"].ownerLocked(ep, f.clock.Now())
	f.dead[owner.Instance] = true
	granted := 0
	for range 40 {
		f.clock.Advance(100 * time.Millisecond)
		for _, e := range f.entries {
			if e.Instance == owner.Instance {
				continue
			}
			if _, ok := f.limiters[e.Instance].Take(context.Background(), ep); ok {
				granted++
			}
		}
	}
	is.Equal(granted, 2)
}

// Guards against granting permits to an endpoint that already turns away as many requests as it bears.
func TestAnEndpointTurnsAwayNoMoreThanItBears(t *testing.T) {
	for _, limit := range []int{1, 3, 10} {
		is := is.New(t)
		f := newFleet(3)
		for _, l := range f.limiters {
			l.Observe(service, limit)
		}
		ep := fleet.Endpoint{ID: "e1", Service: service, Domain: "d1", Slots: 4}
		var refused []time.Time
		for range 100 { // ten seconds
			f.clock.Advance(100 * time.Millisecond)
			for _, e := range f.entries {
				if p, ok := f.limiters[e.Instance].Take(context.Background(), ep); ok {
					p.Release(true)
					refused = append(refused, f.clock.Now())
				}
				f.renew()
			}
		}
		t.Logf("%d of %d a second: %d requests turned away in ten seconds", limit, limit, len(refused))
		is.True(len(refused) > 0)
		for i := limit; i < len(refused); i++ {
			is.True(refused[i].Sub(refused[i-limit]) >= time.Second)
		}
	}
}

// Guards against an endpoint that is idle for a whole window because it turned one request away, and against
// filling it meanwhile.
func TestAnEndpointThatTurnedHalfAwayGetsFewer(t *testing.T) {
	for _, tt := range []struct{ limit, refused, granted int }{{1, 1, 0}, {2, 1, 2}, {2, 2, 0}, {3, 1, 2}, {3, 2, 0}, {10, 4, 4}, {10, 5, 2}, {10, 6, 0}} {
		is := is.New(t)
		f := newFleet(1)
		l := f.limiters["i0"]
		l.Observe(service, tt.limit)
		ep := fleet.Endpoint{ID: "e1", Service: service, Domain: "d1", Slots: 4}
		if p, ok := l.Take(context.Background(), ep); ok { // the owner begins to count
			p.Release(false)
		}
		f.renew()
		f.clock.Advance(learningTime)
		l.owned[uint32(ep.Hash())].noteRefused(tt.refused, f.clock.Now())
		granted := 0
		for range 5 {
			if _, ok := l.Take(context.Background(), ep); ok {
				granted++
			}
		}
		t.Logf("%d of %d a second turned away: %d granted", tt.refused, tt.limit, granted)
		is.Equal(granted, tt.granted)
	}
}

// Guards against asking owners while no service is brittle.
func TestNobodyIsAskedWhileNoServiceIsBrittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for _, l := range f.limiters {
		l.Observe(service, 0)
		p, ok := l.Take(context.Background(), fleet.Endpoint{ID: "e1", Service: service})
		is.True(ok)
		p.Release(false)
		is.Equal(l.Wait(fleet.Endpoint{ID: "e1", Service: service}), time.Duration(0))
	}
	is.Equal(f.asks, 0)
	l := f.limiters["i0"]
	l.Merge([]Brittle{{service, 2, time.Second}})
	is.True(l.Any())
	f.clock.Advance(brittleTTL)
	_, _ = l.Take(context.Background(), fleet.Endpoint{ID: "e1", Service: service})
	is.True(!l.Any())
}
