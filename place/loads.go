package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
)

// Estimates of endpoint load. An endpoint reports its load with its answers. In a large fleet an entry
// with a few requests per second receives reports from few endpoints, and these are about a second
// old. So entries exchange the reports they receive, and each entry learns how far its own
// estimates are off.
const (
	// relayTTL is how long a report received from an endpoint is passed on to other entries:
	// long enough to be sent once, as entries of a large fleet send at least every second.
	relayTTL = time.Second
	// meanLoadGain and deviationGain are the weights of one report in the mean load of a service
	// and in the mean deviation from the estimates. About twenty count, which an entry with little
	// traffic receives in a few seconds.
	meanLoadGain  = 0.05
	deviationGain = 0.05
	// spreadFactor times the mean deviation, to either side of the estimate, is the range in which
	// the load of an endpoint is assumed to be. With a factor of 1 all entries still choose the
	// same endpoint out of many; with a factor of several the estimate hardly counts.
	spreadFactor = 2
	// announceThreshold is how much additional outstanding work is sent to other entries at
	// once: a long prompt, or any prompt of a large model. Short ones are read before others
	// could react.
	announceThreshold = 40 * time.Millisecond
)

// LoadReport is the load that an endpoint reported to an entry, as entries pass it on.
type LoadReport struct {
	Endpoint uint32 // short id
	Running  int
	Waiting  int
	Age      time.Duration
	// SlowdownPercent is as in call.Load.
	SlowdownPercent int
}

// heardLoad is a load that an endpoint reported to another entry.
type heardLoad struct {
	running, waiting int32
	at               time.Time // zero: none
}

// addTo records the load in the statistics of its endpoint.
func (h heardLoad) addTo(r *endpointStats) {
	if !h.at.IsZero() {
		r.report, r.reportedAt = call.Load{Running: int(h.running), Waiting: int(h.waiting)}, h.at
	}
}

// sweepHeardLocked removes loads that are no longer valid.
func (b *Board) sweepHeardLocked(now time.Time) {
	if now.Sub(b.heardSwept) < reportTTL {
		return
	}
	b.heardSwept = now
	for id, h := range b.heard {
		if now.Sub(h.at) > reportTTL {
			delete(b.heard, id)
		}
	}
}

// serviceStats holds statistics over all endpoints of a service.
type serviceStats struct {
	// utilization is running and waiting requests divided by slots, as endpoints reported to
	// this entry.
	utilization float64
	// delay is the mean delay of first events beyond the time for their own prompts, in
	// seconds, over the last answers to this entry.
	delay float64
	// plainTime is the mean time of answers to requests without a prompt, in seconds, at factor 1.
	plainTime float64
	loadStats // of the endpoints that report no figure
}

// loadStats holds the loads of endpoints of equal speed.
type loadStats struct {
	// meanLoad is the mean of running and waiting requests per endpoint, from reports to any
	// entry.
	meanLoad float64
	// deviation is the mean absolute difference, in requests, between reported and expected
	// load.
	deviation float64
	observed  bool
}

func (b *Board) serviceLocked(name string) *serviceStats {
	s := b.services[name]
	if s == nil {
		s = &serviceStats{}
		b.services[name] = s
	}
	return s
}

// observeLoad adds the number of requests reported by one endpoint.
func (s *loadStats) observeLoad(requests float64) {
	gain := meanLoadGain
	if !s.observed {
		gain, s.observed = 1, true
	}
	s.meanLoad += gain * (requests - s.meanLoad)
}

// ObserveWait records the delay of the first event of an answer of the service beyond the time for its own
// prompt.
func (b *Board) ObserveWait(name string, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(name)
	s.delay += answerGain * (max(0, delay.Seconds()) - s.delay)
}

// MeanWait returns the recent mean wait of the requests of the service for other requests. Known
// outstanding work does not cover it: engines that read prompts all the time keep every request
// waiting, even if few run there.
func (b *Board) MeanWait(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.serviceLocked(name).delay * float64(time.Second))
}

// LoadReports returns the loads that endpoints recently reported to this entry, sorted by endpoint, for
// sending to other entries.
func (b *Board) LoadReports() []LoadReport {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []LoadReport
	for id, r := range b.reported {
		age := now.Sub(r.reportedAt)
		if !r.ownReport || age > relayTTL {
			delete(b.reported, id)
			continue
		}
		out = append(out, LoadReport{Endpoint: ShortID(id), Running: r.report.Running, Waiting: r.report.Waiting, Age: age, SlowdownPercent: r.report.SlowdownPercent})
	}
	slices.SortFunc(out, func(a, b LoadReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// ReceiveLoads merges the loads that endpoints reported to another entry. Reports newer than this
// entry's own replace them.
func (b *Board) ReceiveLoads(loads []LoadReport) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweepHeardLocked(now)
	for _, l := range loads {
		r := b.byID[b.byShortID[l.Endpoint]]
		at := now.Add(-l.Age)
		b.capacity.ObserveHash(l.Endpoint, l.SlowdownPercent, at)
		if r == nil && at.After(b.heard[l.Endpoint].at) {
			b.heard[l.Endpoint] = heardLoad{running: int32(l.Running), waiting: int32(l.Waiting), at: at}
		}
		if r == nil || !at.After(r.reportedAt) {
			continue
		}
		r.speed = b.speedLocked(l.Endpoint)
		b.observeLoadLocked(r, float64(l.Running+l.Waiting))
		r.report = call.Load{Running: l.Running, Waiting: l.Waiting}
		r.reportedAt, r.sinceReport, r.ownReport = at, 0, false
	}
}

// expectedLoadLocked estimates the running and waiting requests of an endpoint. The last report decays
// towards the mean load of the endpoints of its speed as it ages; without a report the mean is used. If an unknown
// endpoint were assumed to be idle, all entries would send it their next request.
func (b *Board) expectedLoadLocked(r *endpointStats, now time.Time) float64 {
	meanLoad := b.loadStatsLocked(r).meanLoad
	load := meanLoad
	if age := now.Sub(r.reportedAt); age < reportTTL {
		fresh := 1 - float64(age)/float64(reportTTL)
		load += fresh * (float64(r.report.Running+r.report.Waiting+r.sinceReport) - meanLoad)
	}
	return max(load, float64(r.inFlight))
}

// updateDeviationLocked updates the mean deviation from the difference between the reported and the
// expected load of an endpoint.
func (b *Board) updateDeviationLocked(r *endpointStats, load call.Load, now time.Time) {
	s := b.loadStatsLocked(r)
	reported := float64(load.Running + load.Waiting)
	if s.observed {
		s.deviation += deviationGain * (math.Abs(reported-b.expectedLoadLocked(r, now)) - s.deviation)
	}
	b.observeLoadLocked(r, reported)
}

// sampledLoadLocked returns the load used for ranking: a random sample from the range in which the load
// of the endpoint is assumed to be. All entries learn that the same engine has little to do, and would
// all send to it until they learn that it has too much. The recent deviation of the estimates
// determines the range.
func (b *Board) sampledLoadLocked(r *endpointStats, ep *fleet.Endpoint, now time.Time) float64 {
	if r.reportedAt.IsZero() && now.Before(ep.ColdUntil) {
		return float64(r.inFlight) // it has just started, and few entries use it
	}
	deviation := (2*b.random.Float64() - 1) * spreadFactor * b.loadStatsLocked(r).deviation
	return max(float64(r.inFlight), b.expectedLoadLocked(r, now)+deviation)
}
