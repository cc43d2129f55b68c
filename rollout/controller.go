package rollout

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
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
	strata   map[string]*strata // by service
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
// entry with few requests would know nothing usual for long.
type usualKey struct {
	name string
	pace bool
}

// New returns a controller.
func New(d Deps) *Controller {
	return &Controller{Deps: d, tracks: map[string]*track{}, usual: map[usualKey]*usual{}, sessions: newSessions(d.SessionLife), strata: map[string]*strata{}}
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

// State is a roll-out's row in the state dump.
type State struct {
	Service string `json:"service"`
	Order   int64  `json:"order"`
	AgeMS   int64  `json:"age_ms"`
	Halted  bool   `json:"halted"`
	Samples int64  `json:"samples"`
	Failed  int64  `json:"failed"`
	Slow    int64  `json:"slow"`
	// Withdrawn are the versions that get no requests.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// State returns the current dump.
func (c *Controller) State() []State {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]State, 0, len(c.tracks))
	for s, t := range c.tracks {
		sum := t.evidence.totals()
		row := State{Service: s, Order: int64(t.ordered), AgeMS: c.Clock.Since(t.seen).Milliseconds(), Halted: t.halted,
			Samples: sum.Samples, Failed: sum.Failed, Slow: sum.Slow}
		if g := v.Group(s); g != nil {
			row.Withdrawn = g.Withdrawn.Versions
		}
		out = append(out, row)
	}
	return out
}
