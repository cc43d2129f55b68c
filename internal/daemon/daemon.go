// Package daemon runs a process from its start to its planned stop.
package daemon

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"
)

// Run starts app, waits for SIGINT or SIGTERM, and stops it. It returns the code
// to exit with.
//
// fx.App.Run listens for signals only once everything has started; until then
// SIGTERM ends a process at once, and the requests that it serves by then get no
// answer. Here it listens before anything starts: a process that is told to stop
// while it starts comes up first, and then stops as planned.
func Run(app *fx.App) (exitCode int) {
	stop := app.Wait()
	starting, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(starting); err != nil {
		fmt.Fprintln(os.Stderr, "lovageweir: start:", err)
		return 1
	}
	signal := <-stop
	stopping, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		fmt.Fprintln(os.Stderr, "lovageweir: stop:", err)
		return 1
	}
	return signal.ExitCode
}
