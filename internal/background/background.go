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

// Bounds of the last work of a planned stop.
const (
	// tryFor bounds one try: a connection that has gone silent is given up
	// then, and the next try is on another. The platform answers in
	// milliseconds.
	tryFor = 2 * time.Second
	// tryPause is between two tries, few enough for a service in trouble.
	tryPause = 250 * time.Millisecond
)

// Persist calls try until it succeeds, and at the longest for limit. It is for
// the last work of a planned stop: what fails then is lost with the process,
// and a service that is away for a moment would be enough for that. The limit
// keeps it from using up the time of what is to be done after it. It returns
// the error of the last try.
func Persist(ctx context.Context, limit time.Duration, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := tryOnce(ctx, try)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(tryPause):
		case <-ctx.Done():
			return err
		}
	}
}

func tryOnce(ctx context.Context, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	return try(ctx)
}
