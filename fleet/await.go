package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// Calls of a watcher while the store does not answer.
const (
	// probeInterval is the mean time between the first calls; it grows up to maxProbeInterval.
	probeInterval    = 150 * time.Millisecond
	maxProbeInterval = 300 * time.Millisecond
	// maxProbes may be in progress: they fail after up to a second if the store is silent.
	maxProbes = 6
)

// awaitStore calls the store again and again until it answers, without waiting for the answers to
// earlier calls: the others depend on how soon a watcher hears it again. It returns an error if this
// entry is no watcher any more, or ctx has ended. Calls may still be in progress then; Run waits for
// them.
func (f *Follower) awaitStore(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{}, 1)
	calls := make(chan struct{}, maxProbes) // in progress
	for interval := probeInterval; f.isWatcher(); interval = min(maxProbeInterval, interval*6/5) {
		select {
		case <-answered:
			return nil
		case <-f.clock.After(time.Duration(float64(interval) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case calls <- struct{}{}:
		default:
			continue
		}
		after := f.items.Revision()
		f.probes.Go(func() {
			defer func() { <-calls }()
			_, _, err := f.store.WatchOnce(ctx, "", true, after, time.Millisecond)
			if err != nil && !errors.Is(err, kv.ErrNewEra) && !errors.Is(err, kv.ErrCompacted) {
				return
			}
			select {
			case answered <- struct{}{}:
			default:
			}
		})
	}
	return kv.ErrUnavailable
}
