package admission

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// DefaultMaxWaiting is how many requests of a service wait at an entry.
	DefaultMaxWaiting = 64
	// refusalDivisor sets the part of its objective after which a request is no longer refused because of
	// a prediction.
	refusalDivisor = 8
	// marginDivisor sets the part of the objective, and deviations the number of standard deviations of a
	// predicted wait, that a prediction leaves for its error, as capacity comes at random moments. At 1.3
	// times the endpoints' capacity, 0.78 of it went to answers in time at 74 entries with an eighth and
	// none, and 0.89 with these; 0.94 and 0.97 at the least at 8 entries with a third of the endpoints lost
	// with an eighth and one deviation, and with these.
	marginDivisor = 5
	deviations    = 1.5
	// fullFor is how long an endpoint that refused a request counts as full, unless it reports a free slot
	// or ends a request of this entry before.
	fullFor = 150 * time.Millisecond
	// interval is how often waiting requests are checked.
	interval = 20 * time.Millisecond
	// quietFor is how long no request of a service waits until its shortage is reported as over.
	quietFor = time.Second
	// restsFrom is the wait for capacity from which the time does not count for the rate: nothing is
	// expected then.
	restsFrom = 250 * time.Millisecond
)

// Deps are the dependencies and settings of a Queue.
type Deps struct {
	// MaxWaiting bounds the waiting requests of each service; 0: none waits.
	MaxWaiting int
	// MaxBytes bounds the bodies of all waiting requests.
	MaxBytes int64
	// Capacity returns what is known of a service.
	Capacity func(service string) Capacity
	// Stopping reports whether the entry stops.
	Stopping func() bool
	Clock    clockwork.Clock
	Log      *slog.Logger
	Scope    tally.Scope
}

// Queue holds the requests that wait at an entry. It is safe for concurrent use; a nil Queue holds none.
type Queue struct {
	Deps
	metrics metrics

	mu       sync.Mutex
	services map[string]*service
	bytes    int64
	seq      int64
	ticking  bool
	limits   limits
}

// service is the state of one service.
type service struct {
	name     string
	waiting  []*Place // in order, with the one that looks for capacity
	trying   *Place
	again    bool // capacity may have come while trying was looking for it
	meter    meter
	measured time.Time
	capacity Capacity
	// opensAt is when the first endpoint has capacity, as far as known, and code why none has now.
	opensAt time.Time
	code    string
	nextTry time.Time
	// refusing are the endpoints that refused a request of late.
	refusing map[fleet.EndpointID]*refuser
	promises promises
	// Of the present shortage; began is zero without one.
	began, lastWaited time.Time
	taken, refused    int
	longest           time.Duration
}

// New returns an empty queue.
func New(d Deps) *Queue {
	return &Queue{Deps: d, metrics: newMetrics(d.Scope), services: map[string]*service{}}
}

// On reports whether requests wait at all.
func (q *Queue) On() bool { return q != nil && q.MaxWaiting > 0 }

// NewPlace returns a place for a request, which does not wait yet.
func (q *Queue) NewPlace(r Request) *Place {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seq++
	p := &Place{Request: r, signals: make(chan Signal, 4), seq: q.seq}
	if s := q.services[r.Service]; s != nil && len(s.waiting) > 0 {
		s.meter.at(q.Clock.Now()).arrivals[r.class()]++
	}
	return p
}

func (q *Queue) serviceLocked(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{name: name, refusing: map[fleet.EndpointID]*refuser{}}
		q.services[name] = s
	}
	return s
}

// Behind reports whether the request has to wait because others rank before it, with the code of the
// refusals meanwhile and when capacity is expected.
func (q *Queue) Behind(p *Place) (code string, opensIn time.Duration, behind bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[p.Service]
	if s == nil || p.state == trying || len(s.waiting) == 0 || !s.waiting[0].before(p) {
		return "", 0, false
	}
	return s.code, max(0, s.opensAt.Sub(q.Clock.Now())), true
}

