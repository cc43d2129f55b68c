package agent

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/configwatch"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/duty"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/gateway"
	"github.com/lovageweir/lovageweir/guard"
	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/internal/telemetry"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/settings"
)

// Loop intervals, and how duties are divided among entries.
const (
	// watchersPerDomain is the number of entries per failure domain that watch the KV.
	watchersPerDomain = 2
	// ledgerGroups is the number of groups into which the entries of a failure
	// domain are divided, each with one holder that writes its billing records. A
	// single holder would use over 5% of a core at the target size
	// (docs/CAPACITY.md).
	ledgerGroups = 4
	// housekeepingInterval is how often halts are persisted, claims released and
	// the requests of dead entries billed.
	housekeepingInterval = time.Second
)

// incarnation identifies one run of the process; later runs have higher values.
type incarnation int64

// Module is the fx module of the entry daemon. fx runs stop hooks in reverse
// order, so serve is invoked last: the loops that it needs still run while it
// drains.
func Module(s *settings.Entry) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			func() incarnation { return incarnation(time.Now().UnixNano()) },
			clockwork.NewRealClock,
			newLogger,
			newMetrics,
			newKV,
			newMembers,
			peers.HTTPDial,
			newWatcher,
			newGuard,
			endpoints.NewTable,
			newPoller,
			newQuarantine,
			newLimits,
			newGossip,
			newLedger,
			newClaims,
			cascade.NewPlanner,
			newDuty,
			drain.NewGate,
			newClientMemory,
			newPool,
			newReport,
			newGateway,
		),
		fx.Invoke(runWatcher, runPoller, runGuard, runLedger, runClaims, runOrders, runQuarantine, runGossip, runRatings, runRestores, runReport, serve),
		fx.StopTimeout(stopTimeout(s)),
		fx.NopLogger,
	)
}

func newLogger(s *settings.Entry) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", s.Instance, "domain", s.Domain)
}

// metricsInterval is how often counters are reported to the metrics endpoint.
const metricsInterval = time.Second

func newMetrics(lc fx.Lifecycle) *telemetry.Metrics { return telemetry.New(lc, metricsInterval) }

func newKV(s *settings.Entry) kv.Client { return etcdv3.New(s.KV, nil) }

func newMembers(s *settings.Entry, inc incarnation, clock clockwork.Clock) *peers.Table {
	return peers.NewTable(&peerpb.Member{Instance: s.Instance, Domain: s.Domain, Address: s.Advertise, Life: int64(inc)}, clock,
		rand.NewPCG(uint64(inc), rand.Uint64()))
}

func newWatcher(c kv.Client, members *peers.Table, clock clockwork.Clock, log *slog.Logger) *configwatch.Watcher {
	return configwatch.New(c, clock, log.With("part", "config"),
		configwatch.WatchWhen(func() bool { return members.IsResponsible("config", watchersPerDomain) }))
}

func newGuard(s *settings.Entry, inc incarnation, w *configwatch.Watcher, clock clockwork.Clock, log *slog.Logger) *guard.Guard {
	g := guard.New(s.Instance, int64(inc), clock, log.With("part", "guard"))
	w.OnKey(g.RecordStoredHalt)
	return g
}

func newPoller(s *settings.Entry, inc incarnation, t *endpoints.Table, w *configwatch.Watcher, members *peers.Table, log *slog.Logger) *endpoints.Poller {
	return endpoints.NewPoller(t, w.Table, members, s.Domain, int64(inc), s.Instances, log.With("part", "endpoints"))
}

func newQuarantine(s *settings.Entry, clock clockwork.Clock, log *slog.Logger) *quarantine.Table {
	return quarantine.New(quarantine.Deps{Clock: clock, Log: log.With("part", "quarantine")})
}

// newLimits returns rate limits that are each owned by one entry of the back end's failure domain.
func newLimits(s *settings.Entry, members *peers.Table, dial peers.Dial, clock clockwork.Clock, log *slog.Logger) *ratelimit.Limits {
	self := []fleet.Entry{{Instance: s.Instance, Domain: s.Domain}}
	owner := func(ep fleet.Endpoint) fleet.Entry {
		m := members.Responsible("limit/" + string(ep.ID))
		return fleet.Entry{Instance: m.Instance, Domain: m.Domain, Address: m.Address}
	}
	return ratelimit.New(ratelimit.Deps{Instance: s.Instance, Domain: s.Domain, Entries: func() []fleet.Entry { return self }, Owners: limitOwners{dial}, OwnerOf: owner,
		Clock: clock, Log: log.With("part", "ratelimit")})
}

