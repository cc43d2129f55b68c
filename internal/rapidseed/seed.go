// Package rapidseed fixes the seed of property tests, so that every CI run
// draws the same cases and gives the same result. Test files import it for its
// side effect. To try other cases, pass -rapid.seed=N (and -rapid.checks=N) to
// go test: command-line flags are parsed later and take precedence.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed may be any number except 0, which rapid takes as a random seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
