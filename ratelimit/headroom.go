package ratelimit

import (
	"sync"
	"time"
)

// A limit counts requests regardless of how much work they are. A limited endpoint takes on
// most of a service's work if it gets the longest requests, so the others leave room for those.
const (
	// A request with at least heavyFactor times the mean work of its service is heavy, and may
	// use all the room there is.
	heavyFactor = 2
	// LightHeadroom is the headroom that other requests leave unused, in requests.
	LightHeadroom = 1.0
	// workGain is the weight of one request in the moving average: about twenty count.
	workGain = 0.05
)

// workStats holds the mean work of requests by service. It is safe for concurrent use.
type workStats struct {
	mu   sync.Mutex
	mean map[string]float64 // seconds
}

// Headroom returns how much of a limit, in requests, a request of a service must leave unused, given how
// long an endpoint works on it. It adds the request to the mean work of the service.
func (l *Limits) Headroom(service string, work time.Duration) float64 {
	w := &l.workStats
	w.mu.Lock()
	defer w.mu.Unlock()
	mean, known := w.mean[service]
	if !known {
		mean = work.Seconds()
	}
	mean += workGain * (work.Seconds() - mean)
	if w.mean == nil {
		w.mean = map[string]float64{}
	}
	w.mean[service] = mean
	if work.Seconds() < heavyFactor*mean {
		return LightHeadroom
	}
	return 0
}
