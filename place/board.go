package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/fleet"
)

// Lifetimes and weights of the observations on a board.
const (
	// reportTTL is how long a reported load is valid; after it only this entry's own requests
	// count. Reports come with answers, so a busy endpoint is reported several times a second.
	reportTTL = 2 * time.Second
	// failureGain is the weight of one outcome in the failure rate of an endpoint: about the
	// last ten count.
	failureGain = 0.15
	// failureDecay is the time constant of the decay of a failure rate, so that an endpoint that
	// has recovered is tried again.
	failureDecay = 4 * time.Second
	// ejectThreshold consecutive hard failures (no connection, a reset, silence) eject an
	// endpoint for minEjection, doubling with each further one up to maxEjection.
	ejectThreshold = 2
	minEjection    = time.Second
	maxEjection    = 8 * time.Second
	// fullTTL is how long an endpoint counts as full after it refused a request.
	fullTTL = 150 * time.Millisecond
	// latencyGain is the weight of one first event in the mean latency.
	latencyGain = 0.2
	// evictAfter is how long the statistics of an unused endpoint are kept.
	evictAfter = time.Minute
)

// Outcome is the result of a request at an endpoint.
type Outcome int

// Outcomes.
const (
	// Served: the endpoint completed the request.
	Served Outcome = iota
	// Failed: the endpoint answered with a failure.
	Failed
	// Refused: the endpoint did not run the request, for lack of capacity.
	Refused
	// Broken: the connection broke, or no answer came.
	Broken
	// Unreached: the endpoint did not accept a connection.
	Unreached
	// Misdirected: the address now belongs to another endpoint.
	Misdirected
	// Abandoned: the caller disconnected, or the answer was not needed; this says nothing about
	// the endpoint.
	Abandoned
	// NoPath: this entry reaches no endpoint; this says nothing about the endpoint either.
	NoPath
)

func (o Outcome) String() string {
	return [...]string{"served", "failed", "refused", "broken", "unreached", "misdirected", "abandoned", "no_path"}[o]
}

type endpointStats struct {
	inFlight            int
	work                time.Duration // outstanding until the first event of each request
	report              call.Load
	reportedAt          time.Time
	ownReport           bool // received from the endpoint, not from another entry
	sinceReport         int  // own requests begun less those ended, since the report
	service             string
	speed               speedClass // of its usual figure
	domain              string
	lastActivity        time.Time
	failRate            float64
	failRateAt          time.Time
	consecutiveFailures int // hard failures
	ejectedUntil        time.Time
	ejection            time.Duration
	fullUntil           time.Time
	restsUntil          time.Time // by its own request
	latency             float64   // mean time to the first event, in seconds
	lastUsed            time.Time
	lastChecked         time.Time // when reachability was last checked
	// unreachableAt is when the endpoint was found unreachable; requests sent before are lost.
	unreachableAt time.Time
}

// Board holds what this entry knows of endpoints, from its own requests and from reports of other
// entries. It is safe for concurrent use; its lock is never held across a network call.
type Board struct {
	clock clockwork.Clock
	mu    sync.Mutex
	byID  map[fleet.EndpointID]*endpointStats
	// working are those in byID with outstanding work, reported those that recently reported
	// their loads to this entry.
	working  map[fleet.EndpointID]*endpointStats
	reported map[fleet.EndpointID]*endpointStats
	peerWork peerWork
	// heard are the loads that endpoints without statistics reported to other entries, by short id.
	heard      map[uint32]heardLoad
	heardSwept time.Time
	domains    map[string]*domainStats
	// byShortID maps short ids to the ids in byID.
	byShortID map[uint32]fleet.EndpointID
	// services holds statistics over all endpoints of each service.
	services map[string]*serviceStats
	// random spreads choices among endpoints that cannot be distinguished.
	random *rand.Rand
	// born holds the latest incarnation of each named endpoint.
	born      map[string]incarnation
	lastSweep time.Time
	// work is the work outstanding at all endpoints, announcedWork the part of it that other
	// entries have been sent. workGrew holds one pending signal that there is more.
	work, announcedWork time.Duration
	workGrew            chan struct{}
	// slowdownChanged holds one pending signal that a figure changed.
	slowdownChanged chan struct{}
	// capacity holds how long work takes at each endpoint; its lock may be taken under mu.
	capacity *capacity.Table
	// loads holds the loads of the endpoints of a service that report a figure, by their speed.
	loads map[serviceSpeed]*loadStats
}

