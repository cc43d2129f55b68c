// Package dump implements `lovagectl dump`: it prints the state dump of entries
// and stand-ins, given by URL.
package dump

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

const requestTimeout = 5 * time.Second

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("dump", "Print the state dump of processes.")
	urls := cmd.Flag("entry", "Base URL of an entry or stand-in (repeat).").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		hc := &http.Client{Timeout: requestTimeout}
		failed := 0
		for _, u := range *urls {
			fmt.Printf("== %s\n", u)
			if err := dumpState(hc, strings.TrimSuffix(u, "/")+"/debug/state"); err != nil {
				failed++
				fmt.Fprintf(os.Stderr, "lovagectl: dump: %v\n", err)
			}
		}
		if failed > 0 {
			return trace.ConnectionProblem(nil, "%d of %d processes gave no dump", failed, len(*urls))
		}
		return nil
	})
}

func dumpState(hc *http.Client, url string) error {
	resp, err := hc.Get(url)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s answered %d", url, resp.StatusCode)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return trace.Wrap(err)
}
