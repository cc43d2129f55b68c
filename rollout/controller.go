package rollout

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

const (
	// Interval is how often the controller checks whether a state is due to be recorded.
	Interval = 200 * time.Millisecond
	// recordStagger is the additional delay per position in the list of entries before an
	// entry records a state. Usually only the first entry has to call the store.
	recordStagger = 300 * time.Millisecond
	// maxStaggerSteps bounds the delay if there are many entries.
	maxStaggerSteps = 6
	// recordRetryInterval is when a write without a visible result is repeated.
	recordRetryInterval = time.Second
)

// defaultHaltWithin applies if operators set no bound.
const defaultHaltWithin = 5 * time.Second

func (d Deps) haltWithin() time.Duration {
	if d.HaltWithin <= 0 {
		return defaultHaltWithin
	}
	return d.HaltWithin
}

// Deps holds the dependencies of a controller.
type Deps struct {
	Instance string
	Boot     int64
	Store    kv.KV
	Decoder  fleet.Decoder
	View     func() *fleet.View
	// SessionLife is how long a session keeps its version after its last request.
	SessionLife time.Duration
	// Exposure bounds the request copies sent for the trial under load; zero: none are
	// sent.
	Exposure Exposure
	// HaltWithin is how long a bad version may get requests after it is proven bad; 0:
	// defaultHaltWithin.
	HaltWithin time.Duration
	Clock      clockwork.Clock
	Log        *slog.Logger
}

// Controller handles all roll-outs for one entry. It is safe for concurrent use; its lock
// is never held across a call to another process.
type Controller struct {
	Deps

	mu       sync.Mutex
	trackers map[string]*tracker // by service
	baseline map[baselineKey]*baseline
	sessions *sessions
	strata   map[string]*strata // by service
	lost     map[string]lostRecord
	// otherFactors are the factors of endpoints of versions that are not being rolled out, by service.
	otherFactors map[string]*reportedFactors
}

// tracker holds what the entry knows of one order.
type tracker struct {
	ordered         kv.Revision
	first           kv.Revision // as in fleet.Rollout
	learnedAt       time.Time   // when this entry learned of the order
	orderedAt       time.Time   // when the order was given, as far as known here
	holdingHalf     bool        // half of the requests until enough answers are seen
	halted          bool
	promotedAt      time.Time // when the share was raised above the canary share
	lastDoubtAt     time.Time // when the evidence was last in doubt before that
	ignoreSlowUntil time.Time // slow answers are not counted until then: endpoints were lost
	evidence        *evidence
	answers         int // of the service since the order
	endpoints       *endpointOrder
	copies          int                // sent to endpoints under trial
	dueState        fleet.RolloutState // state to record
	dueSince        time.Time
	writtenAt       time.Time
}

// baselineKey identifies a latency baseline: the model, as each prompt's expected time is
// accounted for separately, or the route for plain services. Keyed by both, an entry with
// few requests would have no baseline for a long time.
type baselineKey struct {
	name string
	pace bool
}

// New returns a controller.
func New(d Deps) *Controller {
	return &Controller{Deps: d, trackers: map[string]*tracker{}, baseline: map[baselineKey]*baseline{}, sessions: newSessions(d.SessionLife), strata: map[string]*strata{}, lost: map[string]lostRecord{}, otherFactors: map[string]*reportedFactors{}}
}

// trackerLocked returns the tracker of a group's order and creates one for a new order.
func (c *Controller) trackerLocked(r *fleet.Rollout) *tracker {
	t := c.trackers[r.Service]
	switch {
	case t == nil || t.ordered < r.Ordered && t.first != r.First:
		t = &tracker{ordered: r.Ordered, first: r.First, learnedAt: c.Clock.Now(), orderedAt: c.Clock.Now(), evidence: newEvidence()}
		c.trackers[r.Service] = t
	case t.ordered < r.Ordered:
		t.rebase(r.Ordered)
	}
	// A final state outlives its record, which the store may lose.
	t.halted = t.halted || t.ordered == r.Ordered && r.State == fleet.RolloutRolledBack
	return t
}

// rebase gives an order the revision that it has in a new era of the store.
func (t *tracker) rebase(ordered kv.Revision) {
	t.ordered = ordered
	t.evidence.rebase(ordered)
}

// State is one roll-out in the state dump.
type State struct {
	Service string `json:"service"`
	Order   int64  `json:"order"`
	AgeMS   int64  `json:"age_ms"`
	Halted  bool   `json:"halted"`
	Samples int64  `json:"samples"`
	Failed  int64  `json:"failed"`
	Slow    int64  `json:"slow"`
	// Withdrawn lists the versions that get no requests.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// State returns the roll-outs for the state dump.
func (c *Controller) State() []State {
	v := c.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]State, 0, len(c.trackers))
	for s, t := range c.trackers {
		sum := t.evidence.totals()
		row := State{Service: s, Order: t.ordered.Number(), AgeMS: c.Clock.Since(t.orderedAt).Milliseconds(), Halted: t.halted,
			Samples: sum.Samples, Failed: sum.Failed, Slow: sum.Slow}
		if g := v.Group(s); g != nil {
			row.Withdrawn = g.Withdrawn.Versions
		}
		out = append(out, row)
	}
	return out
}
