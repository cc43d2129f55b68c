package admission

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
)

// sim runs entries with queues in front of plain endpoints that refuse when full. It has no network and
// takes no time.
type sim struct {
	clock     *clockwork.FakeClock
	rng       *rand.Rand
	events    simEvents
	seq       int
	entries   []*Queue
	endpoints []*simEndpoint
	// objective and deadline of the requests, and their work.
	objective, deadline, work time.Duration
	urgencies                 int
	// impatient is the share of callers that send a refused request again at once.
	impatient float64
	// hastyRepeats is how often they do.
	hastyRepeats int
	// final: refused callers do not come back.
	final   bool
	sent    int
	parked  []*simRequest // waiting for signals
	results simResults
}

type simResults struct {
	sent, inTime, late, refusedLate, refusals, sends, refusedSends, gone int
	maxWaiting                                                           int
	// byKind counts callers and answers in time of patient and impatient callers, byUrgency by urgency.
	byKind, byKindInTime, byKindAnswered [2]int
	byUrgency, byUrgencyInTime           [4]int
	returns                              map[time.Time]int
	slowestRefusal                       time.Duration
}

func (r simResults) String() string {
	return fmt.Sprintf("%d sent, %d in time, %d late, %d gone, %d refusals (%d after an eighth, slowest %v), %d sends, %d refused; patient %d of %d, impatient %d of %d in time; by urgency %v of %v; most waiting %d",
		r.sent, r.inTime, r.late, r.gone, r.refusals, r.refusedLate, r.slowestRefusal, r.sends, r.refusedSends, r.byKindInTime[0], r.byKind[0], r.byKindInTime[1], r.byKind[1], r.byUrgencyInTime, r.byUrgency, r.maxWaiting)
}

type simEndpoint struct {
	id      fleet.EndpointID
	running int
	slots   int
	lost    bool
}

type simRequest struct {
	Request
	first     time.Time
	impatient bool
	repeats   int
	place     *Place
	entry     int
	tried     map[fleet.EndpointID]bool
	refused   int
	must      bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simClock runs timers as events of the simulation.
type simClock struct {
	*clockwork.FakeClock
	s *sim
}

func (c simClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	c.s.after(d, f)
	return nil
}

const (
	simNetwork = 500 * time.Microsecond // one way
	// simTurnaround is how long a caller that sends again at once takes.
	simTurnaround = 3 * time.Millisecond
)

func newSim(seed uint64, entries, endpoints, slots int) *sim {
	s := &sim{clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), rng: rand.New(rand.NewPCG(seed, seed)), objective: 300 * time.Millisecond, deadline: 3 * time.Second, work: 60 * time.Millisecond, urgencies: 1}
	s.results.returns = map[time.Time]int{}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{id: fleet.EndpointID(fmt.Sprint("e", i)), slots: slots})
	}
	for range entries {
		s.entries = append(s.entries, New(Deps{MaxWaiting: DefaultMaxWaiting, MaxBytes: 1 << 20, Clock: simClock{s.clock, s}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			Capacity: func(string) Capacity {
				c := Capacity{Entries: entries}
				for _, e := range s.endpoints {
					if !e.lost {
						c.Slots += e.slots
					}
				}
				c.Version = c.Slots
				return c
			}}))
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.clock.Now().Add(d), s.seq, do})
}

// run runs the simulation for a time.
func (s *sim) run(d time.Duration) {
	end := s.clock.Now().Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		if wait := e.at.Sub(s.clock.Now()); wait > 0 {
			s.clock.Advance(wait)
		}
		e.do()
		s.deliver()
	}
	s.clock.Advance(end.Sub(s.clock.Now()))
}

