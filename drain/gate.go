package drain

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrCut is the cause with which a request's context ends when the stop's time
// is over and it has not been answered.
var ErrCut = errors.New("process stops")

// Gate is what all requests of a process go through. It is safe for concurrent
// use and takes no lock.
type Gate struct {
	clock clockwork.Clock
	stop  atomic.Pointer[stop] // nil: no stop is planned
	// state holds whether the gate is closed and how many requests are in
	// flight, in one: were they two, a request could enter between the look that
	// found none and the closing, and be cut off.
	state atomic.Int64
	// life ends with ErrCut.
	life context.Context
	cut  context.CancelCauseFunc
}

// stop is a planned stop under way.
type stop struct {
	begun    time.Time
	takesAll time.Time
	end      time.Time
}

// NewGate returns an open gate.
func NewGate(clock clockwork.Clock) *Gate {
	life, cut := context.WithCancelCause(context.Background())
	return &Gate{clock: clock, life: life, cut: cut}
}

// The parts of a gate's state.
const (
	closed     int64 = 1
	oneRequest int64 = 2
)

// Enter counts a request as in flight, and reports whether the gate was open as
// it did. It comes before any other question whether the request is taken: one
// that had its yes and was not yet counted would not be waited for. A request
// that finds the gate closed is counted too, as it is owed a refusal.
func (g *Gate) Enter() (open bool) { return g.state.Add(oneRequest)&closed == 0 }

// Leave ends what Enter began, once the answer was handed over to be written.
func (g *Gate) Leave() { g.state.Add(-oneRequest) }

// InFlight is the number of requests that have entered and not left.
func (g *Gate) InFlight() int64 { return g.state.Load() / oneRequest }

// Stopping reports whether a stop has begun. Each answer is then the last on its
// connection, so that callers move to other instances.
func (g *Gate) Stopping() bool { return g.stop.Load() != nil }

// Since is how long ago the stop began; ok is false if none has.
func (g *Gate) Since() (d time.Duration, ok bool) {
	s := g.stop.Load()
	if s == nil {
		return 0, false
	}
	return g.clock.Since(s.begun), true
}

// Closed reports whether nothing more is admitted.
func (g *Gate) Closed() bool { return g.state.Load()&closed != 0 }

// Close makes the gate admit nothing more.
func (g *Gate) Close() { g.state.Or(closed) }

// closeIfIdle closes the gate if nothing is in flight, and reports whether it is
// closed with nothing in flight.
func (g *Gate) closeIfIdle() bool {
	return g.state.CompareAndSwap(0, closed) || g.state.Load() == closed
}

// Admits reports whether a request that comes now and may take up to needs is to
// be taken. While a process stops it is, if it will have its answer before the
// end, or if its sender could not know of the stop yet.
//
// Without this, calls would be taken until the process ends, whatever time they
// may need: some would reach an endpoint and run, and their callers see the
// connection close without an answer.
func (g *Gate) Admits(needs time.Duration) bool {
	if g.Closed() {
		return false
	}
	s := g.stop.Load()
	if s == nil {
		return true
	}
	now := g.clock.Now()
	return now.Before(s.takesAll) || !now.Add(needs).After(s.end)
}

// Bound returns a context that ends with ctx, and with cause ErrCut when the stop's
// time is over.
//
// It is a child of the gate's, so that the stop ends it before the next step of the
// stop is taken. Were it ended by a goroutine of its own, a request could still be
// sent to an endpoint some moments after the end.
func (g *Gate) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancelCause(withValues{g.life, ctx})
	unbind := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// withValues is a context with the values of another.
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
