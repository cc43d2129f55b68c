package fleet_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
)

// failingStore fails each watch after some time, also if the caller gave it up before.
type failingStore struct {
	kv.Client
	takes      time.Duration
	inProgress atomic.Int32
}

func (s *failingStore) WatchOnce(context.Context, string, bool, kv.Revision, time.Duration) (kv.Revision, []kv.Event, error) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	time.Sleep(s.takes)
	return 0, nil, kv.ErrUnavailable
}

// Guards against calls to a store that does not answer which go on after Run returned.
func TestRunReturnsOnceItsCallsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := &failingStore{Client: memkv.New(clock), takes: 700 * time.Millisecond}
		_, err := store.Put(t.Context(), self.Key(), []byte(`{"instance":"`+self.Instance+`","domain":"`+self.Domain+`","address":"a","boot":1}`), 0)
		is.NoErr(err)
		f := fleet.NewFollower(self, store, platform.Values{}, time.Second, clock, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		for store.inProgress.Load() < 2 { // the watch failed, and calls overlap
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-done
		is.Equal(store.inProgress.Load(), int32(0)) // Run returned while calls were in progress
	})
}