// demand sends so many requests a second for a time.
func (s *sim) demand(perSecond float64, d time.Duration) {
	end := s.clock.Now().Add(d)
	var next func()
	next = func() {
		if !s.clock.Now().Before(end) {
			return
		}
		s.sent++
		r := &simRequest{first: s.clock.Now(), impatient: s.rng.Float64() < s.impatient}
		r.ID, r.Urgency, r.Service = fmt.Sprint("r", s.sent), s.rng.IntN(s.urgencies), "svc"
		s.results.sent++
		s.results.byKind[kindOf(r)]++
		s.results.byUrgency[r.Urgency]++
		s.arrive(r)
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

func kindOf(r *simRequest) int {
	if r.impatient {
		return 1
	}
	return 0
}

func (s *sim) arrive(r *simRequest) {
	now := s.clock.Now()
	r.entry, r.tried, r.refused, r.must = s.rng.IntN(len(s.entries)), map[fleet.EndpointID]bool{}, 0, false
	q := s.entries[r.entry]
	r.Received, r.Deadline, r.Bytes = now, r.first.Add(s.deadline), 100
	r.Takes = q.MeanTime("svc")
	r.SetObjective(s.objective, s.deadline)
	r.place = q.NewPlace(r.Request)
	s.look(r)
}

// look has a request look for capacity, as ingress does.
func (s *sim) look(r *simRequest) {
	q := s.entries[r.entry]
	if _, _, behind := q.Behind(r.place); !behind && !r.must {
		full := q.Full("svc")
		for _, i := range s.rng.Perm(len(s.endpoints)) {
			if e := s.endpoints[i]; !e.lost && !full[e.id] && !r.tried[e.id] {
				q.Took(r.place, e.id)
				s.send(r, e)
				return
			}
		}
	}
	if why := q.Wait(r.place, "endpoints_full", 0); why != "" {
		s.refuse(r)
		return
	}
	s.parked = append(s.parked, r)
	s.results.maxWaiting = max(s.results.maxWaiting, len(q.services["svc"].waiting))
}

// deliver delivers the signals of all queues.
func (s *sim) deliver() {
	for again := true; again; {
		again = false
		parked := s.parked
		s.parked = nil
		for _, r := range parked {
			select {
			case sig := <-r.place.Signals():
				again = true
				if sig.Kind == Refuse {
					s.refuse(r)
					continue
				}
				r.must, r.tried = false, map[fleet.EndpointID]bool{}
				s.look(r)
			default:
				s.parked = append(s.parked, r)
			}
		}
	}
}

func (s *sim) send(r *simRequest, e *simEndpoint) {
	q := s.entries[r.entry]
	s.results.sends++
	began := s.clock.Now()
	r.tried[e.id] = true
	s.after(simNetwork, func() {
		if e.running >= e.slots || e.lost {
			s.after(simNetwork, func() {
				s.results.refusedSends++
				q.Refused("svc", e.id)
				r.refused++
				r.must = r.refused > 2
				s.look(r)
			})
			return
		}
		e.running++
		s.after(time.Duration((0.7+0.6*s.rng.Float64())*float64(s.work)), func() {
			e.running--
			s.after(simNetwork, func() {
				now := s.clock.Now()
				s.results.byKindAnswered[kindOf(r)]++
				q.Ended("svc", e.id, now.Sub(began))
				if now.Sub(r.first) > s.objective {
					s.results.late++
					return
				}
				s.results.inTime++
				s.results.byKindInTime[kindOf(r)]++
				s.results.byUrgencyInTime[r.Urgency]++
			})
		})
	})
}

func (s *sim) refuse(r *simRequest) {
	q, now := s.entries[r.entry], s.clock.Now()
	q.Leave(r.place)
	s.results.refusals++
	took := now.Sub(r.Received)
	s.results.slowestRefusal = max(s.results.slowestRefusal, took)
	if took > s.objective/refusalDivisor {
		s.results.refusedLate++
	}
	after := q.RetryAfter(r.Request, 0)
	s.results.returns[now.Add(after)]++
	left := r.Deadline.Sub(now)
	r.repeats++
	switch {
	case s.final:
		s.results.gone++
	case r.impatient && r.repeats <= s.hastyRepeats:
		s.after(simTurnaround, func() { s.arrive(r) })
	case !r.impatient && r.repeats <= 1 && after <= left/3:
		s.after(after, func() { s.arrive(r) })
	default:
		s.results.gone++
	}
}

// capacity returns how many requests the endpoints can serve in a time.
func (s *sim) capacity(d time.Duration) float64 {
	slots := 0
	for _, e := range s.endpoints {
		if !e.lost {
			slots += e.slots
		}
	}
	return float64(slots) * d.Seconds() / s.work.Seconds()
}

// Guards against queues that waste capacity on answers that come too late, and against refusals after a
// long wait. Each entry sees one in so many requests and knows nothing of the others.
func TestOverloadedEndpointsAreUsedUp(t *testing.T) {
	for _, tt := range []struct {
		entries int
		share   float64
	}{
		{1, 0.95},
		{8, 0.95},
		// With some eight requests a second, an entry that holds no slot finds a free one by chance only.
		{74, 0.85},
	} {
		for seed := range uint64(3) {
			s := newSim(seed+1, tt.entries, 6, 6)
			s.final = true
			const d = 5 * time.Second
			s.demand(1.3*s.capacity(time.Second), d)
			s.run(d + s.deadline)
			s.check(t, tt.share*s.capacity(d))
		}
	}
}

// Guards against predictions that keep to the capacity of lost endpoints.
func TestALossOfEndpointsIsNoticed(t *testing.T) {
	for _, entries := range []int{1, 8} {
		for seed := range uint64(3) {
			s := newSim(seed+1, entries, 6, 6)
			s.final = true
			const d, lostAt, lostFor = 5 * time.Second, time.Second, 2 * time.Second
			perSecond := s.capacity(time.Second)
			s.demand(1.3*perSecond, d)
			lose := func(lost bool) {
				s.endpoints[0].lost, s.endpoints[1].lost = lost, lost
			}
			s.after(lostAt, func() { lose(true) })
			s.after(lostAt+lostFor, func() { lose(false) })
			s.run(d + s.deadline)
			s.check(t, 0.95*perSecond*(d-lostFor/3).Seconds())
		}
	}
}

// check checks the results against the number of answers in time that are to be reached.
func (s *sim) check(t *testing.T, want float64) {
	t.Helper()
	t.Logf("%d entries: %.3f of what is to be reached; %v", len(s.entries), float64(s.results.inTime)/want, s.results)
	if float64(s.results.inTime) < want {
		t.Errorf("%d answers in time, %.0f are to be reached", s.results.inTime, want)
	}
	if s.results.refusedLate > 0 {
		t.Errorf("%d refusals came after an eighth of the objective", s.results.refusedLate)
	}
	if s.results.maxWaiting > DefaultMaxWaiting {
		t.Errorf("%d requests waited", s.results.maxWaiting)
	}
	for _, q := range s.entries {
		if st := q.State(); q.bytes != 0 || len(st) > 0 && st[0].Waiting > 0 {
			t.Errorf("queue is not empty at the end: %+v", st)
		}
	}
}

// Guards against callers that send again at once, to any entry, being served more often than those that come
// back when they are told.
func TestHastyCallersHaveNoAdvantage(t *testing.T) {
	for _, repeats := range []int{1, 5} {
		for _, entries := range []int{1, 8} {
			for seed := range uint64(3) {
				s := newSim(seed+1, entries, 6, 6)
				s.impatient, s.hastyRepeats = 0.5, repeats
				const d = 5 * time.Second
				s.demand(1.3*s.capacity(time.Second), d)
				s.run(d + 2*s.deadline)
				r := s.results
				patient := float64(r.byKindAnswered[0]) / float64(r.byKind[0])
				hasty := float64(r.byKindAnswered[1]) / float64(r.byKind[1])
				t.Logf("%d entries, %d repeats: %.3f of the patient callers are answered, %.3f in time; of the hasty ones %.3f, %.3f", entries, repeats,
					patient, float64(r.byKindInTime[0])/float64(r.byKind[0]), hasty, float64(r.byKindInTime[1])/float64(r.byKind[1]))
				if hasty > patient {
					t.Error("hasty callers are answered more often")
				}
			}
		}
	}
}

// Guards against less urgent requests being served before more urgent ones.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, entries := range []int{1, 8} {
		s := newSim(1, entries, 6, 6)
		s.final, s.urgencies = true, 3
		const d = 5 * time.Second
		s.demand(1.3*s.capacity(time.Second), d)
		s.run(d + s.deadline)
		t.Log(s.results)
		share := func(urgency int) float64 {
			return float64(s.results.byUrgencyInTime[urgency]) / float64(s.results.byUrgency[urgency])
		}
		t.Logf("%d entries: %.3f, %.3f and %.3f in time by urgency", entries, share(0), share(1), share(2))
		if share(0) < 0.95 || share(0) < share(1) || share(1) < share(2) {
			t.Error("urgent requests are not preferred")
		}
	}
}

// Guards against requests that wait although endpoints have capacity.
func TestNothingWaitsWhereNothingIsFull(t *testing.T) {
	s := newSim(1, 4, 6, 1000)
	const d = 2 * time.Second
	s.demand(2000, d)
	s.run(d + s.deadline)
	if r := s.results; r.maxWaiting > 0 || r.refusals > 0 || r.sends != r.sent || r.inTime != r.sent {
		t.Error(r)
	}
}
