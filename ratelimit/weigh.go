package ratelimit

import (
	"sync"
	"time"
)

// A limit counts requests, whatever work they are. An endpoint that takes few of them does
// the most of a service's work if these are the ones that take the longest, so that
// others leave room for them.
const (
	// heavyTimes the usual work of a request is that of one that takes whatever room
	// there is.
	heavyTimes = 2
	// LightLeaves is how much room others leave, in requests.
	LightLeaves = 1.0
	// workGain is the weight of one request in what is usual: some twenty count.
	workGain = 0.05
)

// weights are the usual work of requests, by service. They are safe for concurrent use.
type weights struct {
	mu    sync.Mutex
	usual map[string]float64 // seconds
}

// Leaves returns how much room a request of a service leaves at an endpoint that names a
// limit, by how long an endpoint is at work for it, and counts it for what is usual.
func (l *Limits) Leaves(service string, work time.Duration) float64 {
	w := &l.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	usual, known := w.usual[service]
	if !known {
		usual = work.Seconds()
	}
	usual += workGain * (work.Seconds() - usual)
	if w.usual == nil {
		w.usual = map[string]float64{}
	}
	w.usual[service] = usual
	if work.Seconds() < heavyTimes*usual {
		return LightLeaves
	}
	return 0
}
