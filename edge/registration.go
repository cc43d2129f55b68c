package edge

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/kv"
)

// Registration of this entry in the store, by which other entries find it.
const (
	// registrationTTL is the longest lease that the store grants: the key of an
	// entry that is gone stays that long and costs its peers a call every few
	// seconds; a shorter lease, renewed more often, would cost the store more.
	registrationTTL   = 10 * time.Minute
	registrationRetry = time.Second
	// registrationJitter keeps the registrations of a thousand entries that start together
	// within the store's rate limit; what exceeds it is tried again.
	registrationJitter = 500 * time.Millisecond
	// registrationCheck is how often an entry checks whether the store lost its registration.
	registrationCheck = 100 * time.Millisecond
	// Entries that register again together use this share of the store's rate, with so many
	// writes each.
	registrationRateShare = 0.85
	registrationWrites    = 2
)

func runRegistration(lc fx.Lifecycle, s *Settings, b boot, c kv.Client, f *fleet.Follower, log *slog.Logger) {
	r := &registration{self: s.entry(b), store: c, fleet: f, writesPerS: s.StoreWritesPerS, log: log}
	background.Run(lc, r.run, nil)
}

// registration maintains this entry's key in the store.
type registration struct {
	self  fleet.Entry
	store kv.Client
	fleet *fleet.Follower
	log   *slog.Logger
	// writesPerS is how many writes a second the store accepts from all entries together.
	writesPerS float64
	lease      kv.LeaseID // 0: none
	// written: the key was written under the lease, in an era of the store.
	written bool
	era     kv.Era
	// leaseEra is the era that the lease was granted in.
	leaseEra kv.Era
}

// grant takes a lease in a known era. The first call may be the one from which this entry learns that
// the store came back from a copy.
func (r *registration) grant(ctx context.Context) error {
	for range 2 {
		before := r.fleet.StoreEra()
		lease, err := r.store.Grant(ctx, registrationTTL)
		if err != nil {
			return err
		}
		if r.leaseEra = r.fleet.StoreEra(); before == 0 || r.leaseEra == before {
			r.lease = lease
			return nil
		}
	}
	return errNewEra
}

// errNewEra means that the store came back from a copy meanwhile: it may have given the id of the lease
// to another entry.
var errNewEra = errors.New("the store came back from a copy after it granted the lease")

func (r *registration) run(ctx context.Context) {
	// Register as soon as the store answers: an entry that is not listed cannot rely on
	// others.
	select {
	case <-r.fleet.EntriesKnown():
	case <-ctx.Done():
		return
	}
	wait := time.Duration(rand.Float64() * float64(registrationJitter))
	for r.sleep(ctx, wait) {
		wait = time.Duration((0.5 + rand.Float64()) * float64(registrationRetry))
		if r.fleet.StoreUnreachable() {
			continue
		}
		if err := r.renew(ctx); err != nil {
			r.log.Warn("edge: registration not confirmed by the store; will try again.", "error", err)
			continue
		}
		wait = registrationTTL / 3
	}
}

// sleep waits, less if the store has lost the registration, and returns false once ctx has ended.
func (r *registration) sleep(ctx context.Context, wait time.Duration) bool {
	due := time.Now().Add(wait)
	for {
		now := time.Now()
		if !now.Before(due) {
			return true
		}
		if lost := r.lostAt(now); !lost.IsZero() && lost.Before(due) {
			r.log.Warn("edge: the store lost this entry's registration; registering again.", "lease", r.lease, "in_ms", lost.Sub(now).Milliseconds())
			r.lease, r.written = 0, false
			due = lost
			continue
		}
		select {
		case <-time.After(min(due.Sub(now), registrationCheck)):
		case <-ctx.Done():
			return false
		}
	}
}

// lostAt returns when to register again if the store came back from a copy without the registration,
// zero if it has it. Of a fleet of which all registrations are lost, the writes are spread out. A
// lease of an earlier era cannot be renewed on trust: the store may have given its id to another
// entry.
func (r *registration) lostAt(now time.Time) time.Time {
	revision := r.fleet.Revision()
	if !r.written || revision.Era() <= r.era {
		return time.Time{}
	}
	r.era = revision.Era()
	if item, ok := r.fleet.Item(r.self.Key()); ok && item.Lease == r.lease {
		return time.Time{}
	}
	writes := registrationWrites * float64(len(r.fleet.View().Entries))
	spread := time.Duration(writes / (registrationRateShare * r.writesPerS) * float64(time.Second))
	return now.Add(time.Duration(rand.Float64() * float64(spread)))
}

func (r *registration) renew(ctx context.Context) error {
	if r.written {
		if _, err := r.store.KeepAlive(ctx, r.lease); err == nil {
			return nil
		}
		r.lease, r.written = 0, false
	}
	if r.lease == 0 {
		if err := r.grant(ctx); err != nil {
			return err
		}
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	revision, err := r.store.Put(ctx, r.self.Key(), value, r.lease)
	if err != nil {
		if errors.Is(err, kv.ErrLeaseNotFound) {
			r.lease = 0
		}
		return err
	}
	r.written, r.era = true, revision.Era()
	if r.era != r.leaseEra {
		r.lease, r.written = 0, false
		return errNewEra
	}
	r.log.Info("edge: registered.", "address", r.self.Address, "lease", r.lease)
	return nil
}
