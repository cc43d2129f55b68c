package drain

import "time"

// Times are the stages of a shutdown, each measured from its start.
type Times struct {
	// AcceptAllFor is how long requests are admitted regardless of the time they
	// need, as their senders cannot yet know of the shutdown.
	AcceptAllFor time.Duration
	// ServeAtLeast is the minimum time for which the process serves: until then new
	// connections arrive as usual.
	ServeAtLeast time.Duration
	// End is when requests still in flight are cancelled. The process must be
	// able to run for FlushTimeout longer.
	End time.Duration
}

const (
	// BalancerDelay is how long the platform's balancer takes to stop sending
	// connections to an instance that reports not ready: two probes, a second
	// apart, plus the duration of a probe. If the process exited sooner,
	// connections made meanwhile would be refused.
	BalancerDelay = 3200 * time.Millisecond
	// FlushTimeout is how long answers may take to be written after the
	// remaining requests were cancelled. An instance limited to a fifth of a
	// core that is throttled runs again within a tenth of a second.
	FlushTimeout = 200 * time.Millisecond
	// pollInterval is how often Drain checks the number of requests in flight.
	pollInterval = 50 * time.Millisecond
)

// Drain runs a shutdown and returns when the process may exit: every admitted
// request has been answered or cancelled. closeIdle closes idle connections; it
// is called once new ones no longer arrive as usual.
func (g *Gate) Drain(t Times, closeIdle func()) {
	g.Begin(t)
	end := g.stop.Load().end
	g.clock.Sleep(min(t.ServeAtLeast, t.End))
	closeIdle()
	if g.waitIdle(end) {
		return
	}
	g.Close()
	g.cancelAll(ErrDeadline)
	g.waitIdle(g.clock.Now().Add(FlushTimeout))
}

// Begin starts the shutdown. Drain calls it first.
func (g *Gate) Begin(t Times) {
	now := g.clock.Now()
	g.stop.Store(&stop{started: now, acceptAllUntil: now.Add(t.AcceptAllFor), end: now.Add(t.End)})
}

// waitIdle waits until nothing is in flight and then closes the gate. It reports
// false if that has not happened by deadline.
func (g *Gate) waitIdle(deadline time.Time) bool {
	for !g.closeIfIdle() {
		left := deadline.Sub(g.clock.Now())
		if left <= 0 {
			return false
		}
		g.clock.Sleep(min(pollInterval, left))
	}
	return true
}
