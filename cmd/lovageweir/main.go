// Command lovageweir is the entry daemon: the caller-facing router that
// checks each request against its customer's allowed models and versions,
// picks a back end and relays the answer.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/fx"

	"github.com/lovageweir/lovageweir/agent"
	"github.com/lovageweir/lovageweir/settings"
)

func main() {
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
