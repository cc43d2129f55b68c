package daemon

import (
	"context"
	"errors"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx"
)

// Symptom: requests that were read get no answer as an entry starts.
// Events: SIGTERM comes when callers are served already and not everything has
// started.
// Cause: nobody listened for signals yet, so that it ended the process at once.
// A process that does so ends this test's.
func TestSIGTERMWhileStartingIsAPlannedStop(t *testing.T) {
	is := is.New(t)
	stopped := false
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error { return syscall.Kill(syscall.Getpid(), syscall.SIGTERM) },
			OnStop:  func(context.Context) error { stopped = true; return nil },
		})
	}))
	is.Equal(Run(app), 0)
	is.True(stopped)
}

func TestAStartThatFailsIsAFailure(t *testing.T) {
	is := is.New(t)
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.StartHook(func() error { return errors.New("no") }))
	}))
	is.Equal(Run(app), 1)
}
