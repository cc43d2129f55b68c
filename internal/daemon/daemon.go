// Package daemon runs an application from start to graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"
)

// Run starts app, waits for SIGINT or SIGTERM, and stops it. It returns the exit
// code.
//
// fx.App.Run listens for signals only after everything has started; until then
// SIGTERM kills the process at once, and requests that it is already serving get
// no response. Run listens before anything starts, so a process that gets SIGTERM
// during startup finishes starting and then shuts down gracefully.
func Run(app *fx.App) (exitCode int) {
	signals := app.Wait()
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		fmt.Fprintln(os.Stderr, "lovageweir: start:", err)
		return 1
	}
	signal := <-signals
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, "lovageweir: stop:", err)
		return 1
	}
	return signal.ExitCode
}
