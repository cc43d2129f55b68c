// Package background runs long-lived loops within a daemon's lifecycle.
package background

import (
	"context"
	"time"

	"go.uber.org/fx"
)

// Run runs loop from start until stop. If last is not nil, it runs after the loop
// has returned.
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

// Every returns a loop that calls tick at each interval.
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

// Retry parameters of RetryFor.
const (
	// tryTimeout bounds one attempt: a connection that has gone silent is
	// abandoned then, and the next attempt uses another. The platform answers
	// in milliseconds.
	tryTimeout = 2 * time.Second
	// retryInterval is the pause between attempts, long enough not to overload a
	// failing service.
	retryInterval = 250 * time.Millisecond
)

// RetryFor retries try until it succeeds or limit has passed, and returns the
// error of the last attempt. It is for the final work of a planned stop, which
// would be lost with the process if a service is briefly unavailable. The limit
// leaves time for the shutdown steps that follow.
func RetryFor(ctx context.Context, limit time.Duration, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := tryOnce(ctx, try)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func tryOnce(ctx context.Context, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return try(ctx)
}
