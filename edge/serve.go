package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// A planned stop.
const (
	// takesAll is how long requests are taken that may not be answered before
	// the process must end. It is past the balancer's two looks, so that only
	// connections that stayed open are refused, and those that it sends here as
	// too few entries of the domain are ready.
	takesAll = 2700 * time.Millisecond
	// closing is how long connections that were just accepted have to be answered
	// once nothing is in flight.
	closing = 100 * time.Millisecond
	// exitTakes is how long the process takes to end after that: its loops stop
	// and the last lines are logged, on an instance that may stand still for a
	// tenth of a second once it has used up its share of the processor.
	exitTakes = 200 * time.Millisecond
	// stopSlack is what fx gives a stop beyond the grace. When its time is over it
	// calls no further hook; the kill is to come first.
	stopSlack = 10 * time.Second
)

// Limits of a caller's connection where the configuration's are not known
// yet or larger.
const (
	headerBytes   = 16 << 10
	headerTimeout = 5 * time.Second
	// idleTimeout is above the configuration's: callers reuse connections
	// within that, and closing one as a request arrives would lose it.
	idleTimeout = 75 * time.Second
)

type parts struct {
	fx.In
	Options  Options
	Set      *Settings
	Boot     boot
	Ingress  *ingress.Server
	Gate     *drain.Gate
	Fleet    *fleet.Follower
	Mesh     *mesh.Mesh
	Rollouts *rollout.Controller
	Suspects *quarantine.Table
	Limits   *ratelimit.Limits
	Metrics  *telemetry.Metrics
	Log      *slog.Logger
}

// Dump is the entry's state dump: GET /debug/state with the peers.
type Dump struct {
	Instance string          `json:"instance"`
	Domain   string          `json:"domain"`
	Boot     int64           `json:"boot"`
	Ready    bool            `json:"ready"`
	Stopping bool            `json:"stopping"`
	InFlight int64           `json:"in_flight"`
	Revision int64           `json:"revision"`
	Config   int64           `json:"config_version"`
	AgeMS    int64           `json:"age_ms"`
	Away     bool            `json:"store_away"`
	Entries  []fleet.Entry   `json:"entries"`
	Services []ServiceDump   `json:"services"`
	Rollouts []rollout.State `json:"rollouts"`
	Mesh     mesh.State      `json:"mesh"`
	// Quarantine is of requests that crash endpoints.
	Quarantine quarantine.State `json:"quarantine"`
	// Limits are those that endpoints name.
	Limits []ratelimit.EndpointState `json:"limits"`
}

// ServiceDump is a service's part of the dump.
type ServiceDump struct {
	Name   string           `json:"name"`
	Ready  []fleet.Endpoint `json:"ready"`
	Lapsed []fleet.Lapsed   `json:"lapsed,omitempty"`
	Order  *fleet.Rollout   `json:"rollout,omitempty"`
}

func (p parts) dump() Dump {
	v := p.Fleet.View()
	d := Dump{Instance: p.Set.Instance, Domain: p.Set.Domain, Boot: int64(p.Boot), Ready: p.Ingress.Ready(), Stopping: p.Gate.Stopping(),
		InFlight: p.Gate.InFlight(), Revision: int64(v.Revision), AgeMS: -1, Away: p.Fleet.StoreAway(), Entries: v.Entries,
		Rollouts: p.Rollouts.State(), Mesh: p.Mesh.State(), Quarantine: p.Suspects.State(), Limits: p.Limits.State()}
	if v.Config != nil {
		d.Config = v.Config.Version
	}
	if age, ok := p.Fleet.Age(); ok {
		d.AgeMS = age.Milliseconds()
	}
	for _, g := range v.Groups() {
		d.Services = append(d.Services, ServiceDump{g.Service.Name, g.Ready, g.Lapsed, g.Rollout})
	}
	return d
}

// readiness answers the platform's balancer, which reads only the status.
func (p parts) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ingress.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (p parts) peers() http.Handler {
	r := gin.New()
	s := meshpb.NewMeshServer(p.Mesh)
	r.Any(s.PathPrefix()+"*method", gin.WrapH(s))
	r.GET("/metrics", gin.WrapH(p.Metrics.Handler))
	r.GET("/debug/state", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		enc := json.NewEncoder(c.Writer)
		enc.SetIndent("", "  ")
		_ = enc.Encode(p.dump()) // a reader that left needs no dump
	})
	return r
}

func (p parts) metricsOnly() http.Handler {
	r := gin.New()
	r.GET("/metrics", gin.WrapH(p.Metrics.Handler))
	return r
}

// OpenCallers opens the callers' address. A process does so first of all: what
// connects from then on waits some milliseconds until it is served; before, it
// is refused, and after all entries were killed at once many callers have no
// further try. It listens 2 of its 7 ms of processor time sooner.
func OpenCallers(s *Settings) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, trace.Wrap(err, "listen.callers")
	}
	return ln, nil
}

func newListener(name, address string, h http.Handler) *listen.Listener {
	return listen.New("listen."+name, address, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes})
}

// serve listens, and at a planned stop drains.
func serve(lc fx.Lifecycle, p parts) {
	gin.SetMode(gin.ReleaseMode)
	callers := newListener("callers", p.Set.Listen.Callers, p.Ingress.Handler())
	if p.Options.Callers != nil {
		callers.Use(p.Options.Callers)
	}
	all := []*listen.Listener{newListener("peers", p.Set.Listen.Peers, p.peers()), callers, newListener("readiness", p.Set.Listen.Readiness, p.readiness())}
	if p.Set.Listen.Metrics != "" {
		all = append(all, newListener("metrics", p.Set.Listen.Metrics, p.metricsOnly()))
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range all {
				if err := l.Start(p.Log); err != nil {
					return err
				}
			}
			p.Log.Info("edge: started.", "boot", int64(p.Boot), "domain", p.Set.Domain, "callers", p.Set.Listen.Callers, "peers", p.Set.Listen.Peers,
				"store", p.Set.Store, "memory_mb", p.Set.MemoryMB)
			return nil
		},
		OnStop: func(context.Context) error {
			p.drain(callers)
			for _, l := range all {
				l.Close(0)
			}
			return nil
		},
	})
}

// drain ends an entry's work without cutting off a request: it says that it
// is not ready, makes each answer the last on its connection, takes what will be
// answered in time, and waits for it.
func (p parts) drain(callers *listen.Listener) {
	p.Log.Info("edge: stopping; serving on until callers are elsewhere.", "in_flight", p.Gate.InFlight())
	p.Gate.Drain(stages(p.Set.Bounds.Grace()), callers.CloseIdle)
	inFlight := p.Gate.InFlight()
	busy := callers.Close(closing)
	took, _ := p.Gate.Since()
	p.Log.Info("edge: stopped.", "in_flight", inFlight, "busy_connections", busy, "took_ms", took.Milliseconds())
}

// stages are those of a stop that has so long until the kill. Streams go on as long as
// can be.
func stages(grace time.Duration) drain.Times {
	return drain.Times{
		TakesAll: min(takesAll, grace/3),
		Stays:    min(drain.LookAway, grace/2),
		End:      max(0, grace-drain.LastAnswers-closing-exitTakes),
	}
}
