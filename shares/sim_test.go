package shares

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/cascade"
)

// sim is a simulation of entries with a Table each, which share engines that serve one request at a time by urgency.
type sim struct {
	entries      int
	surge        bool          // customer 0 sends six times its usual demand
	capacity     float64       // part of the engines that is left during the disturbance
	lost, late   float64       // parts of the datagrams
	restartEvery time.Duration // an entry after the other loses its state; 0: none does
	cutOff       bool          // domains exchange no datagrams with others
	off          bool          // decisions without a Table
}

const (
	simPerEntry    = 8.0 // requests per second
	simUtilization = 0.9 // of the engines, with larger models for all answers of low confidence
	simDoubtful    = 0.35
	simLarger      = 10 // engine time of the larger model in relation to the smaller one's
	simSlots       = 16
	simFrom        = 62 * time.Second // of the disturbance
	simTo          = 73 * time.Second
	simCustomers   = 24
	simLarge       = 3 // customers with four times the demand of the others
)

type simKind struct {
	urgency         int
	part            float64
	work, objective time.Duration
}

var simKinds = []simKind{
	{2, 0.5, 6 * time.Millisecond, 1500 * time.Millisecond},
	{4, 0.3, 8 * time.Millisecond, 1500 * time.Millisecond},
	{6, 0.2, 30 * time.Millisecond, 6 * time.Second},
}

// simResult counts requests of one kind that came during the disturbance.
type simResult struct {
	requests, onTime, answered, doubtful, kept float64
	value                                      float64 // 1 on time, 0.5 late; a twentieth of it for answers of low confidence
}

func (r *simResult) add(o simResult) {
	r.requests += o.requests
	r.onTime += o.onTime
	r.answered += o.answered
	r.doubtful += o.doubtful
	r.kept += o.kept
	r.value += o.value
}

type simRequest struct {
	entry, customer int
	id              string
	kind            simKind
	doubtful, large bool
	work            time.Duration // engine time of this send
	came, sent      time.Duration
	urgency         int
	standing        Standing
	result          *simResult
}

// simEngine serves the most urgent request that waits.
type simEngine struct {
	queue []*simRequest
	work  time.Duration // of what runs and waits
	busy  bool
	dead  bool
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simRun struct {
	sim
	r       *rand.Rand
	clock   *clockwork.FakeClock
	now     time.Duration
	events  simEvents
	seq     int
	tables  []*Table
	wait    []float64 // mean wait that an entry saw, in seconds
	busy    []float64 // mean utilization that an entry saw
	engines []*simEngine
	byKind  map[int]*simResult // by urgency, without customer 0 in a surge
	surging simResult
}

func (c sim) run(seed uint64) *simRun {
	p := &simRun{sim: c, r: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClock(), byKind: map[int]*simResult{}}
	perRequest := 0.0
	for _, k := range simKinds {
		p.byKind[k.urgency] = &simResult{}
		perRequest += k.part * k.work.Seconds() * (1 + simDoubtful*simLarger)
	}
	for i := range c.entries {
		p.tables = append(p.tables, p.newTable())
		p.after(time.Duration(p.r.Float64()*float64(time.Second)), func() { p.tell(i) })
	}
	p.wait, p.busy = make([]float64, c.entries), make([]float64, c.entries)
	for range max(2, int(float64(c.entries)*simPerEntry*perRequest/simUtilization+0.5)) {
		p.engines = append(p.engines, &simEngine{})
	}
	for customer := range simCustomers {
		p.after(0, func() { p.arrive(customer) })
	}
	if c.capacity > 0 {
		p.after(simFrom, func() { p.setDead(true) })
		p.after(simTo-time.Second, func() { p.setDead(false) })
	}
	if c.restartEvery > 0 {
		p.after(simFrom, func() { p.restart(0) })
	}
	for len(p.events) > 0 && p.events[0].at < simTo+15*time.Second {
		e := heap.Pop(&p.events).(simEvent)
		p.clock.Advance(e.at - p.now)
		p.now = e.at
		e.do()
	}
	return p
}

func (p *simRun) newTable() *Table {
	if p.off {
		return nil
	}
	return New(Deps{Clock: p.clock})
}

func (p *simRun) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, simEvent{p.now + d, p.seq, do})
}

func (p *simRun) restart(i int) {
	p.tables[i] = p.newTable()
	p.after(p.restartEvery, func() { p.restart((i + 1) % p.entries) })
}

// setDead takes engines away, whose requests finish, or gives them back.
func (p *simRun) setDead(dead bool) {
	for i := int(p.capacity*float64(len(p.engines)) + 0.5); i < len(p.engines); i++ {
		p.engines[i].dead = dead
	}
}

