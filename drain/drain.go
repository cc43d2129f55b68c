package drain

import "time"

// Times are the stages of a planned stop, each counted from its beginning.
type Times struct {
	// TakesAll is how long requests are taken whatever time they need, as those
	// who send them have not seen yet that the process stops.
	TakesAll time.Duration
	// Stays is how long the process serves at the least: new connections come
	// as usual until then.
	Stays time.Duration
	// End is when what is still in flight is cut off. The process must be able
	// to run for LastAnswers more.
	End time.Duration
}

const (
	// LookAway is how long the platform's balancer takes to send no more
	// connections to an instance that says it is not ready: two looks, a second
	// apart, and some for the look itself. A process that ended sooner would leave
	// those who come meanwhile with a connection refused.
	LookAway = 3200 * time.Millisecond
	// LastAnswers is how long answers may take to be written once the rest was
	// cut off. An instance with a fifth of a core that has used it up runs again
	// within a tenth of a second.
	LastAnswers = 200 * time.Millisecond
	// poll is how often a stopping process looks at what is in flight.
	poll = 50 * time.Millisecond
)

// Drain goes through a planned stop and returns when the process may end:
// everything that was taken is answered, or was told that it is cut off.
// closeIdle closes connections on which nothing is under way; it is called once
// new ones come no more as usual.
func (g *Gate) Drain(t Times, closeIdle func()) {
	g.Begin(t)
	end := g.stop.Load().end
	g.clock.Sleep(min(t.Stays, t.End))
	closeIdle()
	if g.waitIdle(end) {
		return
	}
	g.Close()
	g.cut(ErrCut)
	g.waitIdle(g.clock.Now().Add(LastAnswers))
}

// Begin begins a stop. Drain calls it first.
func (g *Gate) Begin(t Times) {
	now := g.clock.Now()
	g.stop.Store(&stop{begun: now, takesAll: now.Add(t.TakesAll), end: now.Add(t.End)})
}

// waitIdle waits until nothing is in flight, and closes the gate then; at the
// longest until latest. It reports whether it came to that.
func (g *Gate) waitIdle(latest time.Time) bool {
	for !g.closeIfIdle() {
		left := latest.Sub(g.clock.Now())
		if left <= 0 {
			return false
		}
		g.clock.Sleep(min(poll, left))
	}
	return true
}
