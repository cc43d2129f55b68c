package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/upstream"
)

// Silence of an endpoint. An engine may well say nothing for seconds while it
// reads the long prompts of others, so silence alone proves nothing; but then
// it still accepts a connection. One that is dead or cut off does not, and its
// requests are better off elsewhere than waiting for their deadlines.
const (
	// silentAfter is how long nothing may come from an endpoint, on any of
	// this entry's connections, before its reachability is checked.
	silentAfter = 800 * time.Millisecond
	// silentInCutDomain is enough where the endpoint's whole failure domain
	// seems to be cut off.
	silentInCutDomain = 400 * time.Millisecond
	// checkAgain is when one that was reachable is checked again.
	checkAgain = time.Second
	// watchEvery is how often a waiting request looks.
	watchEvery = 300 * time.Millisecond
	// lostGaps pauses of the longest that is on time, without an event, mean
	// that the endpoint has lost the stream, though it answers others.
	lostGaps = 2.5
	// An answer may be lost with its connection silent, and the endpoint well.
	// A stream that has no first event after several times what it should
	// take, by the work outstanding there and its own prompt, is sent to
	// another endpoint. What is expected knows nothing of entries that are cut
	// off and little of a new endpoint, hence the factor, the slack, and at the
	// least half of the objective, which leaves the other half.
	startFactor = 4
	startSlack  = 500 * time.Millisecond
	startLeast  = 0.5
)

// watchdog ends a call whose endpoint is silent for too long. Its lock is taken
// before the budget's.
type watchdog struct {
	server   *Server
	cancel   context.CancelFunc
	limits   watchLimits
	endpoint fleet.Endpoint

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
	begun   time.Time
	last    time.Time // when the last event came; zero: none has
	reason  string    // why the call was ended
	paid    bool      // the repeat that the end calls for was taken from the budget
	// pay takes a repeat from the budget.
	pay func() bool
}

// watchLimits are how long a call may go without an answer; zero: for as
// long as the request may take.
type watchLimits struct {
	answer time.Duration // until the whole answer
	first  time.Duration // until the first event
	gap    time.Duration // between events
	// reachable: the call ends when its endpoint turns out to be unreachable.
	reachable bool
}

// limits for the next attempt of a request.
func (x *exchange) limits(id fleet.EndpointID) watchLimits {
	if !x.route.MayRepeat() || x.runs+1 >= x.route.MaxAttempts {
		return watchLimits{}
	}
	if x.route.Kind != fleet.Streaming {
		return watchLimits{answer: min(3*x.route.Objective, x.left()*2/3)}
	}
	l := watchLimits{reachable: true, gap: time.Duration(lostGaps * float64(x.route.MaxGap))}
	expected := x.server.Board.Standing(id).Wait + x.server.Rates.First(x.modelName(), x.facts.Usage.Prompt)
	l.first = max(time.Duration(startLeast*float64(x.route.Objective)), startFactor*expected+startSlack)
	return l
}

// watch starts a watchdog over a call.
func (x *exchange) watch(c *sent, cancel context.CancelFunc) *watchdog {
	w := &watchdog{server: x.server, cancel: cancel, limits: x.limits(c.endpoint.ID), endpoint: c.endpoint, begun: x.server.Clock.Now()}
	w.pay = func() bool { return x.server.Budget.Take(x.target(), retry.ForFailure) }
	if w.limits == (watchLimits{}) {
		w.stopped = true
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = w.server.Clock.AfterFunc(w.every(), w.look)
	return w
}

func (w *watchdog) every() time.Duration {
	if w.limits.answer > 0 {
		return w.limits.answer
	}
	return watchEvery
}

// heard notes an event.
func (w *watchdog) heard() {
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		w.timer.Stop()
	}
}

// why is the reason for which the call was ended; empty: it was not.
func (w *watchdog) why() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}

func (w *watchdog) look() {
	unreachable := w.limits.reachable && w.server.unreachable(w.endpoint, w.begun)
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	reason := w.limits.exceeded(now.Sub(w.begun), w.sinceLastLocked(now), unreachable)
	if reason == "" || !w.mayEndLocked(unreachable) {
		w.timer = w.server.Clock.AfterFunc(w.every(), w.look)
		return
	}
	w.reason = reason
	w.stopped = true
	w.cancel()
}

// mayEndLocked reports whether a call that has passed a limit may be ended. One
// whose endpoint cannot be reached is lost; any other may still be answered,
// and ending it helps only if it can be sent elsewhere. When half of
// the endpoints had crashed the others were late with everything, the budget of
// repeats was used up, and in ten seconds 1,100 requests were taken from
// endpoints that were about to answer, to fail.
func (w *watchdog) mayEndLocked(unreachable bool) bool {
	if w.limits.reachable && unreachable {
		return true
	}
	w.paid = w.pay()
	return w.paid
}

// paidFor reports whether the repeat that the call's end calls for was taken
// from the budget.
func (w *watchdog) paidFor() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paid
}

// sinceLastLocked is the time since the last event; negative: none has come.
func (w *watchdog) sinceLastLocked(now time.Time) time.Duration {
	if w.last.IsZero() {
		return -1
	}
	return now.Sub(w.last)
}

// exceeded says which limit a call has passed; empty: none.
func (l watchLimits) exceeded(waited, sinceLast time.Duration, unreachable bool) string {
	switch {
	case l.answer > 0 && waited >= l.answer:
		return "no answer in time"
	case l.reachable && unreachable:
		return "endpoint is silent and unreachable"
	case l.first > 0 && sinceLast < 0 && waited > l.first:
		return "no first event in time"
	case l.gap > 0 && sinceLast > l.gap:
		return "no further event in time"
	}
	return ""
}

// unreachable reports whether an endpoint has been silent and no longer
// accepts connections. At most one request at a time checks an endpoint.
func (s *Server) unreachable(ep fleet.Endpoint, begun time.Time) bool {
	id := ep.ID
	if s.Board.LostSince(id, begun) {
		return true // another request found out
	}
	silent := s.Board.Standing(id).Silent
	if s.Board.DomainAway(ep.Domain) && silent > silentInCutDomain {
		return true
	}
	if silent < silentAfter || !s.Board.MayCheck(id, checkAgain) {
		return false
	}
	if err := upstream.Check(ep.Address); err != nil {
		s.Log.Warn("ingress: endpoint is silent and does not accept a connection.", "endpoint", id, "silent_ms", silent.Milliseconds(), "error", err)
		s.Board.Unreachable(ep)
		return true
	}
	return false
}
