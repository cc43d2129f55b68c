package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
)

// What the board remembers, and for how long.
const (
	// reportLife is how long a reported load counts; after it only this
	// entry's own requests do. Reports come with answers, so a busy endpoint
	// is reported several times a second.
	reportLife = 2 * time.Second
	// failureGain is the weight of one outcome in an endpoint's failure rate:
	// about the last ten count.
	failureGain = 0.15
	// failureLife is the time in which a failure rate fades by itself, so that
	// an endpoint that is well again is tried again.
	failureLife = 4 * time.Second
	// hardFailures in a row (no connection, a reset, silence) keep requests
	// away for ejectFirst, doubling up to ejectLongest.
	hardFailures = 2
	ejectFirst   = time.Second
	ejectLongest = 8 * time.Second
	// fullFor is how long an endpoint that refused counts as full.
	fullFor = 150 * time.Millisecond
	// latencyGain is the weight of one first event in the mean.
	latencyGain = 0.2
	// forgetAfter is when an endpoint that is no longer used is forgotten.
	forgetAfter = time.Minute
)

// Outcome is how a request ended at an endpoint.
type Outcome int

// Outcomes.
const (
	// Served: the endpoint did what it was asked.
	Served Outcome = iota
	// Failed: it answered that it failed.
	Failed
	// Refused: it did not run the request, for lack of room.
	Refused
	// Broken: the connection broke, or nothing came.
	Broken
	// Unreached: the endpoint did not accept a connection.
	Unreached
	// Misdirected: the address belongs to another endpoint now.
	Misdirected
	// Abandoned: the caller left, or the answer was not needed; it says
	// nothing of the endpoint.
	Abandoned
)

func (o Outcome) String() string {
	return [...]string{"served", "failed", "refused", "broken", "unreached", "misdirected", "abandoned"}[o]
}

type record struct {
	inFlight int
	work     time.Duration // outstanding until the first events
	report   call.Load
	reported time.Time
	own      bool // the endpoint told this entry, not another
	since    int  // own requests begun less those ended since the report
	service  string
	domain   string
	heard    time.Time
	failRate float64
	failedAt time.Time
	hard     int // hard failures in a row
	ejected  time.Time
	ejection time.Duration
	fullTill time.Time
	latency  float64 // mean time to the first event, in seconds
	used     time.Time
	checked  time.Time // when its reachability was last checked
	// deadAt is when it was found unreachable; what was sent before is lost.
	deadAt time.Time
}

// Board is what this entry knows of endpoints from its own requests. It is
// safe for concurrent use; its lock is never held across a call.
type Board struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	byID    map[fleet.EndpointID]*record
	told    map[string]told // by entry
	domains map[string]*domainRecord
	// short are the ids of byID by what entries call them among themselves.
	short map[uint32]fleet.EndpointID
	// services are what is known of all endpoints of each.
	services map[string]*service
	// random spreads choices among endpoints that cannot be told apart.
	random *rand.Rand
	// born is when the latest incarnation of each named endpoint started.
	born  map[string]incarnation
	swept time.Time
	// work is what is outstanding at all endpoints, toldWork how much of it others
	// were told; grew has room for one sign that there is more.
	work, toldWork time.Duration
	grew           chan struct{}
}

// incarnation is one start of a named endpoint.
type incarnation struct {
	id   fleet.EndpointID
	born int64
}

