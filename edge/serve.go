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

	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/overload"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
	"github.com/lovageweir/lovageweir/shares"
)

// Times of a graceful shutdown.
const (
	// acceptAllFor is how long requests are admitted that may not be answered before
	// the process must exit. It is longer than the balancer's two probes, so that only
	// requests on kept-alive connections are refused, and those that the balancer
	// sends here because too few entries of the domain are ready.
	acceptAllFor = 2700 * time.Millisecond
	// closeTimeout is how long requests on connections that were just accepted have to
	// be answered once nothing is in flight.
	closeTimeout = 100 * time.Millisecond
	// exitAllowance is how long the process takes to exit after that: its background
	// loops stop and the last log lines are written, on an instance that may be
	// throttled for a tenth of a second once it has used up its CPU quota.
	exitAllowance = 200 * time.Millisecond
	// stopTimeoutMargin is how much longer than the grace period fx waits for the stop
	// hooks. It calls no further hook after its timeout; SIGKILL is to come first.
	stopTimeoutMargin = 10 * time.Second
)

// Limits of a connection where those of the configuration are larger or not yet
// known.
const (
	headerBytes   = 16 << 10
	headerTimeout = 5 * time.Second
	// idleTimeout is above the configuration's: callers reuse connections within
	// that time, and closing one as a request arrives would lose the request.
	idleTimeout = 75 * time.Second
)

type serverParams struct {
	fx.In
	Options         Options
	EntrySettings   *Settings
	Boot            boot
	Ingress         *ingress.Server
	Gate            *drain.Gate
	Fleet           *fleet.Follower
	Mesh            *mesh.Mesh
	Board           *place.Board
	Rollouts        *rollout.Controller
	QuarantineTable *quarantine.Table
	Limits          *ratelimit.Limits
	Capacity        *capacity.Table
	Shares          *shares.Table
	Egress          *egress.Dialer
	Tunnels         *egress.Server
	Report          *listen.Report
	Pool            *listen.Pool
	Memory          clientMemory
	Overload        *overload.Detector
	Metrics         *telemetry.Metrics
	Log             *slog.Logger
}

// Dump is the entry's state dump, served at GET /debug/state on the peers' address.
type Dump struct {
	Instance string          `json:"instance"`
	Domain   string          `json:"domain"`
	Boot     int64           `json:"boot"`
	Ready    bool            `json:"ready"`
	Stopping bool            `json:"stopping"`
	InFlight int64           `json:"in_flight"`
	Revision int64           `json:"revision"`
	Era      int64           `json:"era"`       // of the revision
	StoreEra int64           `json:"store_era"` // as of the store's latest answer to this entry
	Config   int64           `json:"config_version"`
	AgeMS    int64           `json:"age_ms"`
	Away     bool            `json:"store_away"`
	Entries  []fleet.Entry   `json:"entries"`
	Services []ServiceDump   `json:"services"`
	Rollouts []rollout.State `json:"rollouts"`
	Mesh     mesh.State      `json:"mesh"`
	// Quarantine is the state of the quarantine of requests that crash endpoints.
	Quarantine quarantine.State `json:"quarantine"`
	// Limits are the rate limits that endpoints report.
	Limits []ratelimit.EndpointState `json:"limits"`
	// Capacity is how long work takes at the endpoints that report it.
	Capacity []capacity.EndpointState `json:"capacity,omitempty"`
	// Shares are the delays by urgency and the demand of customers.
	Shares shares.State `json:"shares"`
	// Egress is the state of the links to endpoints.
	Egress egress.State `json:"egress"`
	// Evacuated are the failure domains whose endpoints get no requests.
	Evacuated []EvacuationDump `json:"evacuated,omitempty"`
}

// EvacuationDump is an evacuated domain's part of the dump.
type EvacuationDump struct {
	Domain    string `json:"domain"`
	Endpoints int    `json:"endpoints"`
	InFlight  int    `json:"in_flight"` // requests of this entry that still run there
}

// ServiceDump is a service's part of the dump.
type ServiceDump struct {
	Name   string           `json:"name"`
	Ready  []fleet.Endpoint `json:"ready"`
	Lapsed []fleet.Lapsed   `json:"lapsed,omitempty"`
	Order  *fleet.Rollout   `json:"rollout,omitempty"`
}

func (p serverParams) dump() Dump {
	v := p.Fleet.View()
	d := Dump{Instance: p.EntrySettings.Instance, Domain: p.EntrySettings.Domain, Boot: int64(p.Boot), Ready: p.Ingress.Ready(), Stopping: p.Gate.Stopping(),
		InFlight: p.Gate.InFlight(), Revision: v.Revision.Number(), Era: int64(v.Revision.Era()), StoreEra: int64(p.Fleet.StoreEra()), AgeMS: -1, Away: p.Fleet.StoreUnreachable(), Entries: v.Entries,
		Rollouts: p.Rollouts.State(), Mesh: p.Mesh.State(), Quarantine: p.QuarantineTable.State(), Limits: p.Limits.State(), Shares: p.Shares.State(), Egress: p.Egress.State()}
	if v.Config != nil {
		d.Config = v.Config.Version
	}
	if age, ok := p.Fleet.Age(); ok {
		d.AgeMS = age.Milliseconds()
	}
	d.Evacuated = p.evacuated(v)
	for _, g := range v.Groups() {
		d.Services = append(d.Services, ServiceDump{g.Service.Name, g.Ready, g.Lapsed, g.Rollout})
		d.Capacity = append(d.Capacity, p.Capacity.State(g.Ready)...)
	}
	return d
}

