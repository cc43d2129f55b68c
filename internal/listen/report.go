package listen

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// logInterval is the time between two log lines of a Report on the same.
const logInterval = time.Second

// Report counts, by reason, the connections that were closed before anything was read from them, those that were closed
// to make room for others, and the requests that were refused by their heads. It is safe for concurrent use.
type Report struct {
	scope tally.Scope
	log   *slog.Logger
	part  string

	mu sync.Mutex
	// counts since the last log lines
	turnedAway, closed, refused map[string]int
}

// NewReport returns a report whose log lines begin with the name of a part.
func NewReport(part string, log *slog.Logger, scope tally.Scope) *Report {
	return &Report{scope: scope, log: log, part: part, turnedAway: map[string]int{}, closed: map[string]int{}, refused: map[string]int{}}
}

// TurnedAway counts a connection that was left unread.
func (r *Report) TurnedAway(reason string) {
	r.count(r.turnedAway, "connections_turned_away_total", reason)
}

// Closed counts a connection that was closed to make room.
func (r *Report) Closed(reason string) { r.count(r.closed, "connections_closed_total", reason) }

// Refused counts a request that was refused by its head.
func (r *Report) Refused(reason string) { r.count(r.refused, "heads_refused_total", reason) }

func (r *Report) count(counts map[string]int, counter, reason string) {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter(counter).Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	counts[reason]++
}

// Run logs the counts until ctx ends.
func (r *Report) Run(ctx context.Context) {
	tick := time.NewTicker(logInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.logCounts()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Report) logCounts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logAndClear("connections were left unread.", r.turnedAway)
	r.logAndClear("connections were closed to make room.", r.closed)
	r.logAndClear("requests were refused by their heads.", r.refused)
}

func (r *Report) logAndClear(message string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	args := make([]any, 0, 2*len(counts))
	for reason, n := range counts {
		args = append(args, reason, n)
	}
	r.log.Info(r.part+": "+message, args...)
	clear(counts)
}
