package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rollout"
)

func runFollower(lc fx.Lifecycle, f *fleet.Follower) { background.Run(lc, f.Run, nil) }

func runMesh(lc fx.Lifecycle, m *mesh.Mesh) { background.Run(lc, m.Run, nil) }

func runLoads(lc fx.Lifecycle, l *mesh.Loads) { background.Run(lc, l.Run, nil) }

func runRollouts(lc fx.Lifecycle, r *rollout.Controller) {
	background.Run(lc, background.Every(rollout.Interval, r.Tick), nil)
}

func runQuarantine(lc fx.Lifecycle, q *quarantine.Table) {
	background.Run(lc, background.Every(quarantine.Interval, q.Tick), nil)
}

// Registration of this entry, by which the others find it.
const (
	// registrationLife is the longest that the store grants: the key of an
	// entry that is gone stays that long and costs its peers a call in
	// seconds; renewing more often would cost the store more.
	registrationLife = 10 * time.Minute
	registrationTry  = time.Second
	// registrationSpread keeps the registrations of hundreds that start together within
	// what the store takes in a second.
	registrationSpread = 200 * time.Millisecond
)

func runRegistration(lc fx.Lifecycle, s *Settings, b boot, c kv.Client, f *fleet.Follower, log *slog.Logger) {
	r := &registration{self: s.entry(b), store: c, fleet: f, log: log}
	background.Run(lc, r.run, nil)
}

// registration keeps this entry's key in the store.
type registration struct {
	self  fleet.Entry
	store kv.Client
	fleet *fleet.Follower
	log   *slog.Logger
	lease kv.LeaseID
}

func (r *registration) run(ctx context.Context) {
	// With the first configuration, and not a second later: until an entry finds itself
	// among those known it watches the store by itself, several calls a second.
	select {
	case <-r.fleet.Known():
	case <-ctx.Done():
		return
	}
	wait := time.Duration(rand.Float64() * float64(registrationSpread))
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = registrationTry
		if r.fleet.StoreAway() {
			continue
		}
		if err := r.renew(ctx); err != nil {
			r.log.Warn("edge: registration not confirmed by the store; will try again.", "error", err)
			continue
		}
		wait = registrationLife / 3
	}
}

func (r *registration) renew(ctx context.Context) error {
	if r.lease != 0 {
		_, err := r.store.KeepAlive(ctx, r.lease)
		if err == nil {
			return nil
		}
	}
	lease, err := r.store.Grant(ctx, registrationLife)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	if _, err := r.store.Put(ctx, fleet.EntryPrefix+r.self.Instance, value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.log.Info("edge: registered.", "address", r.self.Address, "lease", lease)
	return nil
}

// reloadEvery is how often the settings file is looked at: it may change
// without a signal.
const reloadEvery = 3 * time.Second

// runReload takes changes of the settings file. Seeds take effect at once;
// what else changed is logged and takes effect with the next start.
func runReload(lc fx.Lifecycle, o Options, m *mesh.Mesh, log *slog.Logger) {
	if o.Path == "" {
		return
	}
	last, err := os.ReadFile(o.Path)
	if err != nil {
		log.Warn("edge: settings file cannot be read.", "path", o.Path, "error", err)
	}
	background.Run(lc, func(ctx context.Context) {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		defer signal.Stop(hup)
		t := time.NewTicker(reloadEvery)
		defer t.Stop()
		for {
			select {
			case <-hup:
				log.Info("edge: SIGHUP; reading the settings.", "path", o.Path)
			case <-t.C:
			case <-ctx.Done():
				return
			}
			last = reload(o.Path, last, m, log)
		}
	}, nil)
}

func reload(path string, last []byte, m *mesh.Mesh, log *slog.Logger) []byte {
	raw, err := os.ReadFile(path)
	if err != nil {
		log.Warn("edge: settings file cannot be read; keeping what runs.", "path", path, "error", err)
		return last
	}
	if bytes.Equal(raw, last) {
		return last
	}
	s, err := Parse(raw)
	if err != nil {
		log.Error("edge: settings changed and are not valid; keeping what runs.", "path", path, "error", err)
		return raw
	}
	m.SetSeeds(s.Seeds)
	log.Info("edge: settings changed.", "path", path, "seeds", len(s.Seeds))
	return raw
}
