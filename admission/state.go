package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

// ServiceState is a service's part of the state dump.
type ServiceState struct {
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	// OldestMS is how long the request that has waited longest does.
	OldestMS int64 `json:"oldest_ms"`
	// PerSecond is the rate at which requests get capacity here, RequestMS how long one holds it.
	PerSecond float64 `json:"per_second"`
	RequestMS int64   `json:"request_ms"`
	Slots     int     `json:"slots"`
	// Full are the endpoints that refused a request of late, Promised the callers told to come back.
	Full      int    `json:"full"`
	Promised  int    `json:"promised"`
	OpensInMS int64  `json:"opens_in_ms"`
	Cause     string `json:"cause,omitempty"`
}

// State returns the state of the services whose requests wait, or that refused callers of late.
func (q *Queue) State() []ServiceState {
	if q == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	var out []ServiceState
	for name, s := range q.services {
		s.promises.expire(now)
		if len(s.waiting) == 0 && len(s.promises.all) == 0 {
			continue
		}
		st := ServiceState{Service: name, Waiting: len(s.waiting), RequestMS: s.meter.held.Milliseconds(), Slots: s.capacity.Slots, Promised: len(s.promises.all),
			PerSecond: s.rateFor(&Request{}, now), OpensInMS: max(0, s.opensAt.Sub(now)).Milliseconds(), Cause: s.code}
		for _, p := range s.waiting {
			st.OldestMS = max(st.OldestMS, now.Sub(p.since).Milliseconds())
		}
		for _, e := range s.refusing {
			if !e.open(now) {
				st.Full++
			}
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// metrics are the queue's counters and histograms.
type metrics struct {
	scope      tally.Scope
	waiting    tally.Gauge
	waits      tally.Histogram
	retryAfter tally.Histogram
}

var waitBuckets = tally.DurationBuckets{10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope: scope, waiting: scope.Gauge("waiting"), waits: scope.Histogram("wait_seconds", waitBuckets), retryAfter: scope.Histogram("retry_after_seconds", waitBuckets)}
}

func (m metrics) ended(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("waits_total").Inc(1)
}

func (m metrics) taken(waited time.Duration) {
	m.ended("served")
	m.waits.RecordDuration(waited)
}

func (m metrics) refused(why Reason) { m.ended(string(why)) }

func (m metrics) left() { m.ended("left") }
