package edge

import (
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/ingress"
	"github.com/lovageweir/lovageweir/internal/asynclog"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/overload"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/shares"
	"github.com/lovageweir/lovageweir/slowstart"
	"github.com/lovageweir/lovageweir/upstream"
)

// lapsedMargin is how much earlier than the operators' bound an endpoint whose
// registration ended stops being a last resort: the bound counts from when
// the store knew, which is before this entry did.
const lapsedMargin = 600 * time.Millisecond

// bodyMemoryDivisor sets the part of the process's memory that request bodies may
// take up, one eighth; the rest is for connections, answers and the garbage
// collector's headroom.
const bodyMemoryDivisor = 8

// answerMemoryDivisor sets the part of the process's memory that buffered answers may take up.
const answerMemoryDivisor = 8

// messageMemoryDivisor sets the part of the process's memory that messages of other entries may take up.
const messageMemoryDivisor = 8

// requestsPerMB bounds the requests in flight per MB of memory: one with its two
// connections holds some 60 KB, so that at the bound they take half of the
// memory.
const requestsPerMB = 8

// clientMemory is the budget of what clients take up: connections, requests in progress, heads, bodies, answers,
// and messages of other entries.
type clientMemory struct{ all, heads, bodies, answers, messages *membudget.Budget }

func newClientMemory(s *Settings) clientMemory {
	total := int64(s.MemoryMB) << 20
	all := membudget.New(int64(s.Clients.MemoryShare * float64(total)))
	return clientMemory{all: all, heads: all.Part(int64(s.Clients.HeadMemoryShare * float64(total))), bodies: all.Part(total / bodyMemoryDivisor), answers: all.Part(total / answerMemoryDivisor), messages: all.Part(total / messageMemoryDivisor)}
}

func newReport(log *slog.Logger, m *telemetry.Metrics) *listen.Report {
	return listen.NewReport("edge", log, m.Scope)
}

// newPool returns the pool of the connections of all addresses.
func newPool(s *Settings, m clientMemory, r *listen.Report) *listen.Pool {
	return listen.NewPool(listen.PoolSettings{MaxDescriptors: listen.DivideDescriptors(s.MaxFDs).All, Memory: m.all, Heads: m.heads, OnClosed: r.Closed})
}

// memoryLimitShare is the share of the process's memory above which the garbage collector runs as often
// as it takes; the rest is for what the runtime does not count.
const memoryLimitShare = 0.8

// MemoryLimit returns the Go runtime's soft memory limit, in bytes.
func (s *Settings) MemoryLimit() int64 {
	return int64(memoryLimitShare * float64(int64(s.MemoryMB)<<20))
}

// tunnelDivisor sets the part of the requests in flight that may be other entries' tunnels.
const tunnelDivisor = 4

// boot identifies this run of the process; later runs have higher values.
type boot int64

// Options of an entry.
type Options struct {
	Settings *Settings
	// Path of the settings file, which is reloaded when it changes; empty: never.
	Path string
	Logs io.Writer
	// Callers is the callers' listener, if it is open already (OpenCallers).
	Callers net.Listener
}

// Module is the entry's fx module. fx stops hooks in reverse order, so serve, which
// drains the requests, comes last: the components it needs still run then.
func Module(o Options) fx.Option {
	return fx.Options(
		fx.Supply(o, o.Settings),
		fx.Provide(
			func() boot { return boot(time.Now().UnixNano()) },
			clockwork.NewRealClock,
			newLogger,
			newMetrics,
			func(s *Settings) kv.Client { return platform.NewStore(s.Store) },
			func() fleet.Decoder { return platform.Values{} },
			func() call.HeaderCodec { return platform.Headers{} },
			newFollower,
			newRollouts,
			newCapacity,
			newBoard,
			place.NewRates,
			newLimits,
			newConcurrency,
			newSlowStart,
			newLoadExchange,
			newBudget,
			newShares,
			newQuarantine,
			newMesh,
			drain.NewGate,
			newEgress,
			newTunnels,
			overload.NewLimiter,
			newOverload,
			newReport,
			newClientMemory,
			newPool,
			newIngress,
		),
		fx.StopTimeout(o.Settings.Bounds.Grace()+stopTimeoutMargin),
		fx.Invoke(runFollower, runMesh, runLoadExchange, runEgress, runConcurrency, runRollouts, runQuarantine, runOverload, runReport, runLateness, runRegistration, runReload, serve),
		fx.NopLogger,
	)
}

