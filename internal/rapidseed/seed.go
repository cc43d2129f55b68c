// Package rapidseed fixes the seed of property tests, so that every CI run
// draws the same cases and gives the same verdict. Test files import it for
// its effect. To explore, pass -rapid.seed=N (and -rapid.checks=N) to go
// test: flags on the command line come after this and win.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is any fixed number but 0, which means a random one.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
