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
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/orders"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/settings"
)

// Time-outs for the last writes to the KV at a planned stop, after the last request
// has ended; what is not confirmed by then is lost with the process. The KV
// responds in milliseconds; the time-outs outlast a restart of it. Billing records
// get the longest, as an entry alone in its failure domain has the only copy.
const (
	resignTimeout = time.Second
	claimsTimeout = 5 * time.Second
	ledgerTimeout = 15 * time.Second
)

func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) { background.Run(lc, w.Run, nil) }

func runPoller(lc fx.Lifecycle, p *endpoints.Poller) {
	background.Run(lc, background.Every(endpoints.PollInterval, p.Poll), nil)
}

func runGuard(lc fx.Lifecycle, g *guard.Guard, c kv.Client) {
	persist := func(ctx context.Context) { g.Persist(ctx, c) }
	background.Run(lc, background.Every(housekeepingInterval, persist), persist)
}

func runQuarantine(lc fx.Lifecycle, q *quarantine.Table, g *peers.Gossip) {
	background.Run(lc, func(ctx context.Context) { suspectTopic{q}.forwardUpdates(ctx, g.TriggerSpread) }, nil)
	background.Run(lc, background.Every(quarantine.Interval, q.Tick), nil)
}

// runLedger flushes billing records, replicates them to the holder and bills the
// requests of dead entries. At a planned stop it writes all records that are not
// yet durable.
func runLedger(lc fx.Lifecycle, s *settings.Entry, l *ledger.Ledger, members *peers.Table, dial peers.Dial, log *slog.Logger) {
	log = log.With("part", "ledger")
	flush := func(ctx context.Context) {
		if err := l.Flush(ctx); err != nil {
			log.Warn("ledger: flush not confirmed; will write the same batch again.", "error", err, "waiting", l.Waiting())
		}
	}
	background.Run(lc, background.Every(ledger.FlushInterval, flush), func(ctx context.Context) {
		if err := background.RetryFor(ctx, ledgerTimeout, l.FlushAll); err != nil {
			log.Error("ledger: records not written at stop.", "error", err, "waiting", l.Waiting())
		}
	})
	background.Run(lc, background.Every(housekeepingInterval, func(context.Context) { l.TakeOver(members.Alive) }), nil)
	background.Run(lc, func(ctx context.Context) { l.Replicate(ctx, members.FirstOther(ledgerGroup(s.Instance)), dial) }, nil)
}

// errClaimsPending means that the release of a claim is not confirmed.
var errClaimsPending = errors.New("release of claims of requests that did not run is not confirmed")

// runClaims releases the claims of requests that did not run, the last ones at a
// planned stop: a claim that is not released blocks the caller's retry for a day.
func runClaims(lc fx.Lifecycle, c *idem.Claims, log *slog.Logger) {
	log = log.With("part", "claims")
	sweep := func(ctx context.Context) error {
		c.Sweep(ctx)
		if c.Pending() > 0 {
			return errClaimsPending
		}
		return nil
	}
	background.Run(lc, background.Every(housekeepingInterval, c.Sweep), func(ctx context.Context) {
		if err := background.RetryFor(ctx, claimsTimeout, sweep); err != nil {
			log.Error("claims: not released at stop.", "error", err, "waiting", c.Pending())
		}
	})
}

// runOrders keeps engines at their configured versions if the settings enable it.
func runOrders(lc fx.Lifecycle, s *settings.Entry, d *duty.Duty, members *peers.Table, w *configwatch.Watcher, t *endpoints.Table, clock clockwork.Clock, log *slog.Logger) {
	if !s.ManageEngines {
		return
	}
	eligible := func() bool { return members.IsResponsible("orders", 1) }
	r := orders.New(d, eligible, w.Table, t, s.Domain, clock, log.With("part", "orders"))
	background.Run(lc, background.Every(orders.Interval, r.Reconcile), resign(d))
}

// resign gives up d at a planned stop. Its time-out keeps an unresponsive KV from
// using up the stop's time: the billing records are written later, and the lease
// expires by itself.
func resign(d *duty.Duty) func(context.Context) {
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resignTimeout)
		defer cancel()
		d.Resign(ctx)
	}
}

// runRestores writes again what a KV lost that was restored from a copy, once this entry learns of the
// KV's new era by a call of its own or from the configuration's revision.
func runRestores(lc fx.Lifecycle, c kv.Client, w *configwatch.Watcher, g *guard.Guard, l *ledger.Ledger, claims *idem.Claims, log *slog.Logger) {
	r := &restores{kv: c, config: w, guard: g, ledger: l, claims: claims, log: log}
	background.Run(lc, background.Every(housekeepingInterval, r.check), nil)
}

type restores struct {
	kv     kv.Client
	config *configwatch.Watcher
	guard  *guard.Guard
	ledger *ledger.Ledger
	claims *idem.Claims
	log    *slog.Logger
	// era is the latest whose losses were made up for.
	era kv.Era
}

func (r *restores) check(ctx context.Context) {
	era := r.config.Revision().Era()
	if eras, ok := r.kv.(kv.EraReader); ok {
		era = max(era, eras.Era())
	}
	if era <= r.era {
		return
	}
	r.guard.ForgetStored()
	if err := errors.Join(r.claims.WriteAgain(ctx), r.ledger.WriteAgain(ctx)); err != nil {
		r.log.Warn("agent: what the KV lost is not yet written again; will retry.", "era", era, "error", err)
		return
	}
	r.log.Info("agent: the KV is in a new era; recent claims and billing batches were written again.", "era", era)
	r.era = era
}

func runGossip(lc fx.Lifecycle, g *peers.Gossip) { background.Run(lc, g.Run, nil) }

func runRatings(lc fx.Lifecycle, s *settings.Entry, g *gateway.Gateway) {
	if s.Rater != "" {
		background.Run(lc, g.RunRatings, nil)
	}
}

func runReport(lc fx.Lifecycle, r *listen.Report) { background.Run(lc, r.Run, nil) }
