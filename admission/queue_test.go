package admission

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/fleet"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// newTestQueue returns a queue on a fake clock, and a function that advances it and runs the periodic check.
func newTestQueue(maxWaiting int, maxBytes int64, c Capacity) (*Queue, func(time.Duration)) {
	s := &sim{clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), rng: rand.New(rand.NewPCG(1, 1))}
	q := New(Deps{MaxWaiting: maxWaiting, MaxBytes: maxBytes, Capacity: func(string) Capacity { return c }, Clock: simClock{s.clock, s}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	return q, s.run
}

func (q *Queue) testRequest(id string, urgency int, objective time.Duration) Request {
	now := q.Clock.Now()
	return Request{Service: "svc", ID: id, Urgency: urgency, Received: now, Due: now.Add(objective), ObjectiveAt: now.Add(objective), Deadline: now.Add(10 * objective), Bytes: 1}
}

// signalled returns the request that is signalled to look for capacity.
func signalled(places []*Place) *Place {
	for _, p := range places {
		select {
		case s := <-p.signals:
			if s.Kind == Try {
				return p
			}
		default:
		}
	}
	return nil
}

// For any requests, in whatever order they come, the one that is woken first is the first in order of excess,
// urgency and time left, and a request that finds nothing keeps its place.
func TestPropertyRequestsAreWokenInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, _ := newTestQueue(64, 1<<20, Capacity{Slots: 1000, Entries: 1})
		n := rapid.IntRange(1, 20).Draw(t, "requests")
		var places []*Place
		for i := range n {
			r := q.testRequest(fmt.Sprint(i), rapid.IntRange(0, 3).Draw(t, "urgency"), time.Duration(rapid.IntRange(20, 40).Draw(t, "objective"))*time.Second)
			r.Excess = rapid.Bool().Draw(t, "excess")
			p := q.NewPlace(r)
			if why := q.Wait(p, "full", 0); why != "" {
				t.Fatalf("request %d does not wait: %s", i, why)
			}
			places = append(places, p)
		}
		want := slices.Clone(places)
		slices.SortStableFunc(want, func(a, b *Place) int {
			switch {
			case a.Excess != b.Excess:
				return map[bool]int{false: -1, true: 1}[a.Excess]
			case a.Urgency != b.Urgency:
				return a.Urgency - b.Urgency
			}
			return a.Due.Compare(b.Due)
		})
		q.Ended("svc", "e", time.Millisecond)
		for i, w := range want {
			if got := signalled(places); got != w {
				t.Fatalf("wake %d: got %+v, want %+v", i, got, w)
			}
			if rapid.Bool().Draw(t, "finds none") {
				q.Wait(w, "full", 0)
				if got := signalled(places); got != nil {
					t.Fatal("another request is woken though there is no capacity")
				}
				q.Ended("svc", "e", time.Millisecond)
				if signalled(places) != w {
					t.Fatal("the request lost its place")
				}
			}
			q.Took(w, "e")
		}
		if q.bytes != 0 || len(q.services["svc"].waiting) != 0 {
			t.Fatal("queue is not empty")
		}
	})
}

// For any sequence of events, the queue keeps to its bounds, no request is refused because of a prediction
// after an eighth of its objective, and at most one looks for capacity at a time.
func TestPropertyQueueIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxWaiting, maxBytes := rapid.IntRange(1, 10).Draw(t, "max"), int64(rapid.IntRange(1, 1000).Draw(t, "bytes"))
		q, run := newTestQueue(maxWaiting, maxBytes, Capacity{Slots: rapid.IntRange(0, 50).Draw(t, "slots"), Entries: rapid.IntRange(1, 80).Draw(t, "entries")})
		var waits []*Place
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			run(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "end", "refuse", "leave"}).Draw(t, "step") {
			case "arrive":
				r := q.testRequest(fmt.Sprint(i), rapid.IntRange(0, 2).Draw(t, "urgency"), time.Duration(rapid.IntRange(50, 3000).Draw(t, "objective"))*time.Millisecond)
				r.Bytes, r.Takes = int64(rapid.IntRange(0, 300).Draw(t, "size")), time.Duration(rapid.IntRange(0, 100).Draw(t, "takes"))*time.Millisecond
				if p := q.NewPlace(r); q.Wait(p, "full", 0) == "" {
					waits = append(waits, p)
				}
			case "end":
				q.Ended("svc", "e", 10*time.Millisecond)
			case "refuse":
				q.Refused("svc", fleet.EndpointID("e"))
			case "leave":
				if len(waits) > 0 {
					q.Leave(waits[0])
					waits = waits[1:]
				}
			}
			now, tries := q.Clock.Now(), 0
			waits = slices.DeleteFunc(waits, func(p *Place) bool {
				for {
					select {
					case s := <-p.signals:
						if s.Kind == Refuse && s.Reason == TooLate && p.firm(now) && now.Add(p.Takes).Before(p.Deadline) {
							// the signal may have been sent during the pause
							if now.Sub(p.Received) > p.objective()/refusalDivisor+60*time.Millisecond {
								t.Fatalf("refused after %v of %v", now.Sub(p.Received), p.objective())
							}
						}
						if s.Kind == Refuse {
							return true
						}
						tries++
						if rapid.Bool().Draw(t, "finds some") {
							q.Took(p, "e")
							return true
						}
						q.Wait(p, "full", 0)
					default:
						return false
					}
				}
			})
			sum, looking := int64(0), 0
			for _, p := range q.services["svc"].waitingOrNone() {
				sum += p.Bytes
				if p.state == trying {
					looking++
				}
			}
			if n := len(q.services["svc"].waitingOrNone()); n > maxWaiting || sum > maxBytes || sum != q.bytes || looking > 1 {
				t.Fatalf("%d waiting of %d, %d bytes of %d (counted: %d), %d look for capacity", n, maxWaiting, sum, maxBytes, q.bytes, looking)
			}
		}
	})
}

