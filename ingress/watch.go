package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/retry"
)

// Detection of silent endpoints. An engine may send nothing for seconds while it
// reads long prompts of other requests, so silence alone proves nothing, but it still
// accepts connections. One that is dead or partitioned does not, and its requests are
// sent elsewhere instead of waiting for their deadlines.
const (
	// silentAfter is how long an endpoint may send nothing, on any of this entry's
	// connections, before its reachability is checked.
	silentAfter = 800 * time.Millisecond
	// silentInUnreachableDomain replaces silentAfter, without a check, while the
	// endpoint's whole failure domain seems to be partitioned.
	silentInUnreachableDomain = 400 * time.Millisecond
	// silentOnLostLink is how long a stream that has begun may send nothing after the entry's own
	// link to the endpoints went down; connections may live on.
	silentOnLostLink = 400 * time.Millisecond
	// recheckInterval is the least time between two checks of an endpoint.
	recheckInterval = time.Second
	// watchInterval is how often a waiting request checks its endpoint.
	watchInterval = 300 * time.Millisecond
	// maxGapFactor is how many times the route's longest pause between events may
	// pass without one before the endpoint is taken to have lost the stream, even
	// if it answers other requests.
	maxGapFactor = 2.5
	// An answer may be lost without a sign on the connection while the endpoint is
	// healthy. A stream without a first event after several times the expected time,
	// which follows from the endpoint's outstanding work and the prompt, is sent to
	// another endpoint. The estimate does not include the work of entries that are
	// partitioned and is poor for a new endpoint, hence the factor, the slack, and a
	// minimum of half of the objective, which leaves the other half.
	firstEventFactor   = 4
	firstEventSlack    = 500 * time.Millisecond
	firstEventMinShare = 0.5
	// While this entry is late itself, an answer takes that much longer at each of its steps.
	latenessFactor = 2
)

// watchdog cancels a call whose endpoint is silent for too long. Its lock is
// acquired before the budget's.
type watchdog struct {
	server   *Server
	cancel   context.CancelFunc
	limits   watchLimits
	endpoint fleet.Endpoint

	mu       sync.Mutex
	timer    clockwork.Timer
	stopped  bool
	begun    time.Time
	last     time.Time // when the last event came; zero: none did
	reason   string    // why the call was cancelled
	reserved bool      // the retry of the cancelled call was taken from the budget
	// via is the address of the entry that the call goes through; empty: none. isConnected: it is known.
	via         string
	isConnected bool
	viaChecked  time.Time // when that entry was last checked
	// reserveRetry takes a retry from the budget.
	reserveRetry func() bool
	// suspended: the entry waits for its caller and does not read.
	suspended bool
}

// watchLimits bound how long a call may go without an answer; 0: as long as the
// request may take.
type watchLimits struct {
	answer time.Duration // until the complete answer
	first  time.Duration // until the first event
	gap    time.Duration // between events
	// reachable: the call is cancelled when its endpoint is found unreachable.
	reachable bool
}

// limits returns the limits for the next attempt of the request.
func (x *exchange) limits(id fleet.EndpointID) watchLimits {
	if !x.route.MayRepeat() || x.runs+1 >= x.route.MaxAttempts {
		return watchLimits{}
	}
	if x.route.Kind != fleet.Streaming {
		return watchLimits{answer: min(3*x.route.Objective, x.remaining()*2/3)}
	}
	l := watchLimits{reachable: true, gap: time.Duration(maxGapFactor * float64(x.route.MaxGap))}
	expected := x.expectedFirstEvent(id)
	l.first = max(time.Duration(firstEventMinShare*float64(x.route.Objective)), firstEventFactor*expected+firstEventSlack)
	if delay := x.usualDelay(); delay > 0 {
		l.first = max(l.first, min(l.first+delay, x.remaining()/2)) // leaves time for another endpoint
	}
	return l
}

// watch starts a watchdog for a call.
func (x *exchange) watch(c *upstreamCall, cancel context.CancelFunc) *watchdog {
	w := &watchdog{server: x.server, cancel: cancel, limits: x.limits(c.endpoint.ID), endpoint: c.endpoint, begun: x.server.Clock.Now()}
	w.reserveRetry = func() bool { return x.server.Budget.Take(x.target(), retry.ForFailure) }
	if w.limits == (watchLimits{}) {
		w.stopped = true
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = w.server.Clock.AfterFunc(w.interval(), w.check)
	return w
}

func (w *watchdog) interval() time.Duration {
	if w.limits.answer > 0 {
		return w.limits.answer
	}
	return watchInterval
}

// eventReceived records that an event came.
func (w *watchdog) eventReceived() {
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
}

// connected records which entry the call goes through.
func (w *watchdog) connected(via string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.via, w.isConnected = via, true
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		w.timer.Stop()
	}
}

