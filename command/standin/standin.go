// Package standin is `lovagectl standin kv|engine`: runs one stand-in for an
// outside system as its own process on loopback.
package standin

import (
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
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

// Register adds the subcommands to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("standin", "Run a stand-in for an outside system.")
	registerKV(cmd)
	registerEngine(cmd)
}

func registerKV(parent *kingpin.CmdClause) {
	cmd := parent.Command("kv", "The platform key-value service.")
	listen := cmd.Flag("listen", "host:port").Default("127.0.0.1:2379").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		srv := kvserver.New(clockwork.NewRealClock())
		return run("kv", *listen, srv.Handler())
	})
}

func registerEngine(parent *kingpin.CmdClause) {
	cmd := parent.Command("engine", "A model engine serving one version.")
	listen := cmd.Flag("listen", "host:port").Required().String()
	model := cmd.Flag("model", "Model name.").Required().String()
	version := cmd.Flag("version", "Version name.").Required().String()
	step := cmd.Flag("step", "Time per token.").Default("5ms").Duration()
	capacity := cmd.Flag("capacity", "Concurrent requests.").Default("8").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("part", "engine", "listen", *listen)
		e := engine.New(engine.Settings{Model: *model, Version: *version, Step: *step, Capacity: *capacity}, log)
		return run("engine", *listen, e.Handler())
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
