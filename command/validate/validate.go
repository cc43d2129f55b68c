// Package validate implements `lovagectl validate DIR`: it merges and checks a
// configuration folder without applying it, and reports every finding with its
// location.
package validate

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/config"
)

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("validate", "Check a configuration folder without applying it.")
	dir := cmd.Arg("dir", "Folder of YAML files, merged in name order.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error {
		d, err := config.LoadValid(*dir)
		if err != nil {
			return err
		}
		fmt.Printf("valid: %d customers, %d models, %d cascades, %d back ends\n", len(d.Customers), len(d.Models), len(d.Cascades), len(d.Backends))
		return nil
	})
}