// newGossip registers the gossip topics that entries exchange.
func newGossip(s *settings.Entry, members *peers.Table, dial peers.Dial, w *configwatch.Watcher, gd *guard.Guard, t *endpoints.Table, p *endpoints.Poller, q *quarantine.Table, rl *ratelimit.Limits, log *slog.Logger) *peers.Gossip {
	seeds := func() []string { return append(p.Seeds(), s.Peers...) }
	g := peers.NewGossip(members, seeds, dial, log.With("part", "peers"))
	g.Add(configwatch.NewTopic(w, dial), gd.Topic(members.Local), endpoints.NewTopic(t, w.Table, s.Domain), suspectTopic{q}, limitTopic{rl})
	w.OnChange(g.TriggerSpread)
	gd.OnHalt(g.TriggerSpread)
	return g
}

func newLedger(s *settings.Entry, inc incarnation, c kv.Client, members *peers.Table, clock clockwork.Clock, log *slog.Logger) *ledger.Ledger {
	holder := func() bool { return members.IsResponsible(ledgerGroup(s.Instance), 1) }
	return ledger.New(c, s.Instance, int64(inc), holder, clock, log.With("part", "ledger"))
}

func newDuty(s *settings.Entry, inc incarnation, c kv.Client, clock clockwork.Clock) *duty.Duty {
	return duty.New(c, "orders/"+s.Domain, fmt.Sprintf("%s/%d", s.Instance, inc), clock)
}

// ledgerGroup returns the name of the duty to write an instance's billing records.
func ledgerGroup(instance string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return fmt.Sprintf("ledger/%d", h.Sum32()%ledgerGroups)
}

// Shares of the process's memory for what clients take up.
const (
	// clientMemoryDivisor sets the part for connections, requests in progress, heads and bodies.
	clientMemoryDivisor = 2
	// headMemoryDivisor sets the part of it for heads, bodyMemoryDivisor that for bodies as decoded,
	// messageMemoryDivisor that for messages of peers, answerMemoryDivisor that for buffered answers.
	headMemoryDivisor    = 8
	bodyMemoryDivisor    = 4
	messageMemoryDivisor = 8
	answerMemoryDivisor  = 8
)

// clientMemory is the budget of what clients take up.
type clientMemory struct{ all, heads, bodies, answers, messages *membudget.Budget }

func newClientMemory(s *settings.Entry) clientMemory {
	total := int64(s.MemoryMB) << 20
	all := membudget.New(total / clientMemoryDivisor)
	return clientMemory{all: all, heads: all.Part(total / headMemoryDivisor), bodies: all.Part(total / bodyMemoryDivisor), answers: all.Part(total / answerMemoryDivisor), messages: all.Part(total / messageMemoryDivisor)}
}

func newReport(log *slog.Logger, m *telemetry.Metrics) *listen.Report {
	return listen.NewReport("server", log.With("part", "server"), m.Scope)
}

// newPool returns the pool of the connections of all addresses.
func newPool(s *settings.Entry, m clientMemory, r *listen.Report) *listen.Pool {
	return listen.NewPool(listen.PoolSettings{MaxDescriptors: listen.DivideDescriptors(s.MaxFDs).All, Memory: m.all, Heads: m.heads, OnClosed: r.Closed})
}

func newClaims(c kv.Client, clock clockwork.Clock) *idem.Claims { return idem.New(c, clock) }

func newGateway(s *settings.Entry, memory clientMemory, pool *listen.Pool, inc incarnation, w *configwatch.Watcher, t *endpoints.Table, billing *ledger.Ledger, claims *idem.Claims,
	gd *guard.Guard, q *quarantine.Table, rl *ratelimit.Limits, members *peers.Table, planner *cascade.Planner, gate *drain.Gate, clock clockwork.Clock, log *slog.Logger, m *telemetry.Metrics) (*gateway.Gateway, error) {
	keys, err := s.Keyring()
	if err != nil {
		return nil, err
	}
	d := gateway.Deps{
		Instance: s.Instance, Incarnation: int64(inc), Domain: s.Domain, Tables: w, Endpoints: t, Keys: keys, Bill: billing, Claims: claims,
		Guard: gd, Quarantine: q, Limits: rl, Planner: planner, Gate: gate, BodyMemory: memory.bodies, AnswerMemory: memory.answers, Connections: pool, Clock: clock, Log: log.With("part", "gateway"), Scope: m.Scope.SubScope("gateway"),
		Timeouts: gateway.Timeouts{FirstToken: s.FirstTokenTimeout, Idle: s.IdleTimeout, Unary: s.AnswerTimeout},
	}
	if s.Rater != "" {
		d.Rater = rater.NewClient(s.Rater)
	}
	return gateway.New(d), nil
}
