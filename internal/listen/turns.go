package listen

import (
	"net/http"
	"time"
)

// Bounds of a handler whose answers are built whole.
const (
	// turnWait is how long a request waits for the one before it.
	turnWait = 2 * time.Second
	// turnTime is how long an answer may take to be read.
	turnTime = 5 * time.Second
)

// InTurn returns a handler that serves one request at a time, and refuses those that wait too long: next builds large
// answers in memory.
func InTurn(next http.Handler) http.Handler {
	turn := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait := time.NewTimer(turnWait)
		defer wait.Stop()
		select {
		case turn <- struct{}{}:
		case <-wait.C:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-r.Context().Done():
			return
		}
		defer func() { <-turn }()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(turnTime)) // net/http resets it for the next request
		next.ServeHTTP(w, r)
	})
}
