// Package standin is `lovagectl standin NAME`: runs one stand-in for an
// outside system as its own process on loopback.
package standin

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/standin/engine"
	"github.com/lovageweir/lovageweir/standin/instances"
	"github.com/lovageweir/lovageweir/standin/kvserver"
	"github.com/lovageweir/lovageweir/standin/raterd"
	"github.com/lovageweir/lovageweir/standin/service"
	"github.com/lovageweir/lovageweir/standin/weights"
)

// Register adds the subcommands to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("standin", "Run a stand-in for an outside system.")
	registerKV(cmd)
	registerEngine(cmd)
	registerService(cmd)
	registerRater(cmd)
	registerInstances(cmd)
	registerWeights(cmd)
}

// clause is a stand-in's subcommand with the address it listens on.
func clause(parent *kingpin.CmdClause, name, help string) (*kingpin.CmdClause, *string) {
	cmd := parent.Command(name, help)
	return cmd, cmd.Flag("listen", "host:port").Required().String()
}

func registerKV(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "kv", "The platform key-value service.")
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("kv", *listen, kvserver.New(clockwork.NewRealClock()).Handler())
	})
}

func registerEngine(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "engine", "A model engine serving one version.")
	var s engine.Settings
	cmd.Flag("model", "Model name.").Required().StringVar(&s.Model)
	cmd.Flag("version", "Version name.").Required().StringVar(&s.Version)
	cmd.Flag("step", "Time per token.").Default("5ms").DurationVar(&s.Step)
	cmd.Flag("capacity", "Concurrent requests.").Default("8").IntVar(&s.Capacity)
	cmd.Flag("prefill", "Time per kilobyte of prompt not cached.").Default("0s").DurationVar(&s.PrefillPerKB)
	cmd.Flag("cache-blocks", "Prefix cache size, in blocks of 256 bytes.").Default("1024").IntVar(&s.CacheBlocks)
	cmd.Flag("report-lag", "Age of a load report.").Default("0s").DurationVar(&s.ReportLag)
	cmd.Flag("load-time", "Time to load a version.").Default("0s").DurationVar(&s.LoadTime)
	cmd.Flag("weights", "Weight store URL.").StringVar(&s.Weights)
	cmd.Flag("ignore-fencing", "Obey orders with an old fencing number.").BoolVar(&s.IgnoreFencing)
	cmd.Action(func(*kingpin.ParseContext) error {
		log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", "engine", "listen", *listen)
		return run("engine", *listen, engine.New(s, log).Handler())
	})
}

func registerService(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "service", "A plain service that records every execution.")
	work := cmd.Flag("work", "Time per call.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("service", *listen, service.New(*work).Handler())
	})
}

func registerRater(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "rater", "The service that rates answers.")
	skill := cmd.Flag("skill", `Skills as JSON, e.g. {"draft-small":0.4,"draft-large@v2":0.1}.`).Default("{}").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		var s raterd.Settings
		if err := json.Unmarshal([]byte(*skill), &s.Skill); err != nil {
			return err
		}
		return run("rater", *listen, raterd.New(s).Handler())
	})
}

func registerInstances(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "instances", "The platform's list of instances.")
	lag := cmd.Flag("lag", "How late a change is served.").Default("1s").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("instances", *listen, instances.New(clockwork.NewRealClock(), *lag).Handler())
	})
}

func registerWeights(parent *kingpin.CmdClause) {
	cmd, listen := clause(parent, "weights", "The rate-limited weight store.")
	interval := cmd.Flag("interval", "Time that one fetch earns back.").Default("1s").Duration()
	burst := cmd.Flag("burst", "Fetches at once.").Default("4").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("weights", *listen, weights.New(clockwork.NewRealClock(), *interval, *burst).Handler())
	})
}

// run serves h on listen until SIGINT or SIGTERM.
func run(part, listen string, h http.Handler) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", part)
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	log.Info(part+": listening.", "address", ln.Addr().String())
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
	<-sig
	log.Info(part + ": stopping.")
	return srv.Close()
}