// tell sends the rows of an entry to the others of its domain, or to all in a small fleet.
func (p *simRun) tell(from int) {
	interval, domains := time.Second, 3
	if p.entries <= 16 {
		interval = 250 * time.Millisecond
		if !p.cutOff {
			domains = 1
		}
	}
	p.after(interval, func() { p.tell(from) })
	delays, demands := p.tables[from].TakeDelays(), p.tables[from].Demands()
	for to := from % domains; to < p.entries; to += domains {
		if to == from || p.r.Float64() < p.lost {
			continue
		}
		delay := time.Millisecond
		if p.r.Float64() < p.late {
			delay = 1500 * time.Millisecond
		}
		p.after(delay, func() {
			p.tables[to].ReceiveDelays(delays)
			p.tables[to].ReceiveDemands(fmt.Sprint(from), demands)
		})
	}
}

func (p *simRun) disturbed() bool { return p.now >= simFrom && p.now < simTo }

// arrive simulates a customer's request, and schedules the next.
func (p *simRun) arrive(customer int) {
	weight := 1.0
	if customer < simLarge {
		weight = 4
	}
	rate := simPerEntry * float64(p.entries) * weight / (simCustomers + 3*simLarge)
	if p.surge && customer == 0 && p.disturbed() {
		rate *= 6
	}
	p.after(time.Duration(p.r.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(customer) })
	kind, at := simKinds[0], p.r.Float64()
	for _, kind = range simKinds {
		if at -= kind.part; at < 0 {
			break
		}
	}
	work := time.Duration((0.5 + p.r.Float64()) * float64(kind.work))
	q := &simRequest{entry: p.r.IntN(p.entries), customer: customer, id: fmt.Sprint(p.r.Uint64()), kind: kind, doubtful: p.r.Float64() < simDoubtful, work: work, came: p.now, result: &simResult{}}
	if p.disturbed() {
		q.result = p.byKind[kind.urgency]
		if p.surge && customer == 0 {
			q.result = &p.surging
		}
	}
	q.result.requests++
	t, name := p.tables[q.entry], fmt.Sprint("c", customer)
	t.AddDemand(svc, name, work)
	q.standing = t.Standing(svc, name, kind.urgency, q.id)
	q.urgency = q.standing.Urgency
	p.send(q, p.pick())
}

// pick returns the engine with the least work out of three.
func (p *simRun) pick() *simEngine {
	var best *simEngine
	for n := 0; n < 3; {
		e := p.engines[p.r.IntN(len(p.engines))]
		if e.dead {
			continue
		}
		n++
		if best == nil || e.work < best.work {
			best = e
		}
	}
	return best
}

func (p *simRun) send(q *simRequest, e *simEngine) {
	q.sent = p.now
	e.queue = append(e.queue, q)
	e.work += q.work
	if !e.busy {
		p.next(e)
	}
}

// next serves the most urgent request that waits.
func (p *simRun) next(e *simEngine) {
	e.busy = len(e.queue) > 0
	if !e.busy {
		return
	}
	best := 0
	for i, q := range e.queue {
		if q.urgency < e.queue[best].urgency {
			best = i
		}
	}
	q := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	if p.now-q.came > 4*q.kind.objective { // its caller has left
		e.work -= q.work
		p.next(e)
		return
	}
	p.after(q.work, func() {
		e.work -= q.work
		p.first(q, e)
		p.next(e)
	})
}

func (p *simRun) first(q *simRequest, e *simEngine) {
	i, delay := q.entry, p.now-q.sent-q.work
	p.tables[i].ObserveDelay(svc, q.urgency, delay, q.kind.objective)
	p.wait[i] += 0.1 * (delay.Seconds() - p.wait[i])
	p.busy[i] += 0.1 * (float64(len(e.queue)+1)/simSlots - p.busy[i])
	if q.doubtful && !q.large {
		q.result.doubtful++
		if p.larger(q) {
			return
		}
		q.result.kept++
	}
	value := 0.5
	q.result.answered++
	if p.now-q.came <= q.kind.objective {
		value = 1
		q.result.onTime++
	}
	if q.doubtful && !q.large {
		value /= 20
	}
	q.result.value += value
}

// larger asks the larger model if the policy says so, by the estimate that ingress makes.
func (p *simRun) larger(q *simRequest) bool {
	t, e := p.tables[q.entry], p.pick()
	st := t.Now(svc, q.standing)
	work := simLarger * q.work
	est := cascade.Estimate{Elapsed: p.now - q.came, Wait: max(e.work, time.Duration(p.wait[q.entry]*float64(time.Second))), First: work, Objective: q.kind.objective,
		Utilization: p.busy[q.entry], InExcess: st.InExcess && st.Short}
	cost := t.CostRatio(svc, work)
	if st.ByUrgency {
		est.Urgent = &cascade.UrgentEstimate{Wait: st.Wait(e.work, q.kind.objective), Shortage: st.Shortage, Cost: cost}
	}
	policy := cascade.EscalationPolicy{MinConfidence: cascade.DefaultMinConfidence}
	if policy.Decide(p.r.IntN(cascade.DefaultMinConfidence), est) != cascade.Escalate {
		return false
	}
	q.large, q.work = true, work
	p.send(q, e)
	return true
}

