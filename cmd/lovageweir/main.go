// Command lovageweir is the entry daemon. `lovageweir edge` runs an entry on
// the users' platform. `lovageweir entry`, the default, runs one in front of
// OpenAI-compatible engines, configured through an etcd-compatible store.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/agent"
	"github.com/lovageweir/lovageweir/edge"
	"github.com/lovageweir/lovageweir/internal/daemon"
	"github.com/lovageweir/lovageweir/settings"
)

// gcPercent trades CPU time, of which an entry uses little, for memory, of which
// its instance has little: a configuration change produces garbage ten times its
// size, and at Go's default of 100 an entry peaked at 61 MB of its 64
// (docs/CAPACITY.md). GOGC in the environment takes precedence.
const gcPercent = 50

// A process usually starts because another has ended, and callers are refused
// connections until it listens. At gcPercent it would collect twice before that, a
// quarter of the CPU time of its start; at startGCPercent it does not collect.
// startMemoryLimit keeps a large configuration that is read meanwhile from growing
// the heap to three times its size: near the limit the collector runs whatever the
// percentage. After startPeriod the process has started and read its configuration.
const (
	startGCPercent   = 200
	startMemoryLimit = 40 << 20
	startPeriod      = 2 * time.Second
)

func main() {
	var memoryLimit atomic.Int64 // after startPeriod
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(startGCPercent)
		memoryLimit.Store(debug.SetMemoryLimit(startMemoryLimit))
		time.AfterFunc(startPeriod, func() {
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(memoryLimit.Load())
		})
	}
	app := kingpin.New("lovageweir", "Model-aware router: the entry daemon.")
	entryCmd := app.Command("entry", "Serve the OpenAI interface.").Default()
	entryPath := entryCmd.Flag("config", "Settings file (YAML).").Short('c').Required().ExistingFile()
	edgeCmd := app.Command("edge", "Serve on the users' platform.")
	edgePath := edgeCmd.Flag("settings", "Settings file (YAML).").Short('s').Required().ExistingFile()
	var module fx.Option
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case entryCmd.FullCommand():
		set, err := settings.Load(*entryPath)
		exitOnError("settings", err)
		memoryLimit.Store(set.MemoryLimit())
		module = agent.Module(set)
	case edgeCmd.FullCommand():
		set, err := edge.Load(*edgePath)
		exitOnError("settings", err)
		memoryLimit.Store(set.MemoryLimit())
		callers, err := edge.OpenCallers(set)
		exitOnError("start", err)
		module = edge.Module(edge.Options{Settings: set, Path: *edgePath, Callers: callers})
	}
	os.Exit(daemon.Run(fx.New(module)))
}

func exitOnError(step string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovageweir: %s: %v\n", step, err)
		os.Exit(2)
	}
}
