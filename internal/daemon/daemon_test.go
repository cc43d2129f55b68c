package daemon

import (
	"context"
	"errors"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx"
)

// Guards against requests that are read and never answered while an entry starts:
// SIGTERM arrives when it already serves callers but has not fully started. With no
// signal handler installed yet, the signal killed the process; here it would kill
// the test process.
func TestSIGTERMDuringStartShutsDownGracefully(t *testing.T) {
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

func TestFailedStartExitsNonZero(t *testing.T) {
	is := is.New(t)
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.StartHook(func() error { return errors.New("no") }))
	}))
	is.Equal(Run(app), 1)
}