func (p serverParams) evacuated(v *fleet.View) []EvacuationDump {
	var out []EvacuationDump
	for _, domain := range v.Evacuated {
		e := EvacuationDump{Domain: domain}
		for _, g := range v.Groups() {
			for _, ep := range g.Evacuated {
				if ep.Domain == domain {
					e.Endpoints++
					e.InFlight += p.Board.Standing(ep.ID).InFlight
				}
			}
		}
		out = append(out, e)
	}
	return out
}

// readiness answers the platform's balancer, which reads only the status.
func (p serverParams) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ingress.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (p serverParams) peers() http.Handler {
	r := gin.New()
	s := meshpb.NewMeshServer(p.Mesh)
	r.Any(s.PathPrefix()+"*method", gin.WrapH(mesh.Bounded(s, p.Memory.messages)))
	r.GET("/metrics", gin.WrapH(p.Metrics.Handler))
	r.GET("/debug/state", gin.WrapH(listen.InTurn(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(p.dump()) // fails only if the client disconnected
	}))))
	return p.Ingress.HandoffMiddleware(p.Tunnels.Middleware(r))
}

func (p serverParams) metricsOnly() http.Handler {
	r := gin.New()
	r.GET("/metrics", gin.WrapH(p.Metrics.Handler))
	return r
}

// OpenCallers opens the callers' address. A process does this before anything else:
// connections made from then on wait some milliseconds until they are served, while
// earlier ones are refused, and after all entries were killed at once many callers
// have no retry left. The address opens 7 ms after the start instead of 9, on one core.
func OpenCallers(s *Settings) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, trace.Wrap(err, "listen.callers")
	}
	return ln, nil
}

func (p serverParams) newListener(name, address string, h http.Handler, a listen.Admission) *listen.Listener {
	l := listen.New("listen."+name, address, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes})
	a.Busy, a.OnRefused, a.OnTurnedAway = p.Ingress.RefuseHead(), p.Report.Refused, p.Report.TurnedAway
	l.SetAdmission(a)
	l.SetPool(p.Pool)
	return l
}

// serve starts the listeners, and drains the requests when the process stops.
func serve(lc fx.Lifecycle, p serverParams) {
	gin.SetMode(gin.ReleaseMode)
	s := p.EntrySettings
	descriptors := listen.DivideDescriptors(s.MaxFDs)
	callers := p.newListener("callers", s.Listen.Callers, p.Ingress.Handler(), listen.Admission{Refuse: p.Ingress.RefusesConnection, MakesRoom: p.Ingress.ConnectionMakesRoom, Wrap: p.wrapCaller, MaxOpen: descriptors.Callers})
	if p.Options.Callers != nil {
		callers.SetListener(p.Options.Callers)
	}
	probes := listen.Admission{MaxOpen: listen.MaxProbes, SingleDescriptor: true}
	all := []*listen.Listener{p.newListener("peers", s.Listen.Peers, p.peers(), listen.Admission{MaxOpen: descriptors.Peers}), callers, p.newListener("readiness", s.Listen.Readiness, p.readiness(), probes)}
	if s.Listen.Metrics != "" {
		all = append(all, p.newListener("metrics", s.Listen.Metrics, p.metricsOnly(), probes))
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range all {
				if err := l.Start(p.Log); err != nil {
					return err
				}
			}
			p.Log.Info("edge: started.", "boot", int64(p.Boot), "domain", p.EntrySettings.Domain, "callers", p.EntrySettings.Listen.Callers, "peers", p.EntrySettings.Listen.Peers,
				"store", p.EntrySettings.Store, "memory_mb", p.EntrySettings.MemoryMB)
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

// callerSendBuffer bounds what the kernel holds of an answer that its caller does not read; it would grow to
// 4 MB.
const callerSendBuffer = 128 << 10

// wrapCaller prepares an accepted connection of a caller.
func (p serverParams) wrapCaller(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSendBuffer) // the kernel's own bound holds otherwise
	}
	return p.Overload.Link.Meter(c)
}

// drain shuts the entry down gracefully: it reports not ready, makes each answer
// close its connection, admits only requests that will be answered in time, and
// waits for them.
func (p serverParams) drain(callers *listen.Listener) {
	p.Log.Info("edge: stopping; serving on until callers are elsewhere.", "in_flight", p.Gate.InFlight())
	p.Gate.Drain(drainTimes(p.EntrySettings.Bounds.Grace()), callers.CloseIdle)
	inFlight := p.Gate.InFlight()
	busy := callers.Close(closeTimeout)
	took, _ := p.Gate.StopElapsed()
	p.Log.Info("edge: stopped.", "in_flight", inFlight, "busy_connections", busy, "took_ms", took.Milliseconds())
}

// drainTimes returns the times of a shutdown that must end within grace. Streams may
// run as long as possible.
func drainTimes(grace time.Duration) drain.Times {
	return drain.Times{
		AcceptAllFor: min(acceptAllFor, grace/3),
		ServeAtLeast: min(drain.BalancerDelay, grace/2),
		End:          max(0, grace-drain.FlushTimeout-closeTimeout-exitAllowance),
	}
}
