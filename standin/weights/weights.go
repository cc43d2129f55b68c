package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/standin/control"
)

// Store limits fetches with a token bucket: one per interval, and up to burst at
// once.
type Store struct {
	clock    clockwork.Clock
	interval time.Duration
	burst    int

	mu      sync.Mutex
	fullAt  time.Time // when the token bucket is full again
	served  int64
	refused int64
}

// New returns a store.
func New(clock clockwork.Clock, interval time.Duration, burst int) *Store {
	return &Store{clock: clock, interval: interval, burst: max(burst, 1)}
}

// take returns 0 if it got a token, and otherwise how long until one is available.
func (s *Store) take() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.fullAt.Before(now) {
		s.fullAt = now
	}
	untilFull := s.fullAt.Sub(now)
	if limit := s.interval * time.Duration(s.burst-1); untilFull > limit {
		s.refused++
		return untilFull - limit
	}
	s.fullAt = s.fullAt.Add(s.interval)
	s.served++
	return 0
}

// State is the store's state dump.
type State struct {
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
}

// Handler serves GET /weights/{model}/{version} and GET /debug/state.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if d := s.take(); d > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(d/time.Second)+1))
			http.Error(w, "too many fetches", http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte(r.PathValue("model") + "@" + r.PathValue("version")))
	})
	control.State(mux, func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return State{Served: s.served, Refused: s.refused}
	})
	return mux
}
