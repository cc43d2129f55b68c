// Package background runs a daemon's long-lived loops from its start to its
// stop.
package background

import (
	"context"
	"time"

	"go.uber.org/fx"
)

// Run runs a loop from start until stop, then last, if it is not nil.
func Run(lc fx.Lifecycle, loop, last func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(done); loop(ctx) }()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			<-done
			if last != nil {
				last(stopCtx)
			}
			return nil
		},
	})
}

// Every is the loop that calls tick at each interval.
func Every(interval time.Duration, tick func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				tick(ctx)
			case <-ctx.Done():
				return
			}
		}
	}
}
