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
	clock    clockwork.Clock
	inFlight atomic.Int64
	stop     atomic.Pointer[stop] // nil: no stop is planned
	closed   atomic.Bool
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

// Enter counts a request as in flight. It comes before any question whether
// the request is admitted: were it asked first, one that had its yes and was
// not yet counted would be missed by the last look at what is in flight, and
// cut off.
func (g *Gate) Enter() { g.inFlight.Add(1) }

// Leave ends what Enter began, once the answer is written.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// InFlight is the number of requests that have entered and not left.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

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
func (g *Gate) Closed() bool { return g.closed.Load() }

// Admits reports whether a request that comes now and may take up to needs is to
// be taken. While a process stops it is, if it will have its answer before the
// end, or if its sender could not know of the stop yet.
//
// Without this, calls of 800 ms were taken until the process ended: some
// reached an endpoint, ran, and their callers saw the connection close without
// an answer.
func (g *Gate) Admits(needs time.Duration) bool {
	if g.closed.Load() {
		return false
	}
	s := g.stop.Load()
	if s == nil {
		return true
	}
	now := g.clock.Now()
	return now.Before(s.takesAll) || !now.Add(needs).After(s.end)
}

// Bound returns a context that also ends, with cause ErrCut, when the stop's
// time is over.
func (g *Gate) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(g.life, func() { cancel(ErrCut) })
	return ctx, func() {
		unbind()
		cancel(nil)
	}
}
