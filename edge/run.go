package edge

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/background"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/overload"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rollout"
)

func runFollower(lc fx.Lifecycle, f *fleet.Follower) { background.Run(lc, f.Run, nil) }

func runMesh(lc fx.Lifecycle, m *mesh.Mesh) { background.Run(lc, m.Run, nil) }

func runLoadExchange(lc fx.Lifecycle, l *mesh.LoadExchange) { background.Run(lc, l.Run, nil) }

func runEgress(lc fx.Lifecycle, d *egress.Dialer) { background.Run(lc, d.Run, nil) }

func runConcurrency(lc fx.Lifecycle, l *concurrency.Limiter) { background.Run(lc, l.Run, nil) }

func runRollouts(lc fx.Lifecycle, r *rollout.Controller) {
	background.Run(lc, background.Every(rollout.Interval, r.Tick), nil)
}

func runQuarantine(lc fx.Lifecycle, q *quarantine.Table) {
	background.Run(lc, background.Every(quarantine.Interval, q.Tick), nil)
}

func runReport(lc fx.Lifecycle, r *listen.Report) { background.Run(lc, r.Run, nil) }

func runOverload(lc fx.Lifecycle, d *overload.Detector) { background.Run(lc, d.Run, nil) }

// reloadInterval is how often the settings file is polled: it may change without a
// signal.
const reloadInterval = 3 * time.Second

// runReload reloads and logs changes of the settings file. Seeds take effect
// immediately, other settings at the next start.
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
		t := time.NewTicker(reloadInterval)
		defer t.Stop()
		for {
			select {
			case <-hup:
				log.Info("edge: SIGHUP received; reloading the settings.", "path", o.Path)
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
