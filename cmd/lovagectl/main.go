// Command lovagectl is the tool for operators and benchmarks: it applies
// configuration, reads status, runs stand-ins for external systems and generates
// load.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/command/apply"
	"github.com/lovageweir/lovageweir/command/billing"
	"github.com/lovageweir/lovageweir/command/diff"
	"github.com/lovageweir/lovageweir/command/dump"
	"github.com/lovageweir/lovageweir/command/explain"
	"github.com/lovageweir/lovageweir/command/load"
	"github.com/lovageweir/lovageweir/command/soak"
	"github.com/lovageweir/lovageweir/command/standin"
	"github.com/lovageweir/lovageweir/command/status"
	"github.com/lovageweir/lovageweir/command/synth"
	"github.com/lovageweir/lovageweir/command/validate"
)

func main() {
	app := kingpin.New("lovagectl", "Operate and measure lovageweir.")
	validate.Register(app)
	diff.Register(app)
	apply.Register(app)
	status.Register(app)
	dump.Register(app)
	billing.Register(app)
	explain.Register(app)
	load.Register(app)
	synth.Register(app)
	standin.Register(app)
	soak.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "lovagectl:", err)
		os.Exit(1)
	}
}
