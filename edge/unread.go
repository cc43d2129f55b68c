package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/overload"
)

// unreadLogInterval is the time between two log lines on connections that were left unread.
const unreadLogInterval = time.Second

// unreadConnections counts the connections that were closed before anything was read from them, those that were
// closed to make room for others, and the requests that were refused by their heads, by reason. It is safe for
// concurrent use.
type unreadConnections struct {
	scope    tally.Scope
	log      *slog.Logger
	overload *overload.Detector

	mu sync.Mutex
	// counts since the last log lines
	unread, closed, refused map[string]int
}

func newUnreadConnections(m *telemetry.Metrics, d *overload.Detector, log *slog.Logger) *unreadConnections {
	return &unreadConnections{scope: m.Scope, log: log, overload: d, unread: map[string]int{}, closed: map[string]int{}, refused: map[string]int{}}
}

func (u *unreadConnections) note(reason string) {
	u.count(u.unread, "connections_turned_away_total", reason)
}

// noteClosed counts a connection that was closed to make room.
func (u *unreadConnections) noteClosed(reason string) {
	u.count(u.closed, "connections_closed_total", reason)
}

// noteRefused counts a request that was refused by its head.
func (u *unreadConnections) noteRefused(reason string) {
	u.count(u.refused, "heads_refused_total", reason)
}

func (u *unreadConnections) count(counts map[string]int, counter, reason string) {
	u.scope.Tagged(map[string]string{"reason": reason}).Counter(counter).Inc(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	counts[reason]++
}

// run logs the counts, and reports how late the entry is, until ctx ends.
func (u *unreadConnections) run(ctx context.Context) {
	tick := time.NewTicker(unreadLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			u.logCounts()
			u.scope.Gauge("late_seconds").Update(u.overload.Lateness().Seconds())
			u.scope.Gauge("link_wait_seconds").Update(u.overload.LinkWait().Seconds())
		case <-ctx.Done():
			return
		}
	}
}

func (u *unreadConnections) logCounts() {
	u.mu.Lock()
	defer u.mu.Unlock()
	logAndClear(u.log, "edge: connections were left unread.", u.unread)
	logAndClear(u.log, "edge: connections were closed to make room.", u.closed)
	logAndClear(u.log, "edge: requests were refused by their heads.", u.refused)
}

func logAndClear(log *slog.Logger, message string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	args := make([]any, 0, 2*len(counts))
	for reason, n := range counts {
		args = append(args, reason, n)
	}
	log.Info(message, args...)
	clear(counts)
}