func (s *service) waitingOrNone() []*Place {
	if s == nil {
		return nil
	}
	return s.waiting
}

// For any callers that are refused at the same moment, each is told to come back within a third of its time
// and after 50 ms, and two thirds of them are never told the same moment.
func TestPropertyReturnsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, _ := newTestQueue(64, 1<<20, Capacity{Slots: rapid.IntRange(1, 2000).Draw(t, "slots"), Entries: rapid.IntRange(1, 80).Draw(t, "entries")})
		n := rapid.IntRange(3, 60).Draw(t, "callers")
		opensIn := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 5000}).Draw(t, "opens")) * time.Millisecond
		moments := map[time.Duration]int{}
		for i := range n {
			r := q.testRequest(fmt.Sprint(i), rapid.IntRange(0, 3).Draw(t, "urgency"), time.Second)
			left := time.Duration(rapid.IntRange(300, 20000).Draw(t, "left")) * time.Millisecond
			r.Deadline, r.Takes = r.Received.Add(left), 60*time.Millisecond
			after := q.RetryAfter(r, opensIn)
			if after < minReturn || after > left/3 {
				t.Fatalf("told to come back after %v of %v", after, left)
			}
			moments[after]++
		}
		for after, callers := range moments {
			if 3*callers >= 2*n {
				t.Fatalf("%d of %d callers come back after %v", callers, n, after)
			}
		}
	})
}

// For any state of the queue, a more urgent caller is told an earlier moment, or the same one.
func TestPropertyUrgentCallersComeBackSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := func(refused []int, urgency int, capacity Capacity) time.Duration {
			q, _ := newTestQueue(64, 1<<20, capacity)
			for i, u := range refused {
				r := q.testRequest(fmt.Sprint(i), u, time.Second)
				q.RetryAfter(r, 0)
			}
			return q.RetryAfter(q.testRequest("last", urgency, time.Second), 0)
		}
		refused := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 40).Draw(t, "refused before")
		c := Capacity{Slots: rapid.IntRange(1, 100).Draw(t, "slots"), Entries: rapid.IntRange(1, 80).Draw(t, "entries")}
		u := rapid.IntRange(0, 2).Draw(t, "urgency")
		if urgent, other := told(refused, u, c), told(refused, u+1, c); urgent > other {
			t.Fatalf("urgency %d is told %v, %d is told %v", u, urgent, u+1, other)
		}
	})
}

// Guards against requests that wait for capacity that is known to come too late.
func TestRequestsDoNotWaitForWhatComesTooLate(t *testing.T) {
	is := is.New(t)
	q, run := newTestQueue(64, 1<<20, Capacity{Slots: 100, Entries: 1})
	is.Equal(q.Wait(q.NewPlace(q.testRequest("a", 0, time.Second)), "resting", 2*time.Second), TooLate)
	p := q.NewPlace(q.testRequest("b", 0, time.Second))
	is.Equal(q.Wait(p, "resting", 100*time.Millisecond), Reason(""))
	run(500 * time.Millisecond) // it has waited for longer than an eighth of its objective
	is.Equal((<-p.signals).Kind, Try)
	is.Equal(q.Wait(p, "resting", time.Minute), Reason(""))
	run(interval)
	is.Equal(<-p.signals, Signal{Kind: Refuse, Reason: TooLate})
	is.Equal(len(q.services["svc"].waiting), 0)
}

