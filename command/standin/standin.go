// Package standin implements `lovagectl standin NAME`: it runs one stand-in for an
// external system as a separate process on loopback.
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

	"github.com/lovageweir/lovageweir/config"
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
	registerEngines(cmd)
	registerService(cmd)
	registerRater(cmd)
	registerInstances(cmd)
	registerWeights(cmd)
	registerPlatform(cmd)
}

// subcommand adds a stand-in's subcommand with its --listen flag.
func subcommand(parent *kingpin.CmdClause, name, help string) (*kingpin.CmdClause, *string) {
	cmd := parent.Command(name, help)
	return cmd, cmd.Flag("listen", "host:port").Required().String()
}

func registerKV(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "kv", "The platform key-value service.")
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("kv", *address, kvserver.New(clockwork.NewRealClock()).Handler())
	})
}

func registerEngine(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "engine", "A model engine serving one version.")
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
		log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", "engine", "listen", *address)
		return run("engine", *address, engine.New(s, log).Handler())
	})
}

// registerEngines runs stand-ins for all back ends of a configuration folder in one
// process, for measurements at the target size and for the example configurations.
func registerEngines(parent *kingpin.CmdClause) {
	cmd := parent.Command("engines", "Every engine of a configuration folder, in one process.")
	dir := cmd.Arg("dir", "Configuration folder.").Required().ExistingDir()
	domain := cmd.Flag("domain", "Only this failure domain's.").String()
	var s engine.Settings
	cmd.Flag("step", "Time per token.").Default("5ms").DurationVar(&s.Step)
	cmd.Flag("capacity", "Concurrent requests of each.").Default("64").IntVar(&s.Capacity)
	cmd.Flag("prefill", "Time per kilobyte of prompt not cached.").Default("0s").DurationVar(&s.PrefillPerKB)
	cmd.Action(func(*kingpin.ParseContext) error {
		doc, err := config.Load(*dir)
		if err != nil {
			return err
		}
		log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", "engines")
		n := 0
		for _, b := range doc.Backends {
			if *domain != "" && b.Domain != *domain {
				continue
			}
			h := service.New(s.Step).Handler()
			if b.Kind == config.KindEngine {
				engineSettings := s
				engineSettings.Model, engineSettings.Version = b.Model, b.Version
				h = engine.New(engineSettings, log).Handler()
			}
			if _, err := listen(b.Address, h); err != nil {
				return err
			}
			n++
		}
		log.Info("engines: listening.", "back_ends", n)
		waitForSignal()
		return nil
	})
}

func registerService(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "service", "A plain service that records every execution.")
	work := cmd.Flag("work", "Time per call.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("service", *address, service.New(*work).Handler())
	})
}

func registerRater(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "rater", "The service that rates answers.")
	skill := cmd.Flag("skill", `Skills as JSON, e.g. {"draft-small":0.4,"draft-large@v2":0.1}.`).Default("{}").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		var s raterd.Settings
		if err := json.Unmarshal([]byte(*skill), &s.Skill); err != nil {
			return err
		}
		return run("rater", *address, raterd.New(s).Handler())
	})
}

func registerInstances(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "instances", "The platform's list of instances.")
	lag := cmd.Flag("lag", "How late a change is served.").Default("1s").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("instances", *address, instances.New(clockwork.NewRealClock(), *lag).Handler())
	})
}

func registerWeights(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "weights", "The rate-limited weight store.")
	interval := cmd.Flag("interval", "Time that one fetch earns back.").Default("1s").Duration()
	burst := cmd.Flag("burst", "Fetches at once.").Default("4").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		return run("weights", *address, weights.New(clockwork.NewRealClock(), *interval, *burst).Handler())
	})
}

// listen serves h on address in the background.
func listen(address string, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return srv, nil
}

func waitForSignal() {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
	<-sig
}

// run serves h on address until SIGINT or SIGTERM.
func run(part, address string, h http.Handler) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", part)
	srv, err := listen(address, h)
	if err != nil {
		return err
	}
	log.Info(part+": listening.", "address", address)
	waitForSignal()
	log.Info(part + ": stopping.")
	return srv.Close()
}
