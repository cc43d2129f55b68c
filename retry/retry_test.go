package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

var bounds = Bounds{Ratio: 0.9, Extra: 56, Window: 10 * time.Second}

// Guards against repeats that keep overloaded endpoints overloaded. All requests fail for a
// while and ask for repeats on entries with unequal load. In no window may the repeats of
// all entries together exceed the operators' bound.
func TestRepeatsOfAllEntriesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 4
		clock := clockwork.NewFakeClock()
		var all []*Budget
		for range entries {
			all = append(all, New(bounds, func() int { return entries }, clock))
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			clock.Advance(step)
			now += step
			if rapid.IntRange(0, 3).Draw(t, "tells") == 0 {
				from := rapid.IntRange(0, entries-1).Draw(t, "from")
				for to := range entries {
					if to != from {
						all[to].ReceiveCounts(fmt.Sprint(from), all[from].Counts())
					}
				}
			}
			b := all[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			b.AddRequest("s")
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 4).Draw(t, "asks") {
				if b.Take("s", ForFailure) {
					events = append(events, event{now, true})
				}
			}
		}
		count := func(until time.Duration, repeat bool) float64 {
			n := 0.0
			for _, e := range events {
				if e.repeat == repeat && e.at <= until && until-e.at < bounds.Window {
					n++
				}
			}
			return n
		}
		for _, end := range events {
			requests := max(count(end.at, false), count(end.at-bounds.Window/2, false), count(end.at-bounds.Window, false))
			if repeats := count(end.at, true); repeats > bounds.Ratio*requests+bounds.Extra {
				t.Fatalf("%v repeats for %v requests in the window until %v", repeats, requests, end.at)
			}
		}
	})
}

func TestQualityRepeatsLeaveRoomForFailures(t *testing.T) {
	is := is.New(t)
	b := New(bounds, func() int { return 8 }, clockwork.NewFakeClock())
	for range 100 {
		b.AddRequest("s")
	}
	quality := 0
	for b.Take("s", ForQuality) {
		quality++
	}
	failure := 0
	for b.Take("s", ForFailure) {
		failure++
	}
	is.Equal(quality, 76)         // 0.79 of 90 + 7
	is.Equal(quality+failure, 77) // 0.8 of them
}

func TestBudgetRefillsAfterWindow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(bounds, func() int { return 56 }, clock)
	b.AddRequest("s")
	is.True(b.Take("s", ForFailure))
	is.True(!b.Take("s", ForFailure))
	clock.Advance(bounds.Window + time.Second)
	b.AddRequest("s")
	is.True(b.Take("s", ForFailure))
}

// Guards against failed requests being refused a repeat while the bound is not reached: a few
// calls fail, and quality repeats use up the budget that many failures need a second later.
// After failures, quality repeats leave room for more of them.
func TestQualityRepeatsReserveForRecentFailures(t *testing.T) {
	is := is.New(t)
	b := New(bounds, func() int { return 8 }, clockwork.NewFakeClock())
	for range 100 {
		b.AddRequest("s")
	}
	for range 30 {
		is.True(b.Take("s", ForFailure))
	}
	quality := 0
	for b.Take("s", ForQuality) {
		quality++
	}
	failure := 0
	for b.Take("s", ForFailure) {
		failure++
	}
	is.Equal(quality, 76-30-30*reservedPerFailure)
	is.True(failure >= 30)
}

// Guards against low-confidence answers not being escalated for lack of budget, in normal
// operation and while the fleet makes only two thirds of the repeats that operators allow; one
// in fifteen was affected. An entry with two requests a second by chance gets more of them than
// usual, and was held to its own part because it knew nothing of the other entries' use.
func TestEntryUsesBudgetLeftByOthers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	take := func(othersRepeat float64) int {
		b := New(bounds, func() int { return 8 }, clock)
		for range 20 {
			b.AddRequest("s")
		}
		for _, entry := range []string{"i2", "i3"} {
			b.ReceiveCounts(entry, []ServiceCount{{serviceHash("s"), Count{Requests: 20, Repeats: othersRepeat}}})
		}
		n := 0
		for b.Take("s", ForQuality) {
			n++
		}
		return n
	}
	const own = 19 // 0.79 of 18 + 7
	is.Equal(take(20), own)
	is.Equal(take(5), 23)     // maxOverdraw times that
	is.Equal(take(19), own+2) // 0.79 of 54 + 21, less the repeats of the others
	// Expired counts are ignored.
	b := New(bounds, func() int { return 8 }, clock)
	b.ReceiveCounts("i2", []ServiceCount{{serviceHash("s"), Count{Requests: 1000}}})
	clock.Advance(peerCountsTTL + time.Millisecond)
	for range 20 {
		b.AddRequest("s")
	}
	n := 0
	for b.Take("s", ForQuality) {
		n++
	}
	is.Equal(n, own)
}

// Guards against low-confidence answers not being escalated for ten seconds after some endpoints
// crashed, although the others are idle. As long as a burst of failures was in the window, as many
// failures again were expected.
func TestPastFailureBurstReservesNothing(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(bounds, func() int { return 8 }, clock)
	for range 100 {
		b.AddRequest("s")
	}
	for range 30 {
		is.True(b.Take("s", ForFailure))
	}
	clock.Advance(recentBuckets * bounds.Window / buckets)
	quality := 0
	for b.Take("s", ForQuality) {
		quality++
	}
	is.Equal(quality, 76-30)
}
