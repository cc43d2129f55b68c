// Command lovageweir is the entry daemon: the caller-facing router that
// checks each request against its customer's allowed models and versions,
// picks a back end and relays the answer.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/agent"
	"github.com/lovageweir/lovageweir/settings"
)

// gcPercent trades processor time, of which an entry uses little, for memory,
// of which its instance has little: a configuration change makes garbage ten
// times its size, and at Go's default of 100 an entry peaked at 61 MB of its
// 64 (docs/CAPACITY.md). GOGC in the environment goes first.
const gcPercent = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	app := kingpin.New("lovageweir", "Model-aware router: the entry daemon.")
	cfg := app.Flag("config", "Settings file (YAML).").Short('c').Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	set, err := settings.Load(*cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovageweir: settings:", err)
		os.Exit(2)
	}
	fx.New(agent.Module(set)).Run()
}