// Guards against waiting requests that do not learn that the entry stops, or that endpoints have changed.
func TestWaitingRequestsLearnOfAStopAndOfNewEndpoints(t *testing.T) {
	is := is.New(t)
	c, stopping := Capacity{Slots: 10, Entries: 1, Version: 1}, false
	q, run := newTestQueue(64, 1<<20, c)
	q.Capacity = func(string) Capacity { return c }
	q.Stopping = func() bool { return stopping }
	places := []*Place{q.NewPlace(q.testRequest("a", 0, 10*time.Second)), q.NewPlace(q.testRequest("b", 0, 10*time.Second))}
	for _, p := range places {
		is.Equal(q.Wait(p, "full", 0), Reason(""))
	}
	c.Version = 2
	run(interval)
	is.Equal(signalled(places), places[0])
	q.Wait(places[0], "full", 0)
	stopping = true
	run(interval)
	for _, p := range places {
		is.Equal((<-p.signals).Kind, Stopping)
	}
	run(time.Second)
	is.Equal(signalled(places), places[0]) // told once, and it waits on
}

// Guards against a queue that refuses for the loss of its prior knowledge: without any measurement the rate
// follows from slots, the time of a request and the number of entries.
func TestRateWithoutAMeasurement(t *testing.T) {
	is := is.New(t)
	var m meter
	is.Equal(m.prior(Capacity{Slots: 36, Entries: 4}, 100*time.Millisecond, 0), 90.0)
	m.ended(60 * time.Millisecond)
	is.Equal(m.prior(Capacity{Slots: 36, Entries: 4}, 100*time.Millisecond, 0), 150.0)
	is.Equal(m.prior(Capacity{Slots: 36, Entries: 4}, 0, 500*time.Millisecond), 2.0) // a limit
}

// Guards against callers that gain time for their objectives by coming back, and against requests of callers
// that never left being taken for such.
func TestObjectiveOfCallersThatComeBack(t *testing.T) {
	const objective, allowed = 300 * time.Millisecond, 3 * time.Second
	now := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		name           string
		left           time.Duration
		inTime         time.Duration // from now; the objective's end
		hasty, overdue bool
	}{
		{"first send", allowed, objective, false, false},
		{"first send, rounded", allowed - time.Millisecond, objective - time.Millisecond, false, false},
		{"at once", allowed - 5*time.Millisecond, objective - 5*time.Millisecond, true, false},
		{"when told", allowed - 100*time.Millisecond, objective - 100*time.Millisecond, false, false},
		{"too late for the objective", allowed - time.Second, objective, false, true},
		{"short of time", 100 * time.Millisecond, 100 * time.Millisecond, false, true},
	} {
		r := Request{Received: now, Deadline: now.Add(tt.left), Takes: 60 * time.Millisecond}
		r.SetObjective(objective, allowed)
		if got := r.ObjectiveAt.Sub(now); got != tt.inTime || r.Hasty != tt.hasty || r.Overdue != tt.overdue {
			t.Errorf("%s: in time for %v, hasty %v, overdue %v", tt.name, got, r.Hasty, r.Overdue)
		}
	}
}

// Guards against a time that one caller allowed long ago counting for ever.
func TestUsualLimitIsForgotten(t *testing.T) {
	is := is.New(t)
	q, run := newTestQueue(64, 1<<20, Capacity{})
	is.Equal(q.UsualLimit("r"), time.Duration(0))
	q.ObserveLimit("r", 10*time.Second)
	q.ObserveLimit("r", 3*time.Second)
	is.Equal(q.UsualLimit("r"), 10*time.Second)
	for range 2 {
		run(limitsKept)
		q.ObserveLimit("r", 3*time.Second)
	}
	is.Equal(q.UsualLimit("r"), 3*time.Second)
}

// Guards against state that grows with the endpoints or with the callers that were refused.
func TestStateIsBounded(t *testing.T) {
	q, run := newTestQueue(64, 1<<20, Capacity{Slots: 100_000, Entries: 300})
	q.Scope = tally.NoopScope
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range 3 {
		name := fmt.Sprint("svc", n)
		for i := range 10_000 {
			r := q.testRequest(fmt.Sprintf("%016x", i), i%3, time.Minute)
			r.Service = name
			q.ObserveLimit(fmt.Sprint("route", i%50), time.Minute)
			q.Refused(name, fleet.EndpointID(fmt.Sprintf("i-%010x@%d", i, 1_800_000_000_000+i)))
			if why := q.Wait(q.NewPlace(r), "full", 0); why != "" {
				q.RetryAfter(r, 0)
			}
			if i%100 == 0 {
				run(10 * time.Millisecond)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d KB", grown>>10)
	if grown > 1<<20 {
		t.Errorf("state takes %d bytes", grown)
	}
	runtime.KeepAlive(q)
}

// Choices are made for each request, most of them while nothing waits.
func BenchmarkRequestWithoutShortage(b *testing.B) {
	q, _ := newTestQueue(64, 1<<20, Capacity{Slots: 100, Entries: 8})
	r := q.testRequest("a", 0, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		p := q.NewPlace(r)
		q.Behind(p)
		q.Full("svc")
		q.Took(p, "e")
		q.Ended("svc", "e", time.Millisecond)
		q.Leave(p)
	}
}