// Wait queues a request for which no capacity was found, or one that was signalled to look for some and
// found none. opensIn is when the first endpoint has capacity, 0 if not known; code is the code of the
// refusal. It reports why the request does not wait; empty: it waits for signals.
func (q *Queue) Wait(p *Place, code string, opensIn time.Duration) Reason {
	if !q.On() {
		return Off
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	s := q.serviceLocked(p.Service)
	q.measureLocked(s, now)
	s.capacity = q.Capacity(p.Service)
	s.code, s.opensAt = code, now.Add(opensIn)
	if p.state == trying {
		p.state = waiting
		q.missedLocked(s, now, opensIn)
		return ""
	}
	if !p.waited && (p.Hasty || s.promises.early(p.ID, now)) {
		q.metrics.refused(TooEarly)
		return TooEarly
	}
	s.promises.remove(p.ID)
	q.beginLocked(s, now)
	s.waiting = insert(s.waiting, p)
	q.bytes += p.Bytes
	p.state, p.since, p.waited = waiting, now, true
	var reason Reason
	refuse := func(o *Place, why Reason) {
		q.removeLocked(s, o)
		s.refused++
		q.metrics.refused(why)
		if o == p {
			reason = why
			return
		}
		o.signals <- Signal{Kind: Refuse, Reason: why}
	}
	q.refuseLateLocked(s, now, refuse)
	for len(s.waiting) > q.MaxWaiting || q.bytes > q.MaxBytes {
		why := QueueFull
		if len(s.waiting) <= q.MaxWaiting {
			why = BytesFull
		}
		refuse(s.lastLocked(p, now), why)
		if reason != "" {
			break
		}
	}
	if reason == "" && s.nextTry.Before(now) {
		s.nextTry = now.Add(s.retryIn(now, opensIn))
	}
	q.startLocked()
	return reason
}

// lastLocked returns the request to refuse for want of room: the last one that may be refused still, or p.
func (s *service) lastLocked(p *Place, now time.Time) *Place {
	for _, o := range slices.Backward(s.waiting) {
		if o == p || o.state == waiting && !o.firm(now) {
			return o
		}
	}
	return p
}

// beginLocked notes that requests of a service wait.
func (q *Queue) beginLocked(s *service, now time.Time) {
	s.lastWaited = now
	if !s.began.IsZero() {
		return
	}
	s.began, s.taken, s.refused, s.longest = now, 0, 0, 0
	prior := s.meter.prior(s.capacity, 0, s.opensAt.Sub(now))
	rate, _ := s.meter.rate(now, s.capacity, 0, prior)
	q.Log.Info("admission: requests of a service wait for capacity.", "service", s.name, "cause", s.code, "per_second", rate, "per_second_by_slots", prior,
		"slots", s.capacity.Slots, "entries", s.capacity.Entries, "request_ms", s.meter.held.Milliseconds(), "measured_ms", s.meter.sums(now).short.Milliseconds(), "opens_in_ms", max(0, s.opensAt.Sub(now)).Milliseconds(), "full_endpoints", len(s.refusing))
}

// measureLocked adds the time since the last call to the measurement of the rate.
func (q *Queue) measureLocked(s *service, now time.Time) {
	if len(s.waiting) > 0 && now.After(s.measured) && s.opensAt.Sub(now) < restsFrom {
		s.meter.short(now, now.Sub(s.measured), s.capacity.Slots)
	}
	s.measured = now
}

// refuseLateLocked refuses the requests that would not be answered within their objectives.
func (q *Queue) refuseLateLocked(s *service, now time.Time, refuse func(*Place, Reason)) {
	ahead := 0
	for _, p := range slices.Clone(s.waiting) {
		if p.state == waiting && (s.hopeless(p, now) || !p.firm(now) && !q.inTimeLocked(s, p, ahead, now)) {
			refuse(p, TooLate)
			continue
		}
		ahead++
	}
}

// hopeless reports whether it is known, and not only predicted, that a request cannot be answered.
func (s *service) hopeless(p *Place, now time.Time) bool {
	from := now
	if s.opensAt.After(now) {
		from = s.opensAt
	}
	return from.Add(p.Takes).After(p.Deadline)
}

// inTimeLocked predicts whether a request with so many ahead of it is answered within its objective.
func (q *Queue) inTimeLocked(s *service, p *Place, ahead int, now time.Time) bool {
	opensIn := max(0, s.opensAt.Sub(now))
	n := float64(ahead + 1)
	wait := opensIn + time.Duration((n+deviations*math.Sqrt(n))/s.rateFor(&p.Request, now)*float64(time.Second))
	return now.Add(wait + p.Takes + p.objective()/marginDivisor).Before(p.ObjectiveAt)
}

// rateFor returns how many requests a second of this rank get capacity.
func (s *service) rateFor(r *Request, now time.Time) float64 {
	prior := s.meter.prior(s.capacity, r.Takes, s.opensAt.Sub(now))
	rate, moreUrgent := s.meter.rate(now, s.capacity, r.class(), prior)
	return max(rate-moreUrgent, minRateShare*rate, 1e-3)
}

// wakeLocked signals the first waiting request to look for capacity.
func (q *Queue) wakeLocked(s *service) {
	switch {
	case len(s.waiting) == 0:
	case s.trying != nil:
		s.again = true
	default:
		s.trying = s.waiting[0]
		s.trying.state = trying
		s.trying.signals <- Signal{Kind: Try}
	}
}

// missedLocked notes that the request which looked for capacity found none.
func (q *Queue) missedLocked(s *service, now time.Time, opensIn time.Duration) {
	s.trying = nil
	s.nextTry = now.Add(s.retryIn(now, opensIn))
	if s.again {
		s.again = false
		q.wakeLocked(s)
	}
}

// retryIn returns when to look for capacity without a sign that there is some.
func (s *service) retryIn(now time.Time, opensIn time.Duration) time.Duration {
	next := fullFor
	if opensIn > 0 {
		next = min(next, opensIn)
	}
	for _, e := range s.refusing {
		next = min(next, e.probeAt.Sub(now))
	}
	return max(next, interval)
}

// removeLocked removes a request from the queue.
func (q *Queue) removeLocked(s *service, p *Place) {
	if p.state == outside {
		return
	}
	p.state = outside
	if i := slices.Index(s.waiting, p); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		q.bytes -= p.Bytes
	}
	if s.trying == p {
		s.trying, s.again = nil, false
	}
}

