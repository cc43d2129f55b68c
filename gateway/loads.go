package gateway

import "sync"

// Loads is the entry's view of back-end load: requests this entry has in
// flight on each back end. Reported engine load (which lags) is added by the
// poller; leaving back ends are marked from the instance list.
type Loads struct {
	mu       sync.Mutex
	inFlight map[string]int
	reported map[string]int
	leaving  map[string]bool
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{inFlight: map[string]int{}, reported: map[string]int{}, leaving: map[string]bool{}}
}

// State implements route.Loads.
func (l *Loads) State(b string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[b] + l.reported[b], l.leaving[b]
}

// Begin counts one request on b; the returned func ends it.
func (l *Loads) Begin(b string) func() {
	l.mu.Lock()
	l.inFlight[b]++
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.inFlight[b]--
		l.mu.Unlock()
	}
}

// SetReported records b's last reported load.
func (l *Loads) SetReported(b string, n int) {
	l.mu.Lock()
	l.reported[b] = n
	l.mu.Unlock()
}

// SetLeaving marks b as leaving or back.
func (l *Loads) SetLeaving(b string, leaving bool) {
	l.mu.Lock()
	l.leaving[b] = leaving
	l.mu.Unlock()
}

// Snapshot copies the table for the state dump.
func (l *Loads) Snapshot() map[string]map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]map[string]any{}
	add := func(b, k string, v any) {
		if out[b] == nil {
			out[b] = map[string]any{}
		}
		out[b][k] = v
	}
	for b, n := range l.inFlight {
		add(b, "in_flight", n)
	}
	for b, n := range l.reported {
		add(b, "reported", n)
	}
	for b, v := range l.leaving {
		add(b, "leaving", v)
	}
	return out
}
