// Command lovagectl is the operators' and bench tool: apply configuration,
// read status, run stand-ins for outside systems, and drive load.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/command/apply"
	"github.com/lovageweir/lovageweir/command/load"
	"github.com/lovageweir/lovageweir/command/standin"
	"github.com/lovageweir/lovageweir/command/status"
	"github.com/lovageweir/lovageweir/command/synth"
)

func main() {
	app := kingpin.New("lovagectl", "Operate and measure lovageweir.")
	apply.Register(app)
	load.Register(app)
	status.Register(app)
	synth.Register(app)
	standin.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lovagectl:", err)
		os.Exit(1)
	}
}
