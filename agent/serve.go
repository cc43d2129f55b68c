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
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/settings"
)

// server has the components that the HTTP servers expose.
type server struct {
	fx.In
	Settings  *settings.Entry
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
	Pool      *listen.Pool
	Report    *listen.Report
	Memory    clientMemory
	Log       *slog.Logger
}

// Dump is the state dump served at GET /debug/state.
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

func (s server) dump() Dump {
	return Dump{Instance: s.Settings.Instance, Domain: s.Settings.Domain, Draining: s.Gate.Stopping(), InFlight: s.Gate.InFlight(),
		Config: s.Watcher.State(), Peers: s.Members.State(), Guard: s.Guard.State(), Ledger: s.Ledger.State(),
		ClaimsPending: s.Claims.Pending(), Cascades: s.Planner.State(), Endpoints: s.Endpoints.Snapshot(), Quarantine: s.Suspects.State(), Limits: s.Limits.State()}
}

func (s server) ready() bool { return !s.Gate.Stopping() && s.Watcher.Table() != nil }

// callerRoutes adds the routes for callers and the platform's load balancer.
func (s server) callerRoutes(r *gin.Engine) {
	s.Gateway.Register(r)
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) {
		if !s.ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
}

// internalRoutes adds the routes for peers and operators.
func (s server) internalRoutes(r *gin.Engine) {
	r.GET("/debug/state", gin.WrapH(listen.InTurn(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(s.dump())
	}))))
	r.GET("/metrics", gin.WrapH(s.Metrics.Handler))
	peer := peerpb.NewPeerServer(&peerServer{s})
	r.Any(peer.PathPrefix()+"*method", gin.WrapH(membudget.Bodies(peer, maxMessageBytes, messageCost, s.Memory.messages)))
}

// Bounds of messages of peers: their size, and the memory that a byte takes while it is read and decoded.
const (
	maxMessageBytes = 16 << 20
	messageCost     = 3
)

// Limits of a connection. Callers may reuse one that has been idle for up to idleTimeout.
const (
	headerBytes   = 16 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second
)

func (s server) newListener(name, address string, maxOpen int, routes ...func(*gin.Engine)) *listen.Listener {
	r := gin.New()
	r.Use(gin.Recovery())
	for _, add := range routes {
		add(r)
	}
	l := listen.New(name, address, &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes})
	l.SetAdmission(listen.Admission{MaxOpen: maxOpen, Busy: gateway.RefuseHead(), OnTurnedAway: s.Report.TurnedAway, OnRefused: s.Report.Refused})
	l.SetPool(s.Pool)
	return l
}

// listeners returns one listener for all routes or, if InternalListen is set, one
// for callers and one for internal routes. The callers' listener comes first.
func (s server) listeners() []*listen.Listener {
	d := listen.DivideDescriptors(s.Settings.MaxFDs)
	if s.Settings.InternalListen == "" {
		return []*listen.Listener{s.newListener("listen", s.Settings.Listen, d.Callers, s.callerRoutes, s.internalRoutes)}
	}
	return []*listen.Listener{s.newListener("listen", s.Settings.Listen, d.Callers, s.callerRoutes), s.newListener("internal_listen", s.Settings.InternalListen, d.Peers, s.internalRoutes)}
}

// serve starts the listeners, and drains them at a planned stop.
func serve(lc fx.Lifecycle, s server) {
	gin.SetMode(gin.ReleaseMode)
	ls := s.listeners()
	log := s.Log.With("part", "server")
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
			s.drain(ls, log)
			return nil
		},
	})
}

// peerServer implements the peer protocol.
type peerServer struct{ server }

func (s *peerServer) Exchange(ctx context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	return s.Gossip.Serve(ctx, d), nil
}

func (s *peerServer) Shadow(_ context.Context, r *peerpb.ShadowRequest) (*peerpb.ShadowResponse, error) {
	return s.Ledger.StoreCopies(r), nil
}

func (s *peerServer) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigResponse, error) {
	rev, delta, stored := s.Watcher.Since(kv.Revision(r.Have))
	return &peerpb.ConfigResponse{Revision: int64(rev), Delta: delta, Document: stored, Domain: s.Settings.Domain, Instance: s.Settings.Instance}, nil
}

func (s *peerServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return &peerpb.StatusResponse{Instance: s.Settings.Instance, Domain: s.Settings.Domain, ConfigRevision: int64(s.Watcher.Revision()),
		Ready: s.ready(), InFlight: s.Gate.InFlight(), LivePeers: int64(len(s.Members.Live())), Watching: s.Watcher.State().Watching}, nil
}
