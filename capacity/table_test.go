package capacity

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
)

// Guards against a slow moment counting for longer than it lasts, and against the usual figure being
// forgotten with the last report.
func TestFactorMovesToUsual(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	is.Equal(table.Factor("e"), 1.0)
	is.Equal(table.Usual("e"), 1.0)
	for range 4 {
		table.Observe("e", 70, clock.Now())
		clock.Advance(voteInterval)
	}
	table.Observe("e", 175, clock.Now())
	is.Equal(table.Factor("e"), 1.75)
	is.Equal(table.Usual("e"), 0.7)
	clock.Advance(freshFor + (staleAfter-freshFor)/2)
	is.True(table.Factor("e") > 1.2 && table.Factor("e") < 1.25)
	clock.Advance(staleAfter)
	is.Equal(table.Factor("e"), 0.7)
	is.Equal(table.Factor("another incarnation"), 1.0)
}

// Guards against the figure of slow periods being taken for the usual one: they take 15 percent of the
// time, and most reports may come from one of them.
func TestUsualIsTheMostFrequentFigure(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	r := rand.New(rand.NewPCG(1, 1))
	var wrong, reports int
	slowUntil := clock.Now()
	for range 20000 {
		clock.Advance(time.Duration(r.ExpFloat64() * float64(100*time.Millisecond)))
		now := clock.Now()
		if now.After(slowUntil.Add(3400 * time.Millisecond)) {
			slowUntil = now.Add(600 * time.Millisecond)
		}
		if now.Before(slowUntil) {
			for range 5 {
				table.Observe("e", 425, now)
			}
		} else {
			table.Observe("e", 170, now)
		}
		reports++
		if table.Usual("e") != 1.7 {
			wrong++
		}
	}
	t.Log(wrong, "of", reports, "wrong")
	is.True(wrong < reports/100)
	// A lasting change is followed.
	for range maxVotes + 1 {
		clock.Advance(voteInterval)
		table.Observe("e", 100, clock.Now())
	}
	is.Equal(table.Usual("e"), 1.0)
}

// Guards against figures out of range, of late datagrams and from the future being used.
func TestObserveIgnoresInvalidFigures(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	for _, percent := range []int{0, -5, MaxPercent + 1} {
		table.Observe("e", percent, clock.Now())
	}
	is.Equal(table.Factor("e"), 1.0)
	table.Observe("e", 70, clock.Now().Add(time.Hour))
	is.Equal(table.Factor("e"), 0.7)
	clock.Advance(time.Second)
	table.Observe("e", 100, clock.Now())
	table.Observe("e", 425, clock.Now().Add(-500*time.Millisecond))
	is.Equal(table.Factor("e"), 1.0)
}

// Guards against memory growing with each incarnation, and over 1 MB at 10,000 endpoints.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	before := heap()
	table := New(Deps{Clock: clock})
	for i := range 3 * maxEndpoints {
		table.Observe(fleet.EndpointID(fmt.Sprint(i)), 70, clock.Now())
	}
	grown := heap() - before
	t.Log(grown, "bytes")
	is.True(grown < 1<<20)
	is.Equal(len(table.byHash), maxEndpoints)
	clock.Advance(evictAfter + time.Second)
	table.Observe("new", 70, clock.Now())
	is.Equal(len(table.byHash), 1)
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a line for each slow period, and against thousands of lines when an entry starts.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var out strings.Builder
	table := New(Deps{Clock: clock, Log: slog.New(slog.NewTextHandler(&out, nil))})
	for i := range 1000 {
		table.Observe(fleet.EndpointID(fmt.Sprint(i)), 70, clock.Now())
	}
	is.Equal(strings.Count(out.String(), "\n"), logBurst)
	clock.Advance(time.Minute)
	out.Reset()
	for range 100 {
		clock.Advance(voteInterval)
		table.Observe("1", 70, clock.Now())
	}
	is.Equal(out.String(), "")
}

// Guards against the state dump naming endpoints that reported nothing.
func TestState(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	table.Observe("a", 170, clock.Now())
	clock.Advance(50 * time.Millisecond)
	is.Equal(table.State([]fleet.Endpoint{{ID: "a"}, {ID: "b"}}), []EndpointState{{Endpoint: "a", Hash: Hash("a"), Factor: 1.7, Last: 170, AgeMS: 50, Usual: 170}})
}

// steppedClock is a clock with a monotonic reading whose wall clock was set back.
type steppedClock struct {
	clockwork.Clock
	now  time.Time
	back time.Duration
}

// Now returns the time with the wall clock set back. Package time has no function that changes the wall
// clock only: its seconds are in the bits from 30 of the first word of a Time with a monotonic reading.
func (c *steppedClock) Now() time.Time {
	now := c.now
	*(*uint64)(unsafe.Pointer(&now)) -= uint64(c.back/time.Second) << 30
	return now
}

// Guards against all reports being ignored after the wall clock was set back.
func TestReportsCountAfterClockStepsBack(t *testing.T) {
	is := is.New(t)
	clock := &steppedClock{now: time.Now()}
	table := New(Deps{Clock: clock})
	table.Observe("e", 70, clock.Now())
	before := clock.Now()
	clock.now, clock.back = clock.now.Add(time.Second), time.Hour
	is.Equal(clock.Now().UnixNano()-before.UnixNano(), int64(time.Second-time.Hour))
	is.Equal(clock.Now().Sub(before), time.Second)
	table.Observe("e", 170, clock.Now())
	is.Equal(table.Factor("e"), 1.7)
	clock.now = clock.now.Add(staleAfter)
	is.Equal(table.Factor("e"), table.Usual("e"))
	clock.now = clock.now.Add(evictAfter)
	table.Observe("other", 70, clock.Now())
	is.Equal(len(table.byHash), 1)
}

// Guards against a figure without bounds keeping all requests from an endpoint, or drawing all of them.
func TestFactorsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	table.Observe("slow", MaxPercent, clock.Now())
	table.Observe("quick", MinPercent, clock.Now())
	for range 2 {
		is.Equal(table.Factor("slow"), MaxFactor)
		is.Equal(table.Usual("slow"), MaxFactor)
		is.Equal(table.Factor("quick"), MinFactor)
		is.Equal(table.Usual("quick"), MinFactor)
		clock.Advance(staleAfter)
	}
}

// Guards against an endpoint that reported a high figure once being avoided for minutes, as without
// requests it reports no other one.
func TestUnconfirmedUsualIsForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := New(Deps{Clock: clock})
	table.Observe("e", 500, clock.Now())
	clock.Advance(confirmedFor)
	is.Equal(table.Usual("e"), 5.0)
	is.Equal(table.Factor("e"), 5.0)
	clock.Advance(forgetAfter / 2)
	is.Equal(table.Usual("e"), 3.0)
	is.Equal(table.Factor("e"), 3.0)
	clock.Advance(forgetAfter)
	is.Equal(table.Usual("e"), 1.0)
	is.Equal(table.Factor("e"), 1.0)
	// A report that agrees confirms it.
	table.Observe("e", 490, clock.Now())
	is.True(table.Usual("e") > 4.9)
}
