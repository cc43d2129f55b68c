package drain

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// For any schedule and arrival time, an admitted request either finishes by the
// end or was sent before its sender could know of the shutdown.
func TestAdmitsFollowsSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		clock := clockwork.NewFakeClock()
		g := NewGate(clock)
		if !g.Admits(span("before")) {
			t.Fatal("refused although no shutdown is in progress")
		}
		times := Times{AcceptAllFor: span("takes all"), ServeAtLeast: span("stays"), End: span("end")}
		g.Begin(times)
		at, needs := span("comes"), span("needs")
		clock.Advance(at)
		fits := at < times.AcceptAllFor || at+needs <= times.End
		if g.Admits(needs) != fits {
			t.Fatalf("arrived after %v, needs %v, times %+v: admitted: %v", at, needs, times, !fits)
		}
		g.Close()
		if g.Admits(0) {
			t.Fatal("admitted although closed")
		}
	})
}

// drainRun is a drain in progress on a fake clock.
type drainRun struct {
	clock *clockwork.FakeClock
	gate  *Gate
	idle  chan struct{} // closed when closeIdle is called
	ended chan struct{}
}

func startDrain(times Times, inFlight int) *drainRun {
	s := &drainRun{clock: clockwork.NewFakeClock(), idle: make(chan struct{}), ended: make(chan struct{})}
	s.gate = NewGate(s.clock)
	for range inFlight {
		s.gate.Enter()
	}
	go func() {
		defer close(s.ended)
		s.gate.Drain(times, func() { close(s.idle) })
	}()
	return s
}

// advance moves the clock once the drain is sleeping.
func (s *drainRun) advance(t *testing.T, d time.Duration) {
	t.Helper()
	if err := s.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	s.clock.Advance(d)
}

// finish advances the clock each time the drain sleeps until it has ended, and
// returns how long that took.
func (s *drainRun) finish(t *testing.T) time.Duration {
	t.Helper()
	started := s.clock.Now()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.ended
		cancel()
	}()
	for s.clock.BlockUntilContext(ctx, 1) == nil {
		s.clock.Advance(pollInterval)
	}
	<-s.ended
	return s.clock.Since(started)
}

var testTimes = Times{AcceptAllFor: time.Second, ServeAtLeast: 2 * time.Second, End: 5 * time.Second}

// A process without requests in flight still serves for Times.ServeAtLeast before it exits.
func TestIdleProcessServesForMinimumTime(t *testing.T) {
	is := is.New(t)
	s := startDrain(testTimes, 0)
	s.advance(t, testTimes.ServeAtLeast)
	<-s.idle
	<-s.ended
	is.Equal(s.clock.Since(s.gate.stop.Load().started), testTimes.ServeAtLeast)
	is.True(s.gate.Closed())
}

// Guards against a request that is left without an answer because it arrives just
// after the last one has ended: checking that nothing is in flight and closing the
// gate must be one atomic step, so that every request that found the gate open is
// waited for.
func TestGateStaysOpenWhileRequestsAreInFlight(t *testing.T) {
	is := is.New(t)
	s := startDrain(testTimes, 0)
	if err := s.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	is.True(s.gate.Enter())
	is.True(s.gate.Admits(time.Second))
	s.clock.Advance(testTimes.ServeAtLeast)
	<-s.idle
	is.True(!s.gate.closeIfIdle())
	is.True(!s.gate.Closed())
	is.True(s.gate.Enter()) // still open, as a request is in flight
	s.gate.Leave()
	s.gate.Leave()
	s.finish(t)
	is.True(s.gate.Closed())
	is.True(!s.gate.Enter()) // refused, but counted until its refusal is written
	is.Equal(s.gate.InFlight(), int64(1))
}

// For any sequence of requests, none that found the gate open is in flight when the
// gate closes as idle.
func TestPropertyGateClosesOnlyWhenIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(clockwork.NewFakeClock())
		admitted, refused := 0, 0
		for _, step := range rapid.SliceOf(rapid.SampledFrom([]string{"enter", "leave", "leave refused", "close"})).Draw(t, "steps") {
			switch {
			case step == "enter" && g.Enter():
				admitted++
			case step == "enter":
				refused++
			case step == "leave" && admitted > 0:
				admitted--
				g.Leave()
			case step == "leave refused" && refused > 0:
				refused--
				g.Leave()
			case step == "close" && g.closeIfIdle() && admitted+refused > 0:
				t.Fatalf("closed as idle with %d admitted, %d being refused", admitted, refused)
			}
			if g.InFlight() != int64(admitted+refused) {
				t.Fatalf("%d in flight, want %d", g.InFlight(), admitted+refused)
			}
		}
	})
}

// A request still in flight at the end has its context cancelled, and some time to
// answer.
func TestRequestsPastDeadlineAreCancelled(t *testing.T) {
	is := is.New(t)
	s := startDrain(testTimes, 1)
	ctx, unbind := s.gate.BindContext(context.Background())
	defer unbind()
	s.advance(t, testTimes.ServeAtLeast)
	<-s.idle
	took := s.finish(t)
	is.True(errors.Is(context.Cause(ctx), ErrDeadline))
	is.Equal(took, testTimes.End-testTimes.ServeAtLeast+FlushTimeout)
	is.True(s.gate.Closed())
	late, unbindLate := s.gate.BindContext(context.Background())
	defer unbindLate()
	is.True(errors.Is(context.Cause(late), ErrDeadline)) // immediately, or a request would still be sent
}

// A bound context ends with its parent's cause, and is not cancelled with ErrDeadline
// once it is unbound.
func TestBoundContextKeepsParentCause(t *testing.T) {
	is := is.New(t)
	g := NewGate(clockwork.NewFakeClock())
	own := errors.New("own")
	type key struct{}
	parent, cancel := context.WithCancelCause(context.WithValue(context.Background(), key{}, "value"))
	ctx, unbind := g.BindContext(parent)
	defer unbind()
	is.Equal(ctx.Value(key{}), "value")
	cancel(own)
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), own))
	other, unbindOther := g.BindContext(context.Background())
	unbindOther()
	g.cancelAll(ErrDeadline)
	is.True(!errors.Is(context.Cause(other), ErrDeadline))
}

// Guards against a request that is sent to an endpoint after the end of the
// shutdown because a separate goroutine cancels its context only some moments
// after cancelAll has returned.
func TestCancelAllEndsContextsBeforeReturning(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		g := NewGate(clockwork.NewFakeClock())
		ctx, unbind := g.BindContext(context.Background())
		g.cancelAll(ErrDeadline)
		is.True(errors.Is(context.Cause(ctx), ErrDeadline))
		unbind()
	}
}