// cause returns why the call was cancelled; empty: it was not.
func (w *watchdog) cause() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}

func (w *watchdog) check() {
	unreachable := w.limits.reachable && (w.pathLost() || w.server.unreachable(w.endpoint, w.begun))
	now := w.server.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	limits := w.limits.extended(latenessFactor * w.server.Overload.Lateness())
	reason := limits.exceeded(now.Sub(w.begun), w.sinceLastLocked(now), unreachable)
	if reason == "" || !w.mayEndLocked(unreachable) {
		w.timer = w.server.Clock.AfterFunc(w.interval(), w.check)
		return
	}
	w.reason = reason
	w.stopped = true
	w.cancel()
}

// pathLost reports whether the call's connection is lost though its endpoint may be sound: the entry's
// own link, or the entry that the call goes through, went down.
func (w *watchdog) pathLost() bool {
	now := w.server.Clock.Now()
	w.mu.Lock()
	via, isConnected, last := w.via, w.isConnected, w.last
	silentFor := silentOnLostLink
	if last.IsZero() {
		last, silentFor = w.begun, silentAfter // an engine may read long prompts first
	}
	checkVia := via != "" && now.Sub(last) > silentAfter && now.Sub(w.viaChecked) >= recheckInterval
	if checkVia {
		w.viaChecked = now
	}
	w.mu.Unlock()
	switch {
	case !isConnected:
		return false
	case via == "":
		since, down := w.server.Egress.DownSince(w.endpoint.Service)
		return down && last.Before(since) && now.Sub(since) > silentFor
	case checkVia:
		return !w.server.Egress.PeerAnswers(context.Background(), via)
	}
	return false
}

// mayEndLocked reports whether a call that has exceeded a limit may be cancelled. A
// call to an unreachable endpoint is lost. Any other may still be answered, and
// cancelling it helps only if a retry can be taken from the budget. After half of the
// endpoints had crashed, the others were late with everything and the budget was
// used up; 1,100 requests that were about to be answered were cancelled in ten
// seconds and failed.
func (w *watchdog) mayEndLocked(unreachable bool) bool {
	if w.limits.reachable && unreachable {
		return true
	}
	w.reserved = w.reserveRetry()
	return w.reserved
}

// hasReservedRetry reports whether the retry of the cancelled call was already taken
// from the budget.
func (w *watchdog) hasReservedRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reserved
}

// sinceLastLocked returns the time since the last event; negative: none has come.
func (w *watchdog) sinceLastLocked(now time.Time) time.Duration {
	if w.last.IsZero() {
		return -1
	}
	if w.suspended {
		return 0
	}
	return now.Sub(w.last)
}

// extended returns limits that are longer by d.
func (l watchLimits) extended(d time.Duration) watchLimits {
	for _, limit := range []*time.Duration{&l.answer, &l.first, &l.gap} {
		if *limit > 0 {
			*limit += d
		}
	}
	return l
}

// noFirstEvent is why a call was cancelled whose first event did not come in time.
const noFirstEvent = "no first event in time"

// exceeded returns which limit a call has exceeded; empty: none.
func (l watchLimits) exceeded(waited, sinceLast time.Duration, unreachable bool) string {
	switch {
	case l.answer > 0 && waited >= l.answer:
		return "no answer in time"
	case l.reachable && unreachable:
		return "endpoint or the path to it is lost"
	case l.first > 0 && sinceLast < 0 && waited > l.first:
		return noFirstEvent
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
		return true // found by the watchdog of another request
	}
	silent := s.Board.Standing(id).Silent
	if s.Board.DomainUnreachable(ep.Domain) && silent > silentInUnreachableDomain {
		return true
	}
	if silent < silentAfter || !s.Board.MayCheck(id, recheckInterval) {
		return false
	}
	err := s.Egress.Check(context.Background(), ep)
	if err != nil && !errors.Is(err, egress.ErrNoPath) && !errors.Is(err, egress.ErrLate) {
		s.Log.Warn("ingress: endpoint is silent and does not accept a connection.", "endpoint", id, "silent_ms", silent.Milliseconds(), "error", err)
		s.Board.Unreachable(ep)
		return true
	}
	return false
}
