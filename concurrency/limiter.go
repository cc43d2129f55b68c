package concurrency

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
)

const (
	// brittleTTL is how long a service is taken to be brittle after an endpoint last said so.
	brittleTTL = 10 * time.Second
	// askTimeout bounds a question to an owner.
	askTimeout = 250 * time.Millisecond
	// deniedDelay is how long an endpoint is not asked for again after there was no permit, at most
	// as much again at random.
	deniedDelay = 20 * time.Millisecond
	// unansweredDelay is how long an endpoint is not used after its owner gave no answer.
	unansweredDelay = 200 * time.Millisecond
	// unanswered questions in a row after which another entry stands in for an owner, for silentFor.
	unansweredToSkip = 2
	silentFor        = 3 * time.Second
	// updateDelay is how long the end of a request may wait, so that several are told at once.
	updateDelay = 3 * time.Millisecond
	// renewInterval is how often an entry tells owners of the permits that it has.
	renewInterval = time.Second
	// defaultSlots is assumed where an endpoint does not report its slots.
	defaultSlots = 8
)

// Ask asks the owner of a brittle endpoint for a permit, or tells it of those in use.
type Ask struct {
	Entry    string // the asking entry
	Endpoint uint32 // short id
	Domain   string // failure domain of the endpoint
	Service  string
	Brittle  int // requests a second that the endpoint can turn away
	Slots    int
	InUse    int  // the entry's other requests there
	Update   bool // no permit is asked for
	Refused  int  // requests that the endpoint turned away since the last message
	// Boot and Sequence order an entry's messages on an endpoint.
	Boot, Sequence uint64
}

// Verdict is an owner's answer.
type Verdict struct {
	Granted bool
	Wait    time.Duration // if not granted, until the entry may ask again
}

// Owners asks other entries as owners of endpoints.
type Owners interface {
	TakePermit(ctx context.Context, owner fleet.Entry, ask Ask) (Verdict, error)
}

// Deps are the dependencies of a Limiter.
type Deps struct {
	Instance string
	Entries  func() []fleet.Entry // all known entries, including this one
	// Owners asks other entries; nil: this entry owns all endpoints.
	Owners Owners
	Clock  clockwork.Clock
	Log    *slog.Logger
	Scope  tally.Scope // nil: no metrics
}

// Limiter bounds the requests at brittle endpoints. It is safe for concurrent use; its lock is never
// held across a network call.
type Limiter struct {
	Deps
	// brittleCount is the length of brittle, so that lookups skip the lock while there is none.
	brittleCount atomic.Int32
	wake         chan struct{}
	boot         uint64

	mu        sync.Mutex
	brittle   map[string]brittleService
	endpoints map[uint32]*endpoint // permits of this entry, by short id
	owned     map[uint32]*ledger   // endpoints that other entries or this one take for owned by this one
	silent    map[string]silence   // owners that do not answer, by instance
}

type brittleService struct {
	limit  int
	saidAt time.Time
}

// endpoint is what this entry knows of a brittle endpoint.
type endpoint struct {
	ep       fleet.Endpoint
	taken    int // permits that this entry has or asks for
	refused  int // not told to the owner yet
	changed  bool
	opensAt  time.Time
	sequence uint64 // of the last message to the owner
}

// silence counts the questions in a row to which an entry gave no answer.
type silence struct {
	count int
	until time.Time // it is not asked before
}

// New returns a Limiter. Run must run for owners to be told of ended requests.
func New(d Deps) *Limiter {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Limiter{Deps: d, wake: make(chan struct{}, 1), boot: rand.Uint64(), brittle: map[string]brittleService{}, endpoints: map[uint32]*endpoint{}, owned: map[uint32]*ledger{}, silent: map[string]silence{}}
}

