package agent

import (
	"log/slog"
	"time"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/settings"
)

// Time-outs of a planned stop.
const (
	// closeTimeout bounds writing the last responses: a caller that reads slowly must
	// not delay the billing records, which are written later. Each of the two
	// listeners may take this long, and then the handlers of closed connections.
	closeTimeout = time.Second
	// haltsTimeout is the time left for the halts of versions. They are written last,
	// as other entries know them by gossip.
	haltsTimeout = 2 * time.Second
)

// stopTimeout is the total time-out of a planned stop. When it expires, fx calls no
// further hooks and the process exits. It includes time for the steps after the
// drain: a drain that used all of it left billing records unwritten.
func stopTimeout(s *settings.Entry) time.Duration {
	return s.DrainTimeout + drain.FlushTimeout + 3*closeTimeout + resignTimeout + claimsTimeout + ledgerTimeout + haltsTimeout
}

// drainTimes returns the stages of the drain.
func drainTimes(s *settings.Entry) drain.Times {
	return drain.Times{ServeAtLeast: min(drain.BalancerDelay, s.DrainTimeout/2), End: s.DrainTimeout}
}

// drain stops serving: the entry reports not ready and refuses new requests as not
// run; requests in flight finish or, at the drain timeout, are aborted with an error
// that says so. Then the listeners close, the callers' first, so that peers are
// served until the last request has ended.
func (s server) drain(ls []*listen.Listener, log *slog.Logger) {
	s.Members.Leave()
	s.Gossip.TriggerSpread()
	log.Info("server: draining.", "in_flight", s.Gate.InFlight())
	s.Gate.Drain(drainTimes(s.Settings), ls[0].CloseIdle)
	inFlight, busy := s.Gate.InFlight(), 0
	for _, l := range ls {
		busy += l.Close(closeTimeout)
	}
	took, _ := s.Gate.StopElapsed()
	log.Info("server: closed.", "in_flight", inFlight, "busy_connections", busy, "took_ms", took.Milliseconds())
	s.awaitHandlers()
}

// awaitHandlers waits for the handlers of requests whose connection was closed: each
// settles its billing record once it notices, and the ledger is flushed after this.
func (s server) awaitHandlers() {
	const poll = 10 * time.Millisecond
	for range closeTimeout / poll {
		if s.Gate.InFlight() == 0 {
			return
		}
		time.Sleep(poll)
	}
}
