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

// Symptom: endpoints that are overloaded are kept so by repeats.
// Events: everything fails for a while; each request asks for repeats, on
// every entry, however unequal their loads.
// In no window do the repeats of all entries exceed the operators' bound.
func TestRepeatsOfAllEntriesKeepTheBound(t *testing.T) {
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
						all[to].Hear(fmt.Sprint(from), all[from].Counts())
					}
				}
			}
			b := all[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			b.Earn("s")
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

func TestRepeatsForQualityLeaveRoomForThoseAfterFailures(t *testing.T) {
	is := is.New(t)
	b := New(bounds, func() int { return 8 }, clockwork.NewFakeClock())
	for range 100 {
		b.Earn("s")
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

func TestRepeatsComeBackWithTheWindow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(bounds, func() int { return 56 }, clock)
	b.Earn("s")
	is.True(b.Take("s", ForFailure))
	is.True(!b.Take("s", ForFailure))
	clock.Advance(bounds.Window + time.Second)
	b.Earn("s")
	is.True(b.Take("s", ForFailure))
}

// Symptom: requests on endpoints that crashed fail, though the operators' bound
// on repeats is not reached.
// Events: a few calls fail; repeats for quality go on and take up what the many
// that fail a second later would need.
// After failures, quality leaves room for more of them.
func TestRepeatsForQualityYieldToFailures(t *testing.T) {
	is := is.New(t)
	b := New(bounds, func() int { return 8 }, clockwork.NewFakeClock())
	for range 100 {
		b.Earn("s")
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
	is.Equal(quality, 76-30-30*failuresAhead)
	is.True(failure >= 30)
}

// Symptom: on a calm day one doubted answer in fifteen is kept for want of a repeat,
// though the fleet makes two thirds of the repeats that operators allow.
// Events: an entry has two requests a second; by chance more of its answers are
// doubted than usual.
// Cause: it knew nothing of the others, and kept to its own part.
func TestAnEntryTakesRepeatsThatOthersLeave(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	take := func(othersRepeat float64) int {
		b := New(bounds, func() int { return 8 }, clock)
		for range 20 {
			b.Earn("s")
		}
		for _, entry := range []string{"i2", "i3"} {
			b.Hear(entry, []ServiceCount{{shortName("s"), Count{Requests: 20, Repeats: othersRepeat}}})
		}
		n := 0
		for b.Take("s", ForQuality) {
			n++
		}
		return n
	}
	const own = 19 // 0.79 of 18 + 7
	is.Equal(take(20), own)
	is.Equal(take(5), 23)     // beyondOwn of that
	is.Equal(take(19), own+2) // 0.79 of 54 + 21, less theirs
	// What was told long ago does not count.
	b := New(bounds, func() int { return 8 }, clock)
	b.Hear("i2", []ServiceCount{{shortName("s"), Count{Requests: 1000}}})
	clock.Advance(toldLife + time.Millisecond)
	for range 20 {
		b.Earn("s")
	}
	n := 0
	for b.Take("s", ForQuality) {
		n++
	}
	is.Equal(n, own)
}

// Symptom: answers that their model doubts are kept for ten seconds after some endpoints
// crashed, though the others are idle.
// Events: a burst of failures takes repeats, and is over.
// Cause: as many failures again were expected as long as the burst was in the window.
func TestABurstOfFailuresThatIsOverKeepsNothingBack(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(bounds, func() int { return 8 }, clock)
	for range 100 {
		b.Earn("s")
	}
	for range 30 {
		is.True(b.Take("s", ForFailure))
	}
	clock.Advance(failuresRecent * bounds.Window / buckets)
	quality := 0
	for b.Take("s", ForQuality) {
		quality++
	}
	is.Equal(quality, 76-30)
}
