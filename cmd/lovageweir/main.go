// Command lovageweir is the entry daemon. `lovageweir edge` runs an entry on
// the users' platform; `lovageweir entry`, the default, one in front of
// OpenAI-compatible engines, configured through an etcd-compatible store.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/agent"
	"github.com/lovageweir/lovageweir/edge"
	"github.com/lovageweir/lovageweir/internal/daemon"
	"github.com/lovageweir/lovageweir/settings"
)

// gcPercent trades processor time, of which an entry uses little, for memory,
// of which its instance has little: a configuration change makes garbage ten
// times its size, and at Go's default of 100 an entry peaked at 61 MB of its
// 64 (docs/CAPACITY.md). GOGC in the environment goes first.
const gcPercent = 50

// A process that starts does so because another has ended, and callers are
// refused connections until it listens. At gcPercent it collects twice before
// that, a quarter of the processor time of its start; at startGCPercent it does
// not. startMemory keeps a large configuration, read meanwhile, from making the
// heap three times its size: near it the collector runs whatever the percentage.
// settled is when the process has started and read its configuration.
const (
	startGCPercent = 200
	startMemory    = 40 << 20
	settled        = 2 * time.Second
)

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(startGCPercent)
		unlimited := debug.SetMemoryLimit(startMemory)
		time.AfterFunc(settled, func() {
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(unlimited)
		})
	}
	app := kingpin.New("lovageweir", "Model-aware router: the entry daemon.")
	entry := app.Command("entry", "Serve the OpenAI interface.").Default()
	entryPath := entry.Flag("config", "Settings file (YAML).").Short('c').Required().ExistingFile()
	onPlatform := app.Command("edge", "Serve on the users' platform.")
	edgePath := onPlatform.Flag("settings", "Settings file (YAML).").Short('s').Required().ExistingFile()
	var module fx.Option
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case entry.FullCommand():
		set, err := settings.Load(*entryPath)
		exitOn("settings", err)
		module = agent.Module(set)
	case onPlatform.FullCommand():
		set, err := edge.Load(*edgePath)
		exitOn("settings", err)
		callers, err := edge.OpenCallers(set)
		exitOn("start", err)
		module = edge.Module(edge.Options{Settings: set, Path: *edgePath, Callers: callers})
	}
	os.Exit(daemon.Run(fx.New(module)))
}

func exitOn(doing string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovageweir: %s: %v\n", doing, err)
		os.Exit(2)
	}
}