// Took records that a request found capacity at an endpoint, and is sent there.
func (q *Queue) Took(p *Place, id fleet.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	s := q.serviceLocked(p.Service)
	q.measureLocked(s, now)
	if len(s.waiting) > 0 {
		s.meter.at(now).got++
	}
	if e := s.refusing[id]; e != nil {
		e.took(now)
	}
	if p.state == outside {
		return
	}
	s.taken++
	s.longest = max(s.longest, now.Sub(p.since))
	q.metrics.taken(now.Sub(p.since))
	q.removeLocked(s, p)
	q.wakeLocked(s)
}

// Leave removes a request that does not wait any longer: its caller left, it was handed to another entry,
// or it was refused.
func (q *Queue) Leave(p *Place) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p.state == outside {
		return
	}
	s := q.serviceLocked(p.Service)
	q.measureLocked(s, q.Clock.Now())
	wasTrying := p.state == trying
	q.removeLocked(s, p)
	q.metrics.left()
	if wasTrying {
		q.wakeLocked(s)
	}
}

// Refused records that an endpoint refused a request for want of capacity.
func (q *Queue) Refused(name string, id fleet.EndpointID) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	s := q.serviceLocked(name)
	s.sweepRefusing(now)
	if len(s.refusing) >= maxRefusing {
		s.forgetOldRefusals(now)
	}
	s.refusing[id] = &refuser{at: now, probeAt: now.Add(fullFor)}
	if len(s.waiting) > 0 {
		s.meter.at(now).got--
	}
}

// Ended records that an endpoint ended a request of this entry, which held its slot for the given time;
// 0: not known.
func (q *Queue) Ended(name string, id fleet.EndpointID, held time.Duration) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.serviceLocked(name)
	if held > 0 {
		s.meter.ended(held)
	}
	if e := s.refusing[id]; e != nil {
		e.ended(q.Clock.Now())
	}
	q.wakeLocked(s)
}