// incarnation is one run of a named endpoint.
type incarnation struct {
	id   fleet.EndpointID
	born int64
}

// NewBoard returns an empty board.
func NewBoard(clock clockwork.Clock) *Board {
	return &Board{clock: clock, byID: map[fleet.EndpointID]*endpointStats{}, working: map[fleet.EndpointID]*endpointStats{},
		reported: map[fleet.EndpointID]*endpointStats{}, peerWork: newPeerWork(), heard: map[uint32]heardLoad{}, domains: map[string]*domainStats{},
		byShortID: map[uint32]fleet.EndpointID{}, services: map[string]*serviceStats{}, born: map[string]incarnation{}, lastSweep: clock.Now(), workGrew: make(chan struct{}, 1), slowdownChanged: make(chan struct{}, 1), capacity: capacity.New(capacity.Deps{Clock: clock}), loads: map[serviceSpeed]*loadStats{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Seed makes the random choices of the board reproducible.
func (b *Board) Seed(seed uint64) { b.random = rand.New(rand.NewPCG(seed, seed)) }

func (b *Board) statsLocked(id fleet.EndpointID, now time.Time) *endpointStats {
	r := b.byID[id]
	if r == nil {
		r = &endpointStats{}
		short := ShortID(id)
		b.heard[short].addTo(r)
		delete(b.heard, short)
		b.byID[id] = r
		b.byShortID[short] = id
	}
	r.lastUsed = now
	return r
}

// endpointStatsLocked returns the statistics of an endpoint, with its service and domain updated.
func (b *Board) endpointStatsLocked(ep fleet.Endpoint, now time.Time) *endpointStats {
	r := b.statsLocked(ep.ID, now)
	r.service, r.domain = ep.Service, ep.Domain
	return r
}

// consideredLocked returns the statistics of an endpoint that is considered for a request. Those of
// the endpoints of a large fleet are kept only if this entry used them: it looks at all of them
// within a minute.
func (b *Board) consideredLocked(ep *fleet.Endpoint, keep bool, now time.Time) *endpointStats {
	if r := b.byID[ep.ID]; r != nil || keep {
		return b.endpointStatsLocked(*ep, now)
	}
	r := &endpointStats{service: ep.Service, domain: ep.Domain}
	b.heard[uint32(ep.Hash())].addTo(r)
	return r
}

// sweepLocked removes endpoints that are no longer used.
func (b *Board) sweepLocked(now time.Time) {
	if now.Sub(b.lastSweep) < evictAfter {
		return
	}
	b.lastSweep = now
	for id, r := range b.byID {
		if r.inFlight == 0 && now.Sub(r.lastUsed) > evictAfter && !now.Before(r.restsUntil) {
			delete(b.byID, id)
			delete(b.byShortID, ShortID(id))
		}
	}
	b.peerWork.sweep(now)
	for name, latest := range b.born {
		if b.byID[latest.id] == nil {
			delete(b.born, name)
		}
	}
}

// answerGain is the weight of one answer in the utilization and the mean wait of a service: about the
// last ten count, which one entry receives in a second or two.
const answerGain = 0.1

// ObserveLoad records the load that an endpoint of a service reported with an answer.
func (b *Board) ObserveLoad(name string, l call.Load) {
	if l.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(name)
	s.utilization += answerGain * (float64(l.Running+l.Waiting)/float64(l.Slots) - s.utilization)
}

// Utilization returns the utilization of a service: running and waiting requests divided by slots, averaged
// over the last answers. The load of one endpoint says little about the others, and the best endpoint
// is never busy.
func (b *Board) Utilization(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(name).utilization
}

// Ticket tracks one request at one endpoint. The caller must call End.
type Ticket struct {
	board  *Board
	id     fleet.EndpointID
	domain string
	begun  time.Time
	work   time.Duration // still outstanding
	ended  bool
}

// Begin records a request sent to an endpoint, and the expected time until the endpoint begins its answer.
func (b *Board) Begin(ep fleet.Endpoint, work time.Duration) *Ticket {
	id := ep.ID
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweepLocked(now)
	b.updateIncarnationLocked(ep, now)
	r := b.endpointStatsLocked(ep, now)
	if r.inFlight == 0 {
		r.lastActivity = now // silence is measured from when an answer is awaited
	}
	r.inFlight++
	r.sinceReport++
	if work > 0 {
		r.work += work
		b.working[id] = r
		b.addWorkLocked(work)
	}
	return &Ticket{board: b, id: id, domain: ep.Domain, begun: now, work: work}
}

// updateIncarnationLocked records the latest incarnation of an endpoint. Requests sent to an earlier
// one are lost: if it went silent and restarted behind a network partition, its connections never
// close, and callers would wait for nothing.
func (b *Board) updateIncarnationLocked(ep fleet.Endpoint, now time.Time) {
	if ep.Born == 0 {
		return
	}
	latest, known := b.born[ep.Name]
	if known && latest.born >= ep.Born {
		return
	}
	b.born[ep.Name] = incarnation{ep.ID, ep.Born}
	if earlier := b.byID[latest.id]; known && earlier != nil {
		earlier.unreachableAt = now
	}
}

// HeadReceived records the header of an answer and the load it reports, if any.
func (t *Ticket) HeadReceived(load *call.Load) {
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsLocked(t.id, now)
	r.lastActivity = now
	b.reachedLocked(t.domain)
	if load != nil {
		b.observeSlowdownLocked(t.id, load.SlowdownPercent, now)
		r.speed = b.speedLocked(ShortID(t.id))
		b.updateDeviationLocked(r, *load, now)
		r.report, r.reportedAt, r.sinceReport, r.ownReport = *load, now, 0, true
		b.reported[t.id] = r
	}
}

// FirstEvent records the first event or the whole answer, and returns the time it took.
func (t *Ticket) FirstEvent() time.Duration {
	b := t.board
	now := b.clock.Now()
	took := now.Sub(t.begun)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsLocked(t.id, now)
	r.lastActivity = now
	if r.latency == 0 {
		r.latency = took.Seconds()
	}
	r.latency += latencyGain * (took.Seconds() - r.latency)
	t.releaseWorkLocked(r)
	return took
}

// releaseWorkLocked removes the outstanding work of the request: it is done or will never be.
func (t *Ticket) releaseWorkLocked(r *endpointStats) {
	if t.work == 0 {
		return
	}
	if r.work -= t.work; r.work <= 0 {
		delete(t.board.working, t.id)
	}
	t.board.work -= t.work
	t.board.announcedWork = min(t.board.announcedWork, t.board.work)
	t.work = 0
}

// DataReceived records that data was received.
func (t *Ticket) DataReceived() {
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statsLocked(t.id, now).lastActivity = now
}

// End records the outcome of the request. Further calls have no effect.
func (t *Ticket) End(o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	b := t.board
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsLocked(t.id, now)
	t.releaseWorkLocked(r)
	r.inFlight--
	r.sinceReport--
	r.recordOutcome(o, now)
	if o == Unreached {
		b.unreachedLocked(t.domain, t.id, now)
	}
}

func (r *endpointStats) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Served:
		r.updateFailRate(0, now)
		r.consecutiveFailures, r.ejection, r.ejectedUntil = 0, 0, time.Time{}
	case Failed:
		r.updateFailRate(1, now)
		r.consecutiveFailures = 0
	case Refused:
		r.fullUntil = now.Add(fullTTL)
	case Broken, Unreached:
		r.updateFailRate(1, now)
		r.consecutiveFailures++
		if r.consecutiveFailures >= ejectThreshold {
			r.eject(now)
		}
	case Misdirected:
		// This incarnation is gone for good; its registration will be removed soon.
		r.ejectedUntil = now.Add(evictAfter)
	case Abandoned, NoPath:
	}
}

func (r *endpointStats) updateFailRate(bad float64, now time.Time) {
	r.failRate = r.decayedFailRate(now)
	r.failRate += failureGain * (bad - r.failRate)
	r.failRateAt = now
}

func (r *endpointStats) decayedFailRate(now time.Time) float64 {
	if r.failRate == 0 {
		return 0
	}
	return r.failRate * math.Exp(-now.Sub(r.failRateAt).Seconds()/failureDecay.Seconds())
}

func (r *endpointStats) eject(now time.Time) {
	r.ejection = min(max(minEjection, 2*r.ejection), maxEjection)
	r.ejectedUntil = now.Add(r.ejection)
}

// Standing is the current assessment of an endpoint.
type Standing struct {
	InFlight int // of this entry
	// Wait is the time that the work outstanding there takes, of this entry and of those that
	// reported theirs.
	Wait time.Duration
	// Factor is the time that work takes there now; 1 is the usual time. HasFactor: the endpoint
	// has reported it.
	Factor    float64
	HasFactor bool
	Load      float64 // estimated requests running and waiting there
	Running   int     // as last reported; 0: no recent report
	FailRate  float64
	Ejected   bool
	Full      bool
	// Silent is how long nothing was received while requests were in flight.
	Silent time.Duration
	// Latency is the mean time to the first event; 0: unknown.
	Latency time.Duration
}

// Standing returns the current assessment of an endpoint.
func (b *Board) Standing(id fleet.EndpointID) Standing {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.standingLocked(id, now)
}

func (b *Board) standingLocked(id fleet.EndpointID, now time.Time) Standing {
	return b.standingOfLocked(b.byID[id], ShortID(id), now)
}

func (b *Board) standingOfLocked(r *endpointStats, short uint32, now time.Time) Standing {
	factor, known := b.capacity.Reported(short)
	wait := b.peerWork.at(short, factor, now)
	if r == nil {
		return Standing{Wait: wait, Factor: factor, HasFactor: known}
	}
	s := Standing{Wait: wait + scaled(r.work, factor), Factor: factor, HasFactor: known, InFlight: r.inFlight, Load: float64(r.inFlight), FailRate: r.decayedFailRate(now), Ejected: now.Before(r.ejectedUntil),
		Full: now.Before(r.fullUntil), Latency: time.Duration(r.latency * float64(time.Second))}
	if now.Sub(r.reportedAt) < reportTTL {
		s.Load = max(s.Load, float64(r.report.Running+r.report.Waiting+r.sinceReport))
		s.Running = r.report.Running
	}
	if r.inFlight > 0 {
		s.Silent = now.Sub(r.lastActivity)
	}
	return s
}

// Rest records that an endpoint wants no requests from this entry for some time.
func (b *Board) Rest(ep fleet.Endpoint, d time.Duration) {
	now := b.clock.Now()
	until := now.Add(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.endpointStatsLocked(ep, now); until.After(r.restsUntil) {
		r.restsUntil = until
	}
}

// Resting returns how much longer an endpoint wants no requests from this entry; 0: it takes them.
func (b *Board) Resting(id fleet.EndpointID) time.Duration {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	if r == nil {
		return 0
	}
	return max(0, r.restsUntil.Sub(now))
}

// MayCheck reports whether the reachability of an endpoint may be checked now, and if so starts a new
// interval: one check per interval is enough.
func (b *Board) MayCheck(id fleet.EndpointID, interval time.Duration) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsLocked(id, now)
	if now.Sub(r.lastChecked) < interval {
		return false
	}
	r.lastChecked = now
	return true
}

// Unreachable records that an endpoint no longer accepts connections.
func (b *Board) Unreachable(ep fleet.Endpoint) {
	id := ep.ID
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsLocked(id, now)
	r.unreachableAt = now
	r.eject(now)
	b.unreachedLocked(ep.Domain, id, now)
}

// Reinstate lifts what was held against a service's endpoints because they accepted no connections.
func (b *Board) Reinstate(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.byID {
		if r.service != service || r.consecutiveFailures == 0 && r.ejectedUntil.IsZero() {
			continue
		}
		r.consecutiveFailures, r.ejection, r.ejectedUntil, r.failRate = 0, 0, time.Time{}, 0
		if d := b.domains[r.domain]; d != nil {
			delete(d.failed, id)
		}
	}
}

// LostSince reports whether an endpoint was found unreachable after the given time, and has sent
// nothing since.
func (b *Board) LostSince(id fleet.EndpointID, then time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byID[id]
	return r != nil && r.unreachableAt.After(then) && r.lastActivity.Before(r.unreachableAt)
}
