package drain

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrDeadline is the cancellation cause of the context of a request that has not been
// answered by the end of the shutdown.
var ErrDeadline = errors.New("process stops")

// Gate admits and counts the requests of a process. It is safe for concurrent use
// and lock-free.
type Gate struct {
	clock clockwork.Clock
	stop  atomic.Pointer[stop] // nil until a shutdown starts
	// state holds both whether the gate is closed and how many requests are in
	// flight. In two variables, a request could enter between the check that
	// found none and the closing, and be cancelled.
	state atomic.Int64
	// drainCtx is cancelled with cause ErrDeadline at the end of a shutdown.
	drainCtx  context.Context
	cancelAll context.CancelCauseFunc
}

// stop is a shutdown in progress.
type stop struct {
	started        time.Time
	acceptAllUntil time.Time
	end            time.Time
}

// NewGate returns an open gate.
func NewGate(clock clockwork.Clock) *Gate {
	drainCtx, cancelAll := context.WithCancelCause(context.Background())
	return &Gate{clock: clock, drainCtx: drainCtx, cancelAll: cancelAll}
}

// Layout of Gate.state: the lowest bit is set once the gate is closed, the others
// count the requests in flight.
const (
	closedBit  int64 = 1
	oneRequest int64 = 2
)

// Enter counts a request as in flight and reports whether the gate was open. It
// must precede any other admission check: Drain would not wait for a request that
// was admitted but not yet counted. A request that finds the gate closed is
// counted too, as its refusal must still be written.
func (g *Gate) Enter() (open bool) { return g.state.Add(oneRequest)&closedBit == 0 }

// Leave undoes Enter, once the answer was handed over for writing.
func (g *Gate) Leave() { g.state.Add(-oneRequest) }

// InFlight returns the number of requests that have entered and not left.
func (g *Gate) InFlight() int64 { return g.state.Load() / oneRequest }

// Stopping reports whether a shutdown has started. Each answer then closes its
// connection, so that callers move to other instances.
func (g *Gate) Stopping() bool { return g.stop.Load() != nil }

// StopElapsed returns the time since the shutdown started; ok is false if none has.
func (g *Gate) StopElapsed() (d time.Duration, ok bool) {
	s := g.stop.Load()
	if s == nil {
		return 0, false
	}
	return g.clock.Since(s.started), true
}

// Closed reports whether the gate admits no more requests.
func (g *Gate) Closed() bool { return g.state.Load()&closedBit != 0 }

// Close stops the gate from admitting requests.
func (g *Gate) Close() { g.state.Or(closedBit) }

// closeIfIdle atomically closes the gate if nothing is in flight, and reports
// whether it is closed with nothing in flight.
func (g *Gate) closeIfIdle() bool {
	return g.state.CompareAndSwap(0, closedBit) || g.state.Load() == closedBit
}

// Admits reports whether to admit a request that arrives now and may take up to
// needs. During a shutdown that is so if it will be answered before the end, or if
// its sender cannot yet know of the shutdown.
//
// Otherwise requests that cannot finish would be admitted until the process exits:
// some would reach an endpoint and run, and their callers would see the connection
// close without an answer.
func (g *Gate) Admits(needs time.Duration) bool {
	if g.Closed() {
		return false
	}
	s := g.stop.Load()
	if s == nil {
		return true
	}
	now := g.clock.Now()
	return now.Before(s.acceptAllUntil) || !now.Add(needs).After(s.end)
}

// BindContext returns a context that is cancelled with ctx, and with cause ErrDeadline at
// the end of a shutdown.
//
// It is a child of the gate's context, so that cancelAll has ended it when it
// returns. If a separate goroutine cancelled it, a request could still be sent to
// an endpoint shortly after the end.
func (g *Gate) BindContext(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancelCause(withValues{g.drainCtx, ctx})
	unbind := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// withValues adds the values of another context to a context.
type withValues struct {
	context.Context
	values context.Context
}

// Value implements context.Context.
func (w withValues) Value(key any) any {
	if v := w.Context.Value(key); v != nil {
		return v
	}
	return w.values.Value(key)
}
