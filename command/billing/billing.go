// Package billing implements `lovagectl billing`: it sums the usage of each
// customer from the ledger in the platform KV, counting each request once.
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

const readTimeout = 30 * time.Second

// usage is the total of one customer.
type usage struct{ requests, unknown, tokens int }

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("billing", "Sum the ledger by customer.")
	client := command.KVFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		records, repeated, err := ledger.Read(ctx, client())
		if err != nil {
			return err
		}
		byCustomer := map[string]usage{}
		for _, r := range records {
			u := byCustomer[r.Customer]
			u.requests++
			u.tokens += r.Tokens()
			if r.Outcome == ledger.OutcomeUnknown {
				u.unknown++
			}
			byCustomer[r.Customer] = u
		}
		fmt.Printf("%-24s %10s %10s %12s\n", "customer", "requests", "unknown", "tokens")
		for _, c := range slices.Sorted(maps.Keys(byCustomer)) {
			fmt.Printf("%-24s %10d %10d %12d\n", c, byCustomer[c].requests, byCustomer[c].unknown, byCustomer[c].tokens)
		}
		fmt.Fprintf(os.Stderr, "%d repeated record(s) counted once\n", repeated)
		return nil
	})
}