func (p *simRun) all() (sum simResult) {
	for _, r := range p.byKind {
		sum.add(*r)
	}
	return sum
}

func (p *simRun) String() string {
	out := ""
	for _, k := range simKinds {
		r := p.byKind[k.urgency]
		out += fmt.Sprintf("urgency %d: on time %.3f, answered %.3f, kept %.3f, value %.3f; ", k.urgency, r.onTime/r.requests, r.answered/r.requests, r.kept/r.doubtful, r.value/r.requests)
	}
	if s := p.surging; s.requests > 0 {
		out += fmt.Sprintf("surging: on time %.3f, answered %.3f, value %.3f", s.onTime/s.requests, s.answered/s.requests, s.value/s.requests)
	}
	return out
}

// simCases are the disturbances of what entries know; "off" shows decisions without a Table and is not judged.
var simCases = []struct {
	name string
	sim
}{
	{"plain", sim{}}, {"lost", sim{lost: 0.3, late: 0.2}}, {"starts", sim{restartEvery: 5 * time.Second}}, {"cut off", sim{cutOff: true}}, {"off", sim{off: true}},
}

// simSizes are the numbers of entries, and of runs that are added up: a small fleet has few requests in eleven seconds.
var simSizes = []struct{ entries, runs int }{{8, 6}, {74, 2}, {300, 1}}

// runs adds up several runs.
func (c sim) runs(n int) *simRun {
	sum := c.run(1)
	for seed := range n - 1 {
		p := c.run(uint64(seed + 2))
		for urgency, r := range p.byKind {
			sum.byKind[urgency].add(*r)
		}
		sum.surging.add(p.surging)
	}
	return sum
}

// eachCase runs a test in each case at each number of entries. Entries of large fleets tell their own domains only, so that
// a domain that is cut off makes a difference in small ones only.
func eachCase(t *testing.T, check func(t *testing.T, c sim, runs int)) {
	for _, size := range simSizes {
		for _, c := range simCases {
			if size.entries > 16 && c.cutOff {
				continue
			}
			c.entries = size.entries
			t.Run(fmt.Sprintf("%d entries, %s", size.entries, c.name), func(t *testing.T) {
				t.Parallel()
				check(t, c.sim, size.runs)
			})
		}
	}
}

// Guards against all customers sharing the delays of one that sends six times its usual demand: the others are served at
// least 0.97 as well as on a calm day, also when datagrams are lost or late, when entries start, and when domains are cut
// off.
func TestOthersAreServedDuringSurge(t *testing.T) {
	calm := map[int]float64{}
	for _, size := range simSizes {
		all := sim{entries: size.entries}.runs(size.runs).all()
		calm[size.entries] = all.value / all.requests
	}
	eachCase(t, func(t *testing.T, c sim, runs int) {
		c.surge = true
		r := c.runs(runs)
		all := r.all()
		ratio := all.value / all.requests / calm[c.entries]
		t.Logf("%.3f of a calm day (%.3f); %v", ratio, calm[c.entries], r)
		if !c.off && ratio < 0.97 {
			t.Errorf("others are served %.3f as well as on a calm day", ratio)
		}
	})
}

// Guards against urgent requests waiting, and being denied larger models, because of less urgent ones while a third of the
// engines is lost for ten seconds.
func TestUrgentRequestsUnderShortage(t *testing.T) {
	eachCase(t, func(t *testing.T, c sim, runs int) {
		c.capacity = 2.0 / 3
		r := c.runs(runs)
		t.Log(r)
		if c.off {
			return
		}
		urgent, last := r.byKind[2], r.byKind[6]
		if onTime := urgent.onTime / urgent.requests; onTime < 0.95 {
			t.Errorf("%.3f of the most urgent requests are on time", onTime)
		}
		if kept, of := urgent.kept/urgent.doubtful, last.kept/last.doubtful; kept > 0.5*of {
			t.Errorf("%.3f of the most urgent doubtful answers are kept, %.3f of the least urgent", kept, of)
		}
		for urgency, k := range r.byKind {
			if onTime := k.onTime / k.requests; onTime < 0.5*c.capacity {
				t.Errorf("only %.3f of the requests of urgency %d are on time", onTime, urgency)
			}
		}
	})
}
