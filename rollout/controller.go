package rollout

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/place"
)

// Times of recording.
const (
	// Interval is how often the controller looks whether something is to be
	// recorded.
	Interval = 200 * time.Millisecond
	// turn is how much longer each entry, by its place among the entries,
	// waits before it records what the one before should have: one call does
	// instead of one an entry.
	turn = 300 * time.Millisecond
	// mostTurns bounds the wait where there are many entries.
	mostTurns = 6
	// recordAgain is when a record that nothing was heard of is written again.
	recordAgain = time.Second
)

// defaultHaltWithin holds where operators name no bound.
const defaultHaltWithin = 5 * time.Second

func (d Deps) haltWithin() time.Duration {
	if d.HaltWithin <= 0 {
		return defaultHaltWithin
	}
	return d.HaltWithin
}

// Deps is what a controller needs.
type Deps struct {
	Instance string
	Boot     int64
	Store    kv.KV
	Decoder  fleet.Decoder
	View     func() *fleet.View
	// SessionLife is how long after its last request a session keeps its
	// version.
	SessionLife time.Duration
	// Exposure bounds the copies sent to a version on trial; zero: none are.
	Exposure Exposure
	// HaltWithin is how long after its proof a bad version may get requests;
	// 0: defaultHaltWithin.
	HaltWithin time.Duration
	Clock      clockwork.Clock
	Log        *slog.Logger
}

// Controller is one entry's part in all roll-outs. It is safe for concurrent
// use; its lock is never held across a call.
type Controller struct {
	Deps

	mu       sync.Mutex
	tracks   map[string]*track // by service
	usual    map[usualKey]*usual
	sessions *sessions
}

// track is what the entry knows of one order.
type track struct {
	ordered  kv.Revision
	learned  time.Time // when this entry learned of the order
	seen     time.Time // when the order was given, as far as known
	holding  bool      // half of the requests, until enough was seen
	halted   bool
	movedOn  time.Time // when it went past the first share
	doubted  time.Time // when there was last doubt before that
	lostTill time.Time // until when slowness says nothing: endpoints were lost
	evidence *evidence
	answers  int // of the service, since the order
	inOrder  *trialOrder
	copies   int                // sent to endpoints on trial
	wanted   fleet.RolloutState // what should be recorded
	wantedAt time.Time
	written  time.Time
}

// usualKey is what the usual time is known by: the model, as what is expected
// of each prompt is taken off, or for plain requests the route. By both, an
// entry with a few requests a second knew nothing usual for a quarter of a
// minute.
type usualKey struct {
	name string
	pace bool
}

// New returns a controller.
func New(d Deps) *Controller {
	return &Controller{Deps: d, tracks: map[string]*track{}, usual: map[usualKey]*usual{}, sessions: newSessions(d.SessionLife)}
}

// trackLocked returns the track of a group's order, a new one for a new order.
func (c *Controller) trackLocked(r *fleet.Rollout) *track {
	t := c.tracks[r.Service]
	if t == nil || t.ordered < r.Ordered {
		t = &track{ordered: r.Ordered, learned: c.Clock.Now(), seen: c.Clock.Now(), evidence: newEvidence()}
		c.tracks[r.Service] = t
	}
	return t
}

// Choice is which endpoints may get a request.
type Choice struct {
	// First are the endpoints of the version that the request falls to, Then
	// those that may take it when none of First can.
	First, Then []fleet.Endpoint
	// LastResort are those that lapsed and may be tried when neither can. A version
	// that gets no requests gets none of these either: an endpoint that is cut off from
	// the store answers its callers as badly as before.
	LastResort []fleet.Lapsed
}

// Request is what the choice of a version needs to know.
type Request struct {
	ID      string
	Session string
}