// HasFree records that an endpoint reports free slots.
func (q *Queue) HasFree(name string, id fleet.EndpointID, slots int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.serviceLocked(name)
	if e := s.refusing[id]; e != nil {
		e.free = max(e.free, slots)
	}
	q.wakeLocked(s)
}

// Full returns the endpoints of a service that are not known to have a free slot since they refused a
// request.
func (q *Queue) Full(name string) map[fleet.EndpointID]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[name]
	if s == nil || len(s.refusing) == 0 {
		return nil
	}
	now := q.Clock.Now()
	s.sweepRefusing(now)
	out := make(map[fleet.EndpointID]bool, len(s.refusing))
	for id, e := range s.refusing {
		if !e.open(now) {
			out[id] = true
		}
	}
	return out
}

// MeanTime returns how long a request of a service holds its capacity on average; 0: not known.
func (q *Queue) MeanTime(name string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[name]; s != nil {
		return s.meter.held
	}
	return 0
}

// RetryAfter returns when the caller of a request that is refused for want of capacity is to come back.
func (q *Queue) RetryAfter(r Request, opensIn time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	s := q.serviceLocked(r.Service)
	s.capacity = q.Capacity(r.Service)
	if len(s.waiting) == 0 {
		s.opensAt = now.Add(opensIn)
	}
	s.promises.expire(now)
	if s.promises.early(r.ID, now) {
		return max(s.promises.of(r.ID).Sub(now).Truncate(returnSpacing), minReturn)
	}
	s.promises.remove(r.ID)
	ahead, self := 0, &Place{Request: r, seq: q.seq + 1}
	for _, o := range s.waiting {
		if !o.before(self) {
			break
		}
		ahead++
	}
	after := s.promises.returnIn(&r, now, ahead, s.rateFor(&r, now), max(0, s.opensAt.Sub(now)))
	s.promises.add(promise{r.ID, r.class(), now.Add(after)})
	q.metrics.retryAfter.RecordDuration(after)
	return after
}

// startLocked starts the periodic check of waiting requests.
func (q *Queue) startLocked() {
	if !q.ticking {
		q.ticking = true
		q.Clock.AfterFunc(interval, q.tick)
	}
}

// tick checks the waiting requests, until none waits.
func (q *Queue) tick() {
	stopping := q.Stopping != nil && q.Stopping()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	total, active := 0, false
	for _, s := range q.services {
		q.checkLocked(s, now, stopping)
		total += len(s.waiting)
		active = active || !s.began.IsZero()
	}
	q.metrics.waiting.Update(float64(total))
	q.ticking = active
	if active {
		q.Clock.AfterFunc(interval, q.tick)
	}
}

func (q *Queue) checkLocked(s *service, now time.Time, stopping bool) {
	q.measureLocked(s, now)
	if len(s.waiting) == 0 {
		if !s.began.IsZero() && now.Sub(s.lastWaited) >= quietFor {
			q.Log.Info("admission: requests of a service no longer wait.", "service", s.name, "lasted_ms", now.Sub(s.began).Milliseconds(),
				"served", s.taken, "refused", s.refused, "longest_wait_ms", s.longest.Milliseconds())
			s.began = time.Time{}
		}
		return
	}
	s.lastWaited = now
	c := q.Capacity(s.name)
	changed := c.Version != s.capacity.Version
	s.capacity = c
	q.refuseLateLocked(s, now, func(p *Place, why Reason) {
		q.removeLocked(s, p)
		s.refused++
		q.metrics.refused(why)
		p.signals <- Signal{Kind: Refuse, Reason: why}
	})
	if stopping {
		for _, p := range s.waiting {
			if !p.told {
				p.told = true
				p.signals <- Signal{Kind: Stopping}
			}
		}
	}
	if changed || s.trying == nil && !now.Before(s.nextTry) {
		s.nextTry = now.Add(fullFor)
		q.wakeLocked(s)
	}
}
