// Package synth implements `lovagectl synth DIR`: it writes a synthetic
// configuration folder of a given size, for experiments at the target size.
package synth

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/lovageweir/lovageweir/config"
	isynth "github.com/lovageweir/lovageweir/internal/synth"
)

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("synth", "Write a synthetic configuration folder of a given size.")
	dir := cmd.Arg("dir", "Folder to write (created).").Required().String()
	size := isynth.Target
	cmd.Flag("customers", "Customers.").Default("2000").IntVar(&size.Customers)
	cmd.Flag("backends", "Back ends.").Default("3600").IntVar(&size.Backends)
	cmd.Flag("models", "Models.").Default("9").IntVar(&size.Models)
	cmd.Flag("domains", "Failure domains.").Default("13").IntVar(&size.Domains)
	cmd.Action(func(*kingpin.ParseContext) error {
		doc := isynth.Document(size)
		if err := os.MkdirAll(*dir, 0o755); err != nil {
			return trace.Wrap(err)
		}
		// One file per section, as in operators' folders.
		parts := map[string]config.Document{
			"10-models.yaml":    {Models: doc.Models, Cascades: doc.Cascades},
			"20-customers.yaml": {Customers: doc.Customers},
			"30-backends.yaml":  {Backends: doc.Backends},
		}
		for name, part := range parts {
			b, err := yaml.Marshal(part)
			if err != nil {
				return trace.Wrap(err)
			}
			if err := os.WriteFile(filepath.Join(*dir, name), b, 0o644); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
}