// Choose splits a group's endpoints for one request.
func (c *Controller) Choose(g *fleet.Group, q Request) Choice {
	r := g.Rollout
	if r == nil {
		return Choice{First: g.Ready, LastResort: g.Lapsed}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.trackLocked(r)
	older, newer := split(g.Ready, r.Target)
	if r.State != fleet.RolloutDone && (t.halted || r.State == fleet.RolloutRolledBack) {
		return Choice{First: older, LastResort: lapsedWithout(g.Lapsed, r.Target)}
	}
	choice := c.chooseLocked(g, t, q, older, newer)
	choice.LastResort = g.Lapsed
	return choice
}

// chooseLocked splits the ready endpoints while the version may get requests.
func (c *Controller) chooseLocked(g *fleet.Group, t *track, q Request, older, newer []fleet.Endpoint) Choice {
	r := g.Rollout
	switch {
	case r.State == fleet.RolloutDone:
		return Choice{First: newer, Then: older}
	case len(newer) == 0:
		return Choice{First: older}
	}
	share := c.shareLocked(t, r, len(older))
	if c.fallsToNewLocked(r, q, share) {
		return Choice{First: c.canaries(r, newer, len(older), share), Then: older}
	}
	if len(older) == 0 {
		return Choice{First: newer}
	}
	if !t.movedOn.IsZero() || t.holding {
		return Choice{First: older}
	}
	point := q.point(r.Target)
	return t.trialOrderLocked(g).choose(point >= share && point < 2*share)
}

// lapsedWithout returns the endpoints that are not of a version.
func lapsedWithout(all []fleet.Lapsed, version string) []fleet.Lapsed {
	var out []fleet.Lapsed
	for _, l := range all {
		if l.Version != version {
			out = append(out, l)
		}
	}
	return out
}

// shareLocked is the new version's share now. Once it has moved on it does not
// go back, short of a halt: sessions would go to and fro.
func (c *Controller) shareLocked(t *track, r *fleet.Rollout, older int) float64 {
	if !t.movedOn.IsZero() {
		return ShareAfter(c.Clock.Since(t.movedOn), r.Duration)
	}
	sum := t.evidence.totals()
	seen := sum.Samples
	age := c.Clock.Since(t.seen)
	doubt := t.evidence.doubt(c.decisionTimeLocked(t, r))
	if doubt {
		t.doubted = c.Clock.Now()
	}
	if t.late(r.Duration) && !MayMoveOnLate(age, r.Duration, seen, doubt) {
		return c.lateShareLocked(t, r, older, age)
	}
	if !MayMoveOn(age, r.Duration, seen, doubt) {
		return firstShare(older)
	}
	// Where the time alone is the reason, it counts from then, so that entries
	// with few requests are not behind the others.
	t.movedOn = c.Clock.Now()
	slower, _ := t.evidence.slower()
	latest := t.seen.Add(time.Duration(allBy * float64(r.Duration)))
	if latest.Before(t.movedOn) && t.doubted.Before(latest) {
		t.movedOn = latest
	}
	c.Log.Info("rollout: moving on from the first share.", "service", r.Service, "order", t.ordered, "seen", seen,
		"failed", sum.Failed, "slow", sum.Slow, "slow_statistic", t.evidence.at(allRoutes).slow, "slower_by", slower.by, "age_ms", age.Milliseconds())
	return ShareAfter(c.Clock.Since(t.movedOn), r.Duration)
}

// late reports whether the entry learned of the order when it had been under
// way for long, as one does that was started since.
func (t *track) late(whole time.Duration) bool {
	return progress(t.learned.Sub(t.seen), whole) >= lateFrom
}

// lateShareLocked is the share of an entry that learned of the order late and
// has seen too little of the version since. Were it to send all requests to
// the new version because the time has come, no answer of the old one would
// ever tell it what is usual, and a slow version looked well. It does not go
// back from half: sessions would go to and fro.
func (c *Controller) lateShareLocked(t *track, r *fleet.Rollout, older int, age time.Duration) float64 {
	if progress(age, r.Duration) >= allBy && !t.holding {
		t.holding = true
		c.Log.Info("rollout: learned of the order late; half of the requests until enough was seen.", "service", r.Service, "order", t.ordered,
			"age_ms", age.Milliseconds(), "learned_ago_ms", c.Clock.Since(t.learned).Milliseconds())
	}
	if t.holding {
		return halfShare
	}
	return firstShare(older)
}

// fallsToNewLocked decides by a hash that only grows with the share, so that
// nothing goes back and forth.
func (c *Controller) fallsToNewLocked(r *fleet.Rollout, q Request, share float64) bool {
	if q.point(r.Target) >= share {
		return false
	}
	return q.Session == "" || share > smallShare || !c.sessions.underWay(sessionHash(q.Session), c.Clock.Now())
}

// point is where the request stands among all, in [0, 1): those below a share
// are moved with it. All of a session stand at the same.
func (q Request) point(target string) float64 {
	if q.Session == "" {
		return fraction(place.Hash(target, q.ID))
	}
	return sessionShare(sessionHash(q.Session))
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// aliveBits are the bits of the endpoints of the version that is brought in.
func aliveBits(g *fleet.Group) uint64 {
	var alive uint64
	for _, ep := range g.Ready {
		if ep.Version == g.Rollout.Target {
			alive |= endpointBit(ep.ID)
		}
	}
	return alive
}

func split(all []fleet.Endpoint, target string) (older, newer []fleet.Endpoint) {
	for _, ep := range all {
		if ep.Version == target {
			newer = append(newer, ep)
		} else {
			older = append(older, ep)
		}
	}
	return older, newer
}

// canaries are the few new endpoints that a small share goes to: as many as
// that share would keep as busy as the old ones are, but not one alone.
// Those on trial are left out while there are enough others.
func (c *Controller) canaries(r *fleet.Rollout, newer []fleet.Endpoint, older int, share float64) []fleet.Endpoint {
	n := firstEndpoints(older, share)
	if n >= len(newer) {
		return newer
	}
	sorted := inTrialOrder(newer, r.Ordered)
	if onTrial := len(trialRoutes); onTrial+n <= len(sorted) && c.Exposure != (Exposure{}) {
		sorted = sorted[onTrial:]
	}
	return sorted[:n]
}

// Keep notes that a session's request went to an endpoint, if it is one that a
// roll-out would move first and is not on its version.
func (c *Controller) Keep(session string, g *fleet.Group, version string) {
	if session == "" || g.Rollout != nil && !final(g.Rollout.State) && version == g.Rollout.Target {
		return
	}
	hash := sessionHash(session)
	if sessionShare(hash) >= firstShare(len(g.Ready)/2) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions.note(hash, c.Clock.Now())
}

// Answer is how an endpoint answered, as the controller counts it.
type Answer struct {
	Group    *fleet.Group
	Endpoint fleet.Endpoint
	Route    string
	Model    string
	Failed   bool // the endpoint answered that it failed
	// Took is the time to the first event; 0: there was none.
	Took time.Duration
	// Expected is the time to the first event that its prompt should take, 0:
	// it has none; Wait how long it had to wait for others, as far as known.
	Expected time.Duration
	Wait     time.Duration
	// Pace: Took is the mean pause between the events of a stream instead. It
	// varies less than first events do, and shows a slow version sooner.
	Pace bool
	// ShortPause is the second shortest of these pauses, 0: not known.
	ShortPause time.Duration
}

// afterLoss is how long after an endpoint was lost the others, which take over
// its requests, may be slow through no fault of the version.
const afterLoss = 4 * time.Second

// Lost notes that an endpoint of a group accepts no connections. It counts if it
// is of the version that is brought in.
func (c *Controller) Lost(g *fleet.Group, ep fleet.Endpoint) {
	if g.Rollout == nil || ep.Version != g.Rollout.Target {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trackLocked(g.Rollout).lostTill = c.Clock.Now().Add(afterLoss)
}

// evidenceRoute is what the answer is counted under. The pace of streams is
// evidence of its own, over all routes: a version may be slow in that only, and
// among first events that are in time it would not show.
func (a Answer) evidenceRoute() string {
	if a.Pace {
		return "(pace)"
	}
	return a.Route
}

// plain reports whether a plain service gave the answer: how long one takes goes by no
// prompt.
func (a Answer) plain() bool { return a.Model == "" && a.Expected == 0 && !a.Pace }

// net is the time without what it waited for others. What is known of that
// grows with each request that a slow version keeps waiting, so that half of
// the time counts in any case.
func (a Answer) net() time.Duration { return a.Took - min(a.Wait, a.Took/2) }

// Observe counts an answer: as evidence where its version is being brought
// in, as the usual time elsewhere. It reports whether it counted as usual.
func (c *Controller) Observe(a Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := usualKey{a.Model, a.Pace}
	if a.Model == "" {
		key.name = a.Route
	}
	u := c.usual[key]
	if u == nil {
		u = &usual{}
		c.usual[key] = u
	}
	r := a.Group.Rollout
	if r == nil || a.Endpoint.Version != r.Target || r.State == fleet.RolloutDone {
		if r != nil && !final(r.State) {
			c.observeOldLocked(u, a)
		}
		if a.Took > 0 && !a.Failed {
			u.add(a.net(), a.Expected)
		}
		return true
	}
	t := c.trackLocked(r)
	if t.ordered != r.Ordered {
		return false
	}
	if !a.Pace {
		t.answers++
	}
	c.compareLocked(t, u, a)
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: r.Service, Ordered: r.Ordered, Route: a.evidenceRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Seen |= endpointBit(a.Endpoint.ID)
	switch {
	case a.Failed:
		counts.Failed++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	case c.Clock.Now().Before(t.lostTill):
		return false // slow or not, it says little now
	case a.Pace && !u.known():
		return false // it would count as well, whatever it is
	case u.slow(a, !t.movedOn.IsZero()):
		counts.Slow++
		counts.Bad |= endpointBit(a.Endpoint.ID)
	}
	t.evidence.take(src, counts, c.Clock.Now())
	c.judgeLocked(a.Group, t)
	return false
}

// observeOldLocked counts an answer of the version that is to be replaced.
func (c *Controller) observeOldLocked(u *usual, a Answer) {
	t := c.trackLocked(a.Group.Rollout)
	if t.ordered != a.Group.Rollout.Ordered {
		return
	}
	if !a.Pace {
		t.answers++
		c.countOldLocked(t, u, a)
	}
	c.compareLocked(t, u, a)
}

// countOldLocked counts whether an answer of the old version failed or was slow, as what
// the new one's are judged against.
func (c *Controller) countOldLocked(t *track, u *usual, a Answer) {
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered, Route: a.oldRoute()}
	counts := t.evidence.rows[src]
	counts.Samples++
	switch {
	case a.Failed:
		counts.Failed++
	case u.slow(a, false):
		counts.Slow++
	}
	t.evidence.take(src, counts, c.Clock.Now())
}

func (c *Controller) judgeLocked(g *fleet.Group, t *track) {
	service := g.Rollout.Service
	if t.halted {
		return
	}
	route, bad := t.evidence.bad(aliveBits(g), c.Clock.Now())
	slower, _ := t.evidence.slower()
	if !bad {
		route, bad = c.slowBesideOldLocked(g, t)
	}
	if !bad {
		return
	}
	t.halted = true
	sum, on := t.evidence.totals(), t.evidence.at(route)
	c.Log.Warn("rollout: version answers badly; halting it.", "service", service, "order", t.ordered, "route", route,
		"samples", sum.Samples, "failed", sum.Failed, "slow", sum.Slow, "failed_statistic", on.failed, "slow_statistic", on.slow, "slower_by", slower.by,
		"age_ms", c.Clock.Since(t.seen).Milliseconds())
}

// slowBesideOldLocked reports whether the version is slow beside the old one, and on which
// route.
func (c *Controller) slowBesideOldLocked(g *fleet.Group, t *track) (route string, slow bool) {
	if !t.movedOn.IsZero() {
		return "", false // nothing is left to compare with
	}
	if t.evidence.tooSlow(c.decisionTimeLocked(t, g.Rollout)) {
		return "(compared)", true
	}
	return t.evidence.slowOnPlain(aliveBits(g))
}

// State is a roll-out's row in the state dump.
type State struct {
	Service string `json:"service"`
	Order   int64  `json:"order"`
	AgeMS   int64  `json:"age_ms"`
	Halted  bool   `json:"halted"`
	Samples int64  `json:"samples"`
	Failed  int64  `json:"failed"`
	Slow    int64  `json:"slow"`
}

// State returns the current dump.
func (c *Controller) State() []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]State, 0, len(c.tracks))
	for s, t := range c.tracks {
		sum := t.evidence.totals()
		out = append(out, State{Service: s, Order: int64(t.ordered), AgeMS: c.Clock.Since(t.seen).Milliseconds(), Halted: t.halted,
			Samples: sum.Samples, Failed: sum.Failed, Slow: sum.Slow})
	}
	return out
}
