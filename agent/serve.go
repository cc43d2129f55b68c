package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/gateway"
	"github.com/lovageweir/lovageweir/guard"
	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/settings"
)

// parts are what the server shows and serves.
type parts struct {
	fx.In
	Set       *settings.Entry
	Gateway   *gateway.Gateway
	Gate      *drain.Gate
	Watcher   *configwatch.Watcher
	Endpoints *endpoints.Table
	Members   *peers.Table
	Gossip    *peers.Gossip
	Guard     *guard.Guard
	Ledger    *ledger.Ledger
	Claims    *idem.Claims
	Planner   *cascade.Planner
	Suspects  *quarantine.Table
	Limits    *ratelimit.Limits
	Metrics   *telemetry.Metrics
	Log       *slog.Logger
}

// Dump is the entry's state dump: GET /debug/state.
type Dump struct {
	Instance      string                        `json:"instance"`
	Domain        string                        `json:"domain"`
	Draining      bool                          `json:"draining"`
	InFlight      int64                         `json:"in_flight"`
	Config        configwatch.State             `json:"config"`
	Peers         peers.State                   `json:"peers"`
	Guard         map[string]guard.VersionState `json:"guard"`
	Ledger        ledger.State                  `json:"ledger"`
	ClaimsPending int                           `json:"claims_to_release"`
	Cascades      []cascade.StepState           `json:"cascades"`
	Endpoints     endpoints.State               `json:"endpoints"`
	Quarantine    quarantine.State              `json:"quarantine"`
	Limits        []ratelimit.EndpointState     `json:"limits"`
}

func (p parts) dump() Dump {
	return Dump{Instance: p.Set.Instance, Domain: p.Set.Domain, Draining: p.Gate.Stopping(), InFlight: p.Gate.InFlight(),
		Config: p.Watcher.State(), Peers: p.Members.State(), Guard: p.Guard.State(), Ledger: p.Ledger.State(),
		ClaimsPending: p.Claims.Pending(), Cascades: p.Planner.State(), Endpoints: p.Endpoints.Snapshot(), Quarantine: p.Suspects.State(), Limits: p.Limits.State()}
}

func (p parts) ready() bool { return !p.Gate.Stopping() && p.Watcher.Table() != nil }

// callerRoutes are what callers and the platform's balancer need.
func (p parts) callerRoutes(r *gin.Engine) {
	p.Gateway.Register(r)
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) {
		if !p.ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
}

// internalRoutes are for peers and operators.
func (p parts) internalRoutes(r *gin.Engine) {
	r.GET("/debug/state", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		enc := json.NewEncoder(c.Writer)
		enc.SetIndent("", "  ")
		_ = enc.Encode(p.dump())
	})
	r.GET("/metrics", gin.WrapH(p.Metrics.Handler))
	peer := peerpb.NewPeerServer(&peerServer{p})
	r.Any(peer.PathPrefix()+"*method", gin.WrapH(peer))
}

func newListener(name, address string, routes ...func(*gin.Engine)) *listen.Listener {
	r := gin.New()
	r.Use(gin.Recovery())
	for _, add := range routes {
		add(r)
	}
	return listen.New(name, address, &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second})
}

// listeners are one for all, or callers and internals apart; the callers' is
// the first.
func (p parts) listeners() []*listen.Listener {
	if p.Set.InternalListen == "" {
		return []*listen.Listener{newListener("listen", p.Set.Listen, p.callerRoutes, p.internalRoutes)}
	}
	return []*listen.Listener{newListener("listen", p.Set.Listen, p.callerRoutes), newListener("internal_listen", p.Set.InternalListen, p.internalRoutes)}
}

// serve listens, and at a planned stop drains.
func serve(lc fx.Lifecycle, p parts) {
	gin.SetMode(gin.ReleaseMode)
	ls := p.listeners()
	log := p.Log.With("part", "server")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range ls {
				if err := l.Start(log); err != nil {
					return err
				}
				log.Info("server: listening.", "address", l.Addr().String())
			}
			return nil
		},
		OnStop: func(context.Context) error {
			p.drain(ls, log)
			return nil
		},
	})
}

// peerServer serves the peer protocol.
type peerServer struct{ parts }

func (p *peerServer) Exchange(ctx context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	return p.Gossip.Serve(ctx, d), nil
}

func (p *peerServer) Shadow(_ context.Context, r *peerpb.ShadowRequest) (*peerpb.ShadowResponse, error) {
	return p.Ledger.Keep(r), nil
}

func (p *peerServer) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigResponse, error) {
	rev, delta, stored := p.Watcher.Since(kv.Revision(r.Have))
	return &peerpb.ConfigResponse{Revision: int64(rev), Delta: delta, Document: stored, Domain: p.Set.Domain, Instance: p.Set.Instance}, nil
}

func (p *peerServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Instance: p.Set.Instance, Domain: p.Set.Domain, ConfigRevision: int64(p.Watcher.Revision()),
		Ready: p.ready(), InFlight: p.Gate.InFlight(), LivePeers: int64(len(p.Members.Live())), Watching: p.Watcher.State().Watching}, nil
}
