package agent

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/gateway"
	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/settings"
)

// drainPoll is how often a stopping entry looks whether requests remain.
const drainPoll = 50 * time.Millisecond

// Module is the entry daemon's fx module.
func Module(set *settings.Entry) fx.Option {
	return fx.Options(
		fx.Supply(set),
		fx.Provide(
			newLogger,
			newMetrics,
			func(s *settings.Entry) kv.Client { return etcdv3.New(s.KV, &http.Client{}) },
			func(c kv.Client, log *slog.Logger) *configwatch.Watcher {
				return configwatch.New(c, log.With("part", "config"))
			},
			gateway.NewLoads,
			newLedger,
			newClaims,
			newGateway,
		),
		fx.Invoke(runWatcher, serve),
		fx.NopLogger,
	)
}

func newLogger(s *settings.Entry) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", s.Instance, "domain", s.Domain)
}

type metrics struct {
	scope    tally.Scope
	reporter promreporter.Reporter
}

func newMetrics(lc fx.Lifecycle) *metrics {
	r := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "lovageweir", CachedReporter: r, Separator: promreporter.DefaultSeparator,
		// tally's own cardinality gauges use dotted names that Prometheus rejects.
		OmitCardinalityMetrics: true}, time.Second)
	lc.Append(fx.StopHook(closer.Close))
	return &metrics{scope: scope, reporter: r}
}

// ledgerFlush is how often billing records go to the KV: one write per
// entry per interval, whatever the request rate.
const ledgerFlush = 2 * time.Second

// newLedger starts the flush loop. Its stop hook runs after the server's
// (fx stops in reverse order), so records of drained requests are flushed.
func newLedger(lc fx.Lifecycle, s *settings.Entry, c kv.Client, log *slog.Logger) *ledger.Ledger {
	log = log.With("part", "ledger")
	l := ledger.New(c, s.Instance, time.Now(), log)
	flush := func(ctx context.Context) {
		if err := l.Flush(ctx); err != nil {
			log.Warn("ledger: flush not confirmed; will write the same batch again.", "error", err, "buffered", l.Buffered())
		}
	}
	every(lc, ledgerFlush, flush, func(ctx context.Context) {
		for l.Buffered() > 0 && ctx.Err() == nil {
			if err := l.Flush(ctx); err != nil {
				log.Error("ledger: records not flushed at stop.", "error", err, "buffered", l.Buffered())
				return
			}
		}
	})
	return l
}

// claimSweep is how often claims of requests that did not run are released.
const claimSweep = time.Second

// newClaims starts the release loop; the stop hook sweeps once more, so a
// planned stop leaves no claim that would refuse a caller's repeat.
func newClaims(lc fx.Lifecycle, c kv.Client) *idem.Claims {
	claims := idem.New(c, clockwork.NewRealClock())
	every(lc, claimSweep, claims.Sweep, claims.Sweep)
	return claims
}

// every runs tick at each interval from start to stop, then last.
func every(lc fx.Lifecycle, interval time.Duration, tick, last func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	loop := func() {
		defer close(done)
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				tick(ctx)
			case <-ctx.Done():
				return
			}
		}
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { go loop(); return nil },
		OnStop: func(stopCtx context.Context) error {
			cancel()
			<-done
			last(stopCtx)
			return nil
		},
	})
}

func newGateway(s *settings.Entry, claims *idem.Claims, w *configwatch.Watcher, l *gateway.Loads, bill *ledger.Ledger, log *slog.Logger, m *metrics) (*gateway.Gateway, error) {
	keys, err := s.Keyring()
	if err != nil {
		return nil, err
	}
	return gateway.New(s.Instance, s.Domain, w, l, keys, bill, claims, gateway.Timeouts{FirstToken: s.FirstTokenTimeout, Idle: s.IdleTimeout, Whole: s.AnswerTimeout},
		clockwork.NewRealClock(), log.With("part", "gateway"), m.scope.SubScope("gateway")), nil
}

func runWatcher(lc fx.Lifecycle, w *configwatch.Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(done); w.Run(ctx) }()
			return nil
		},
		OnStop: func(context.Context) error { cancel(); <-done; return nil },
	})
}

// dump is the entry's state dump.
type dump struct {
	Instance string                    `json:"instance"`
	Domain   string                    `json:"domain"`
	Draining bool                      `json:"draining"`
	InFlight int64                     `json:"in_flight"`
	Config   configwatch.State         `json:"config"`
	Loads    map[string]map[string]any `json:"loads"`
}

func serve(lc fx.Lifecycle, s *settings.Entry, g *gateway.Gateway, w *configwatch.Watcher, l *gateway.Loads, m *metrics, log *slog.Logger) {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	g.Register(r)
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) {
		if g.Draining() || w.Table() == nil {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	r.GET("/debug/state", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		enc := json.NewEncoder(c.Writer)
		enc.SetIndent("", "  ")
		_ = enc.Encode(dump{Instance: s.Instance, Domain: s.Domain, Draining: g.Draining(), InFlight: g.InFlight(), Config: w.State(), Loads: l.Snapshot()})
	})
	r.GET("/metrics", gin.WrapH(m.reporter.HTTPHandler()))
	peer := peerpb.NewPeerServer(&peerServer{set: s, watcher: w, gw: g})
	r.Any(peer.PathPrefix()+"*method", gin.WrapH(peer))

	srv := &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	log = log.With("part", "server")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", s.Listen)
			if err != nil {
				return err
			}
			go func() {
				if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
					log.Error("server: stopped serving.", "error", err)
				}
			}()
			log.Info("server: listening.", "address", ln.Addr().String())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			g.Drain()
			log.Info("server: draining.", "in_flight", g.InFlight())
			deadline := time.Now().Add(s.DrainTimeout)
			for g.InFlight() > 0 && time.Now().Before(deadline) {
				time.Sleep(drainPoll)
			}
			log.Info("server: drained; closing.", "in_flight", g.InFlight())
			return srv.Shutdown(ctx)
		},
	})
}

type peerServer struct {
	set     *settings.Entry
	watcher *configwatch.Watcher
	gw      *gateway.Gateway
}

func (p *peerServer) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigResponse, error) {
	rev, raw := p.watcher.Raw()
	out := &peerpb.ConfigResponse{Revision: int64(rev), Domain: p.set.Domain, Instance: p.set.Instance}
	if int64(rev) > r.Have {
		out.Document = raw
	}
	return out, nil
}

func (p *peerServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	t := p.watcher.Table()
	out := &peerpb.StatusResponse{Instance: p.set.Instance, Domain: p.set.Domain, Ready: t != nil && !p.gw.Draining(), InFlight: p.gw.InFlight()}
	if t != nil {
		out.ConfigRevision = int64(t.Revision)
	}
	return out, nil
}