func newLogger(lc fx.Lifecycle, o Options, b boot) *slog.Logger {
	out := o.Logs
	if out == nil {
		out = os.Stdout
	}
	w := asynclog.New(out, asynclog.DefaultCapacity)
	lc.Append(fx.StopHook(w.Close))
	return slog.New(slog.NewJSONHandler(w, nil)).With("instance", o.Settings.Instance)
}

func newMetrics(lc fx.Lifecycle) *telemetry.Metrics { return telemetry.New(lc, metricsInterval) }

// metricsInterval is how often the counters served at the metrics address are
// updated.
const metricsInterval = 2 * time.Second

func lapsedGrace(s *Settings) time.Duration {
	return max(0, time.Duration(s.Bounds.LeavingMS)*time.Millisecond-lapsedMargin)
}

func (s *Settings) entry(b boot) fleet.Entry {
	return fleet.Entry{Instance: s.Instance, Domain: s.Domain, Address: s.Listen.Peers, LoadAddress: s.Listen.Loads, Boot: int64(b), LinkMbps: s.LinkMbps}
}

func newFollower(s *Settings, b boot, c kv.Client, dec fleet.Decoder, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *fleet.Follower {
	f := fleet.NewFollower(s.entry(b), c, dec, lapsedGrace(s), clock, log)
	f.SetMetrics(m.Scope.SubScope("fleet"))
	f.HoldConfig()
	return f
}

func newRollouts(s *Settings, b boot, c kv.Client, dec fleet.Decoder, f *fleet.Follower, clock clockwork.Clock, log *slog.Logger) *rollout.Controller {
	return rollout.New(rollout.Deps{Instance: s.Instance, Boot: int64(b), Store: c, Decoder: dec, View: f.View,
		SessionLife: time.Duration(s.Bounds.SessionS * float64(time.Second)),
		Exposure:    rollout.Exposure{Share: s.Bounds.ExposureShare, Slack: s.Bounds.ExposureSlack},
		HaltWithin:  time.Duration(s.Bounds.HaltWithinMS) * time.Millisecond, Clock: clock, Log: log})
}

func newBudget(s *Settings, f *fleet.Follower, clock clockwork.Clock) *retry.Budget {
	b := retry.Bounds{Ratio: s.Bounds.RepeatRatio, Extra: s.Bounds.RepeatExtra, Window: time.Duration(s.Bounds.RepeatWindowS * float64(time.Second))}
	return retry.New(b, func() int { return len(f.View().Entries) }, clock)
}

func newQuarantine(s *Settings, c kv.Client, f *fleet.Follower, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *quarantine.Table {
	return quarantine.New(quarantine.Deps{Store: c, View: f.View, Owns: func(q quarantine.Fingerprint) bool { return quarantine.Owner(q, f.View().Entries) == s.Instance }, Clock: clock, Log: log, Scope: m.Scope.SubScope("quarantine")})
}

func newMesh(s *Settings, f *fleet.Follower, r *rollout.Controller, q *quarantine.Table, limits *ratelimit.Limits, c *concurrency.Limiter, clock clockwork.Clock, log *slog.Logger) *mesh.Mesh {
	return mesh.New(mesh.Deps{Instance: s.Instance, Domain: s.Domain, Address: s.Listen.Peers, LinkMbps: s.LinkMbps, Seeds: s.Seeds, Fleet: f, Rollouts: r, Quarantine: q, Limits: limits, Concurrency: c, Clock: clock, Log: log})
}

func newLimits(s *Settings, f *fleet.Follower, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *ratelimit.Limits {
	return ratelimit.New(ratelimit.Deps{Instance: s.Instance, Domain: s.Domain, Entries: func() []fleet.Entry { return f.View().Entries },
		Owners: mesh.NewLimitOwners(), Clock: clock, Log: log, Scope: m.Scope.SubScope("ratelimit")})
}

func newConcurrency(s *Settings, f *fleet.Follower, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *concurrency.Limiter {
	return concurrency.New(concurrency.Deps{Instance: s.Instance, Entries: func() []fleet.Entry { return f.View().Entries }, Owners: mesh.NewLimitOwners(),
		Clock: clock, Log: log, Scope: m.Scope.SubScope("concurrency")})
}

func newSlowStart(s *Settings, f *fleet.Follower, clock clockwork.Clock, m *telemetry.Metrics) *slowstart.Gate {
	return slowstart.New(slowstart.Deps{Instance: s.Instance, Entries: func() []fleet.Entry { return f.View().Entries }, Clock: clock, Scope: m.Scope.SubScope("slowstart")})
}

// newShares returns the table of delays and shares; nil: they are turned off.
func newShares(s *Settings, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *shares.Table {
	if !s.Shares.Enabled {
		return nil
	}
	return shares.New(shares.Deps{Clock: clock, Log: log, Scope: m.Scope.SubScope("shares")})
}

func newLoadExchange(s *Settings, f *fleet.Follower, board *place.Board, rates *place.Rates, budget *retry.Budget, table *shares.Table, limits *ratelimit.Limits, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *mesh.LoadExchange {
	return mesh.NewLoadExchange(mesh.LoadExchangeDeps{Instance: s.Instance, Domain: s.Domain, Address: s.Listen.Loads, Fleet: f, Board: board, Rates: rates, Budget: budget, Shares: table, Limits: limits,
		Clock: clock, Log: log, Scope: m.Scope.SubScope("mesh")})
}

func newEgress(s *Settings, f *fleet.Follower, board *place.Board, detector *overload.Detector, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *egress.Dialer {
	d := egress.Deps{Instance: s.Instance, Domain: s.Domain, View: f.View, OnDown: board.Reinstate, Lateness: detector.Lateness, LinkWait: detector.LinkWait, OnConnected: detector.Connected, Clock: clock, Log: log, Scope: m.Scope.SubScope("egress")}
	if s.EgressProxy != "" {
		d.Dial = egress.ViaProxy(upstream.Dial, s.EgressProxy)
	}
	return egress.NewDialer(d)
}

// measuredDivisor sets the part of the requests in flight from which the delay of work is measured; with
// fewer, only that of timers is.
const measuredDivisor = 32

func newOverload(s *Settings, l *overload.Limiter, gate *drain.Gate, log *slog.Logger, m *telemetry.Metrics) *overload.Detector {
	gauge := m.Scope.Gauge("overloaded")
	link := overload.NewLink(s.LinkMbps)
	measuredFrom := int64(s.MemoryMB) * requestsPerMB / measuredDivisor
	return &overload.Detector{Log: log, Limiter: l, Link: link, Share: s.CPUShare, Busy: func() bool { return gate.InFlight() >= measuredFrom }, OnChange: func(is bool) {
		if is {
			gauge.Update(1)
			log.Warn("edge: the processor share or the link is used up; new connections are left to other entries.", "link_wait_ms", link.Wait().Milliseconds())
			return
		}
		gauge.Update(0)
		log.Info("edge: keeps up again; new connections are accepted.")
	}}
}

func newTunnels(s *Settings, d *egress.Dialer, q *quarantine.Table, gate *drain.Gate) *egress.Server {
	return &egress.Server{Dialer: d, Gate: gate, Quarantine: q, MaxTunnels: int64(s.MemoryMB) * requestsPerMB / tunnelDivisor}
}

func newIngress(s *Settings, memory clientMemory, pool *listen.Pool, f *fleet.Follower, codec call.HeaderCodec, board *place.Board, rates *place.Rates, budget *retry.Budget, table *shares.Table, r *rollout.Controller, q *quarantine.Table, limits *ratelimit.Limits, c *concurrency.Limiter, slowStart *slowstart.Gate,
	gate *drain.Gate, dialer *egress.Dialer, newConnections *overload.Limiter, detector *overload.Detector, peers *mesh.Mesh, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) *ingress.Server {
	return ingress.New(ingress.Deps{Instance: s.Instance, Domain: s.Domain, Fleet: f, HeaderCodec: codec, Board: board, Rates: rates, Budget: budget, Shares: table, Rollouts: r, Quarantine: q, Limits: limits, Concurrency: c, SlowStart: slowStart,
		EscalationPolicy: cascade.EscalationPolicy{MinConfidence: cascade.DefaultMinConfidence}, Gate: gate, NewConnections: newConnections, Overload: detector, BodyMemory: memory.bodies, AnswerMemory: memory.answers, Connections: pool, MaxInFlight: int64(s.MemoryMB) * requestsPerMB, LapsedGrace: lapsedGrace(s), Egress: dialer, Peers: peers,
		Clock: clock, Log: log, Scope: m.Scope.SubScope("ingress")})
}
