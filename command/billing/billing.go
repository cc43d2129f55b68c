// Package billing is `lovagectl billing`: what each customer used, from the
// ledger in the platform KV, each request counted once.
package billing

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lovageweir/lovageweir/command"
	"github.com/lovageweir/lovageweir/ledger"
)

const callWait = 30 * time.Second

// usage is one customer's line.
type usage struct{ requests, unknown, tokens int }

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("billing", "Sum the ledger by customer.")
	client := command.KVFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), callWait)
		defer cancel()
		recs, repeated, err := ledger.Read(ctx, client())
		if err != nil {
			return err
		}
		by := map[string]usage{}
		for _, r := range recs {
			u := by[r.Customer]
			u.requests++
			u.tokens += r.Tokens()
			if r.Outcome == ledger.OutcomeUnknown {
				u.unknown++
			}
			by[r.Customer] = u
		}
		fmt.Printf("%-24s %10s %10s %12s\n", "customer", "requests", "unknown", "tokens")
		for _, c := range slices.Sorted(maps.Keys(by)) {
			fmt.Printf("%-24s %10d %10d %12d\n", c, by[c].requests, by[c].unknown, by[c].tokens)
		}
		fmt.Fprintf(os.Stderr, "%d repeated record(s) counted once\n", repeated)
		return nil
	})
}