// Observe records what an endpoint's answer says of its service: how many requests a second it can
// turn away; 0: any number.
func (l *Limiter) Observe(service string, limit int) {
	if limit <= 0 && l.brittleCount.Load() == 0 {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeLocked(service, limit, now)
}

func (l *Limiter) observeLocked(service string, limit int, at time.Time) {
	was, known := l.brittle[service]
	if known && at.Before(was.saidAt) {
		return
	}
	if limit <= 0 {
		delete(l.brittle, service)
	} else {
		l.brittle[service] = brittleService{limit, at}
	}
	l.brittleCount.Store(int32(len(l.brittle)))
	if known != (limit > 0) {
		l.Log.Info("concurrency: a service's endpoints are brittle or no longer so.", "service", service, "limit", limit)
	}
}

// Brittle is a brittle service, as told to other entries.
type Brittle struct {
	Service string
	Limit   int
	Age     time.Duration // since an endpoint last said so
}

// Brittle returns the services known to be brittle.
func (l *Limiter) Brittle() []Brittle {
	if l.brittleCount.Load() == 0 {
		return nil
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Brittle
	for name, b := range l.brittle {
		if age := now.Sub(b.saidAt); age <= brittleTTL {
			out = append(out, Brittle{name, b.limit, age})
		}
	}
	return out
}

// Merge applies what another entry knows of brittle services.
func (l *Limiter) Merge(brittle []Brittle) {
	if len(brittle) == 0 {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range brittle {
		if b.Limit > 0 && b.Age <= brittleTTL {
			l.observeLocked(b.Service, b.Limit, now.Add(-max(0, b.Age)))
		}
	}
}

// limitLocked returns how many requests a second a service's endpoints can turn away; 0: any number.
func (l *Limiter) limitLocked(service string, now time.Time) int {
	b, ok := l.brittle[service]
	if !ok {
		return 0
	}
	if now.Sub(b.saidAt) > brittleTTL {
		delete(l.brittle, service)
		l.brittleCount.Store(int32(len(l.brittle)))
		return 0
	}
	return b.limit
}

// Any reports whether any service may be brittle.
func (l *Limiter) Any() bool { return l.brittleCount.Load() > 0 }

// Wait returns how long until a permit at an endpoint may be asked for; 0: now.
func (l *Limiter) Wait(ep fleet.Endpoint) time.Duration {
	if l.brittleCount.Load() == 0 {
		return 0
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[uint32(ep.Hash())]
	if e == nil || l.limitLocked(ep.Service, now) == 0 {
		return 0
	}
	return max(0, e.opensAt.Sub(now))
}

// Permit is a permit for one request at an endpoint. A nil Permit needs no release.
type Permit struct {
	limiter  *Limiter
	endpoint *endpoint
	once     sync.Once
}

// Release gives the permit back; refused reports whether the endpoint turned the request away for want
// of room. Further calls do nothing.
func (p *Permit) Release(refused bool) {
	if p == nil {
		return
	}
	p.once.Do(func() { p.limiter.release(p.endpoint, refused) })
}

// Take takes a permit for one request at an endpoint, and reports whether there was one. It always
// succeeds where the endpoint is not brittle, with a permit that need not be released.
func (l *Limiter) Take(ctx context.Context, ep fleet.Endpoint) (*Permit, bool) {
	if l.brittleCount.Load() == 0 {
		return nil, true
	}
	now := l.Clock.Now()
	l.mu.Lock()
	limit := l.limitLocked(ep.Service, now)
	if limit == 0 {
		l.mu.Unlock()
		return nil, true
	}
	e := l.endpointLocked(ep)
	if now.Before(e.opensAt) {
		l.mu.Unlock()
		return nil, false
	}
	owner := l.ownerLocked(ep, now)
	ask := l.askLocked(e, limit)
	e.taken++
	l.mu.Unlock()

	v, err := l.ask(ctx, owner, ask)
	return l.settle(ctx, e, owner, ask, v, err)
}

func (l *Limiter) endpointLocked(ep fleet.Endpoint) *endpoint {
	short := uint32(ep.Hash())
	e := l.endpoints[short]
	if e == nil {
		e = &endpoint{}
		l.endpoints[short] = e
	}
	e.ep = ep
	return e
}

// askLocked returns the message for an endpoint's owner, with what it was not told yet.
func (l *Limiter) askLocked(e *endpoint, limit int) Ask {
	slots := e.ep.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	ask := Ask{Entry: l.Instance, Endpoint: uint32(e.ep.Hash()), Domain: e.ep.Domain, Service: e.ep.Service, Brittle: limit, Slots: slots, InUse: e.taken, Refused: e.refused,
		Boot: l.boot, Sequence: e.sequence + 1}
	e.sequence++
	e.refused, e.changed = 0, false
	return ask
}

func (l *Limiter) ask(ctx context.Context, owner fleet.Entry, ask Ask) (Verdict, error) {
	if owner.Instance == l.Instance {
		return l.Grant(ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.Owners.TakePermit(ctx, owner, ask)
}

// settle applies an owner's answer to a question for a permit.
func (l *Limiter) settle(ctx context.Context, e *endpoint, owner fleet.Entry, ask Ask, v Verdict, err error) (*Permit, bool) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && v.Granted {
		delete(l.silent, owner.Instance)
		l.Scope.Counter("granted").Inc(1)
		return &Permit{limiter: l, endpoint: e}, true
	}
	e.taken--
	if err == nil {
		delete(l.silent, owner.Instance)
		e.opensAt = now.Add(v.Wait)
		if e.taken != ask.InUse {
			l.changedLocked(e) // some of those that were asked for at the same time were denied too
		}
		l.Scope.Counter("denied").Inc(1)
		return nil, false
	}
	l.changedLocked(e) // the owner may have counted it
	if ctx.Err() == nil {
		l.unansweredLocked(owner, now, err)
		e.opensAt = now.Add(unansweredDelay)
	}
	return nil, false
}

func (l *Limiter) unansweredLocked(owner fleet.Entry, now time.Time, err error) {
	s := l.silent[owner.Instance]
	if s.count++; s.count >= unansweredToSkip {
		s.until = now.Add(silentFor)
	}
	l.silent[owner.Instance] = s
	l.Scope.Counter("owner_unanswered").Inc(1)
	l.Log.Warn("concurrency: owner of an endpoint does not answer.", "owner", owner.Instance, "error", err)
}

// ownerLocked returns the owner of an endpoint: the first in rendezvous order of the entries of its
// failure domain, or of all if it has none or the fleet is small, that answer this entry.
func (l *Limiter) ownerLocked(ep fleet.Endpoint, now time.Time) fleet.Entry {
	if l.Owners == nil {
		return fleet.Entry{Instance: l.Instance}
	}
	return rendezvous(l.Entries(), uint32(ep.Hash()), ep.Domain, func(e fleet.Entry) bool {
		return e.Instance == l.Instance || !now.Before(l.silent[e.Instance].until)
	}, l.Instance)
}

func (l *Limiter) release(e *endpoint, refused bool) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.taken--
	if refused {
		e.refused++
		e.opensAt = now.Add(refusedDelay)
	}
	l.changedLocked(e)
}

func (l *Limiter) changedLocked(e *endpoint) {
	e.changed = true
	select {
	case l.wake <- struct{}{}:
	default: // Run is to look already
	}
}

// Run tells owners which permits are no longer used, and renews the others, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	renew := l.Clock.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		all := false
		select {
		case <-l.wake:
			select {
			case <-l.Clock.After(updateDelay):
			case <-ctx.Done():
				return
			}
		case <-renew.Chan():
			all = true
		case <-ctx.Done():
			return
		}
		l.update(ctx, all)
	}
}

// update tells the owners of endpoints the permits in use there, of all endpoints with any or of those
// where that has changed.
func (l *Limiter) update(ctx context.Context, all bool) {
	type message struct {
		owner fleet.Entry
		ask   Ask
	}
	now := l.Clock.Now()
	var out []message
	l.mu.Lock()
	for short, e := range l.endpoints {
		limit := l.limitLocked(e.ep.Service, now)
		if limit == 0 && e.taken == 0 {
			delete(l.endpoints, short)
			continue
		}
		if e.changed || all && e.taken > 0 {
			ask := l.askLocked(e, limit)
			ask.Update = true
			out = append(out, message{l.ownerLocked(e.ep, now), ask})
		}
	}
	l.mu.Unlock()
	for _, m := range out {
		go func() {
			if _, err := l.ask(ctx, m.owner, m.ask); err != nil && ctx.Err() == nil {
				l.Log.Debug("concurrency: owner was not told of permits in use.", "owner", m.owner.Instance, "error", err)
			}
		}()
	}
}

// rendezvous returns the entry with the highest rank for an endpoint among those that may be chosen,
// or self.
func rendezvous(entries []fleet.Entry, short uint32, domain string, may func(fleet.Entry) bool, self string) fleet.Entry {
	near := false
	if len(entries) > maxEntriesSharing {
		for _, e := range entries {
			near = near || e.Domain == domain
		}
	}
	best := fleet.Entry{Instance: self}
	var highest uint64
	for _, e := range entries {
		if near && e.Domain != domain || !may(e) {
			continue
		}
		if rank := place.Mix(uint64(short) ^ place.Hash(e.Instance)); rank >= highest {
			best, highest = e, rank
		}
	}
	return best
}

// maxEntriesSharing is the fleet size up to which any entry may own any endpoint.
const maxEntriesSharing = 16

// spread returns a delay between d and twice as much.
func spread(d time.Duration) time.Duration { return d + time.Duration(rand.Int64N(int64(d))) }
