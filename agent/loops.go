package agent

import (
	"context"
	"log/slog"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/duty"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/gateway"
	"github.com/lovageweir/lovageweir/guard"
	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/orders"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/settings"
)

func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) { background.Run(lc, w.Run, nil) }

func runPoller(lc fx.Lifecycle, p *endpoints.Poller) {
	background.Run(lc, background.Every(endpoints.PollInterval, p.Poll), nil)
}

func runGuard(lc fx.Lifecycle, g *guard.Guard, c kv.Client) {
	persist := func(ctx context.Context) { g.Persist(ctx, c) }
	background.Run(lc, background.Every(housekeeping, persist), persist)
}

// runLedger flushes, copies to the holder and bills for dead entries. At a
// planned stop everything not yet durable is written before the exit.
func runLedger(lc fx.Lifecycle, s *settings.Entry, l *ledger.Ledger, members *peers.Table, dial peers.Dial, log *slog.Logger) {
	log = log.With("part", "ledger")
	flush := func(ctx context.Context) {
		if err := l.Flush(ctx); err != nil {
			log.Warn("ledger: flush not confirmed; will write the same batch again.", "error", err, "waiting", l.Waiting())
		}
	}
	background.Run(lc, background.Every(ledger.FlushInterval, flush), func(ctx context.Context) {
		if err := l.FlushAll(ctx); err != nil {
			log.Error("ledger: records not written at stop.", "error", err, "waiting", l.Waiting())
		}
	})
	background.Run(lc, background.Every(housekeeping, func(context.Context) { l.TakeOver(members.Alive) }), nil)
	background.Run(lc, func(ctx context.Context) { l.Replicate(ctx, members.FirstOther(ledgerGroup(s.Instance)), dial) }, nil)
}

// runClaims releases the claims of requests that did not run; the last sweep
// is at a planned stop, so that none is left to refuse a caller's repeat.
func runClaims(lc fx.Lifecycle, c *idem.Claims) {
	background.Run(lc, background.Every(housekeeping, c.Sweep), c.Sweep)
}

// runOrders keeps engines at their versions, where the settings ask for it.
func runOrders(lc fx.Lifecycle, s *settings.Entry, d *duty.Duty, members *peers.Table, w *configwatch.Watcher, t *endpoints.Table, clock clockwork.Clock, log *slog.Logger) {
	if !s.ManageEngines {
		return
	}
	mine := func() bool { return members.Holds("orders", 1) }
	k := orders.New(d, mine, w.Table, t, s.Domain, clock, log.With("part", "orders"))
	background.Run(lc, background.Every(orders.Interval, k.Round), d.Resign)
}

func runGossip(lc fx.Lifecycle, g *peers.Gossip) { background.Run(lc, g.Run, nil) }

func runRatings(lc fx.Lifecycle, s *settings.Entry, g *gateway.Gateway) {
	if s.Rater != "" {
		background.Run(lc, g.RunRatings, nil)
	}
}
