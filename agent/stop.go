package agent

import (
	"log/slog"
	"time"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/settings"
)

// A planned stop.
const (
	// closing is how long the last answers have to leave: a caller that reads
	// slowly must not hold up the bills, which come after. Each of two listeners
	// may take that long, and the handlers of closed connections once more.
	closing = time.Second
	// lastHaltsFor is what remains for the halts of versions, which are written
	// last and known to other entries by gossip.
	lastHaltsFor = 2 * time.Second
)

// stopTimeout is how long a planned stop may take in all. When it is over, fx
// calls no further hook and the process exits: a drain that took all of it left
// bills unwritten.
func stopTimeout(s *settings.Entry) time.Duration {
	return s.DrainTimeout + drain.LastAnswers + 3*closing + resignFor + lastClaimsFor + lastBillsFor + lastHaltsFor
}

// stages are those of the drain.
func stages(s *settings.Entry) drain.Times {
	return drain.Times{Stays: min(drain.LookAway, s.DrainTimeout/2), End: s.DrainTimeout}
}

// drain ends an entry's work: readiness turns false, new requests are refused
// as not run, those in flight finish or, when the time is over, are told that
// they are cut off. Then the listeners close, the callers' first: peers are
// served until the last request has ended.
func (p parts) drain(ls []*listen.Listener, log *slog.Logger) {
	p.Members.Leave()
	p.Gossip.Rumour()
	log.Info("server: draining.", "in_flight", p.Gate.InFlight())
	p.Gate.Drain(stages(p.Set), ls[0].CloseIdle)
	inFlight, busy := p.Gate.InFlight(), 0
	for _, l := range ls {
		busy += l.Close(closing)
	}
	took, _ := p.Gate.Since()
	log.Info("server: closed.", "in_flight", inFlight, "busy_connections", busy, "took_ms", took.Milliseconds())
	p.awaitHandlers()
}

// awaitHandlers waits for requests whose connection was closed under them: each
// settles its bill once it notices, and the ledger is written after this.
func (p parts) awaitHandlers() {
	const poll = 10 * time.Millisecond
	for range closing / poll {
		if p.Gate.InFlight() == 0 {
			return
		}
		time.Sleep(poll)
	}
}