// NewBoard returns an empty board.
func NewBoard(clock clockwork.Clock) *Board {
	return &Board{clock: clock, byID: map[fleet.EndpointID]*record{}, told: map[string]told{}, domains: map[string]*domainRecord{},
		short: map[uint32]fleet.EndpointID{}, services: map[string]*service{}, born: map[string]incarnation{}, swept: clock.Now(), grew: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Seed makes the board's choices repeat.
func (b *Board) Seed(seed uint64) { b.random = rand.New(rand.NewPCG(seed, seed)) }

func (b *Board) at(id fleet.EndpointID, now time.Time) *record {
	r := b.byID[id]
	if r == nil {
		r = &record{}
		b.byID[id] = r
		b.short[ShortID(id)] = id
	}
	r.used = now
	return r
}

// ofLocked is the record of an endpoint.
func (b *Board) ofLocked(ep fleet.Endpoint, now time.Time) *record {
	r := b.at(ep.ID, now)
	r.service, r.domain = ep.Service, ep.Domain
	return r
}

// sweepLocked forgets endpoints that are not used any more.
func (b *Board) sweepLocked(now time.Time) {
	if now.Sub(b.swept) < forgetAfter {
		return
	}
	b.swept = now
	for id, r := range b.byID {
		if r.inFlight == 0 && now.Sub(r.used) > forgetAfter {
			delete(b.byID, id)
			delete(b.short, ShortID(id))
		}
	}
	for name, latest := range b.born {
		if b.byID[latest.id] == nil {
			delete(b.born, name)
		}
	}
}

// busyGain is the weight of one answer's load in how busy a service is: the
// last ten or so count, a second or two of one entry's.
const busyGain = 0.1

// TookLoad notes the load that an endpoint of a service told with an answer.
func (b *Board) TookLoad(name string, l call.Load) {
	if l.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(name)
	s.busy += busyGain * (float64(l.Running+l.Waiting)/float64(l.Slots) - s.busy)
}

// Busy is how many requests run and wait at a service's endpoints, in parts of
// their slots, as they told with their last answers. One endpoint's load says
// little of the others', and the best one is never busy.
func (b *Board) Busy(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(name).busy
}

// Ticket is one request at one endpoint. End must be called once.
type Ticket struct {
	board  *Board
	id     fleet.EndpointID
	domain string
	begun  time.Time
	work   time.Duration // still outstanding
	ended  bool
}

// Begin notes a request sent to an endpoint, and how long that will take to
// begin its answer.
func (b *Board) Begin(ep fleet.Endpoint, work time.Duration) *Ticket {
	id := ep.ID
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweepLocked(now)
	b.bornLocked(ep, now)
	r := b.ofLocked(ep, now)
	if r.inFlight == 0 {
		r.heard = now // silence counts from when something is awaited
	}
	r.inFlight++
	r.since++
	r.work += work
	b.grewLocked(work)
	return &Ticket{board: b, id: id, domain: ep.Domain, begun: now, work: work}
}

// bornLocked notes which incarnation of an endpoint is in use. What was sent to
// an earlier one is lost: where that fell silent and started again behind a
// partition, its connections never end, and callers would wait for nothing.
func (b *Board) bornLocked(ep fleet.Endpoint, now time.Time) {
	if ep.Born == 0 {
		return
	}
	latest, known := b.born[ep.Name]
	if known && latest.born >= ep.Born {
		return
	}
	b.born[ep.Name] = incarnation{ep.ID, ep.Born}
	if earlier := b.byID[latest.id]; known && earlier != nil {
		earlier.deadAt = now
	}
}

// Head notes the head of an answer and the load it told, if any.
func (t *Ticket) Head(load *call.Load) {
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(t.id, now)
	r.heard = now
	b.reachedLocked(t.domain)
	if load != nil {
		b.learnErrorLocked(r, *load, now)
		r.report, r.reported, r.since, r.own = *load, now, 0, true
	}
}

// First notes the first event or the whole answer; it returns how long it
// took.
func (t *Ticket) First() time.Duration {
	b := t.board
	now := b.clock.Now()
	took := now.Sub(t.begun)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(t.id, now)
	r.heard = now
	if r.latency == 0 {
		r.latency = took.Seconds()
	}
	r.latency += latencyGain * (took.Seconds() - r.latency)
	t.settleLocked(r)
	return took
}

// settleLocked takes the request's work off: it is done or will not be.
func (t *Ticket) settleLocked(r *record) {
	r.work -= t.work
	t.board.work -= t.work
	t.board.toldWork = min(t.board.toldWork, t.board.work)
	t.work = 0
}

// Heard notes that something came.
func (t *Ticket) Heard() {
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(t.id, now).heard = now
}

// End notes how the request ended.
func (t *Ticket) End(o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(t.id, now)
	t.settleLocked(r)
	r.inFlight--
	r.since--
	r.outcome(o, now)
	if o == Unreached {
		b.unreachedLocked(t.domain, t.id, now)
	}
}

func (r *record) outcome(o Outcome, now time.Time) {
	switch o {
	case Served:
		r.fail(0, now)
		r.hard, r.ejection, r.ejected = 0, 0, time.Time{}
	case Failed:
		r.fail(1, now)
		r.hard = 0
	case Refused:
		r.fullTill = now.Add(fullFor)
	case Broken, Unreached:
		r.fail(1, now)
		r.hard++
		if r.hard >= hardFailures {
			r.eject(now)
		}
	case Misdirected:
		// This incarnation is gone for good; its registration will follow.
		r.ejected = now.Add(forgetAfter)
	case Abandoned:
	}
}

func (r *record) fail(bad float64, now time.Time) {
	r.failRate = r.faded(now)
	r.failRate += failureGain * (bad - r.failRate)
	r.failedAt = now
}

func (r *record) faded(now time.Time) float64 {
	if r.failRate == 0 {
		return 0
	}
	return r.failRate * math.Exp(-now.Sub(r.failedAt).Seconds()/failureLife.Seconds())
}

func (r *record) eject(now time.Time) {
	r.ejection = min(max(ejectFirst, 2*r.ejection), ejectLongest)
	r.ejected = now.Add(r.ejection)
}

// Standing is what the board says of an endpoint now.
type Standing struct {
	InFlight int // of this entry
	// Wait is the work outstanding there, of this entry and of those that told
	// of theirs.
	Wait     time.Duration
	Load     float64 // requests running and waiting there, as far as known
	Running  int     // as it last told; 0: not of late
	FailRate float64
	Ejected  bool
	Full     bool
	// Silent is how long nothing came while something was awaited.
	Silent time.Duration
	// Latency is the mean time to the first event; 0: not known.
	Latency time.Duration
}

// Standing returns what is known of an endpoint.
func (b *Board) Standing(id fleet.EndpointID) Standing {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.standingLocked(id, now)
}

func (b *Board) standingLocked(id fleet.EndpointID, now time.Time) Standing {
	wait := b.toldLocked(id, now)
	r := b.byID[id]
	if r == nil {
		return Standing{Wait: wait}
	}
	s := Standing{Wait: wait + r.work, InFlight: r.inFlight, Load: float64(r.inFlight), FailRate: r.faded(now), Ejected: now.Before(r.ejected),
		Full: now.Before(r.fullTill), Latency: time.Duration(r.latency * float64(time.Second))}
	if now.Sub(r.reported) < reportLife {
		s.Load = max(s.Load, float64(r.report.Running+r.report.Waiting+r.since))
		s.Running = r.report.Running
	}
	if r.inFlight > 0 {
		s.Silent = now.Sub(r.heard)
	}
	return s
}

// MayCheck reports whether an endpoint's reachability may be checked now, and
// takes the turn: one check each interval is enough.
func (b *Board) MayCheck(id fleet.EndpointID, interval time.Duration) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(id, now)
	if now.Sub(r.checked) < interval {
		return false
	}
	r.checked = now
	return true
}

// Unreachable notes that an endpoint accepts no connection any more.
func (b *Board) Unreachable(ep fleet.Endpoint) {
	id := ep.ID
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(id, now)
	r.deadAt = now
	r.eject(now)
	b.unreachedLocked(ep.Domain, id, now)
}

// LostSince reports whether an endpoint was found unreachable after then, and
// nothing came from it since.
func (b *Board) LostSince(id fleet.EndpointID, then time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	return r != nil && r.deadAt.After(then) && r.heard.Before(r.deadAt)
}
