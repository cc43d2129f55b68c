package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

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
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/settings"
)

// How long the KV may take at a planned stop, after the last request has ended,
// to confirm what is lost with the process otherwise. An answer of the KV takes
// milliseconds; these outlast a restart of it. Bills have the most, as nothing
// else tells of them where an entry is alone in its failure domain.
const (
	resignFor     = time.Second
	lastClaimsFor = 5 * time.Second
	lastBillsFor  = 15 * time.Second
)

func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) { background.Run(lc, w.Run, nil) }

func runPoller(lc fx.Lifecycle, p *endpoints.Poller) {
	background.Run(lc, background.Every(endpoints.PollInterval, p.Poll), nil)
}

func runGuard(lc fx.Lifecycle, g *guard.Guard, c kv.Client) {
	persist := func(ctx context.Context) { g.Persist(ctx, c) }
	background.Run(lc, background.Every(housekeeping, persist), persist)
}

func runQuarantine(lc fx.Lifecycle, q *quarantine.Table, g *peers.Gossip) {
	background.Run(lc, func(ctx context.Context) { suspects{q}.pass(ctx, g.Rumour) }, nil)
	background.Run(lc, background.Every(quarantine.Interval, q.Tick), nil)
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
		if err := background.Persist(ctx, lastBillsFor, l.FlushAll); err != nil {
			log.Error("ledger: records not written at stop.", "error", err, "waiting", l.Waiting())
		}
	})
	background.Run(lc, background.Every(housekeeping, func(context.Context) { l.TakeOver(members.Alive) }), nil)
	background.Run(lc, func(ctx context.Context) { l.Replicate(ctx, members.FirstOther(ledgerGroup(s.Instance)), dial) }, nil)
}

// errClaimsLeft: a claim is not known to be released.
var errClaimsLeft = errors.New("claims of requests that did not run may still be held")

// runClaims releases the claims of requests that did not run, the last at a
// planned stop: one that is left refuses its caller's repeat for a day.
func runClaims(lc fx.Lifecycle, c *idem.Claims, log *slog.Logger) {
	log = log.With("part", "claims")
	sweep := func(ctx context.Context) error {
		c.Sweep(ctx)
		if c.Pending() > 0 {
			return errClaimsLeft
		}
		return nil
	}
	background.Run(lc, background.Every(housekeeping, c.Sweep), func(ctx context.Context) {
		if err := background.Persist(ctx, lastClaimsFor, sweep); err != nil {
			log.Error("claims: not released at stop.", "error", err, "waiting", c.Pending())
		}
	})
}

// runOrders keeps engines at their versions, where the settings ask for it.
func runOrders(lc fx.Lifecycle, s *settings.Entry, d *duty.Duty, members *peers.Table, w *configwatch.Watcher, t *endpoints.Table, clock clockwork.Clock, log *slog.Logger) {
	if !s.ManageEngines {
		return
	}
	mine := func() bool { return members.Holds("orders", 1) }
	k := orders.New(d, mine, w.Table, t, s.Domain, clock, log.With("part", "orders"))
	background.Run(lc, background.Every(orders.Interval, k.Round), resign(d))
}

// resign gives d up at a planned stop. A KV that does not answer must not use
// up the stop with it: bills come after, and the lease lapses by itself.
func resign(d *duty.Duty) func(context.Context) {
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resignFor)
		defer cancel()
		d.Resign(ctx)
	}
}

func runGossip(lc fx.Lifecycle, g *peers.Gossip) { background.Run(lc, g.Run, nil) }

func runRatings(lc fx.Lifecycle, s *settings.Entry, g *gateway.Gateway) {
	if s.Rater != "" {
		background.Run(lc, g.RunRatings, nil)
	}
}
