package place

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/capacity"
	"github.com/lovageweir/lovageweir/fleet"
)

// Endpoints that differ in speed. An engine reads prompts in chunks of some thousand tokens between the
// tokens of its streams. An event is some ten tokens, so that each event of a stream that runs there
// takes as long as ten chunks while prompts are read: mostly as long as all the reading.
const (
	// lateStreamPenalty is for each stream that pauses for its longest allowed pause or more. It exceeds
	// the usual waits, as one long prompt makes all streams at its endpoint late.
	lateStreamPenalty = 5 * time.Second
	// Pauses from lateFrom of the longest allowed one count, as the estimates of the reading time
	// and of the work outstanding are not exact; the penalty is the full one from lateAt.
	lateFrom = 0.5
	lateAt   = 0.9
	// figuresBusyShare is the part of busyPenalty that applies to endpoints that report a figure. The
	// wait and the request's own time there are known better than the slots taken, which most
	// entries know from old reports. With much less, nothing keeps requests from full engines.
	figuresBusyShare = 0.5
	// A queue of longQueueAt times the longest allowed pause or more costs at least as much as any
	// shorter one. If the cost rose from shorter queues on, long prompts would spread over all
	// endpoints and make more streams late.
	longQueueFrom = 4
	longQueueAt   = 6
	// An endpoint is sound up to soundFailRate; from mostFailRate on it has no advantage from having
	// few streams. Two failures in succession give a failure rate of 0.28.
	soundFailRate = 0.25
	mostFailRate  = 0.5
	// slowdownChange is the ratio of a reported figure to the factor assumed from which other entries
	// are told at once: a slow period is over before most of the periodic messages.
	slowdownChange = 1.4
)

// SetCapacity replaces the table of the endpoints' figures. It is called before the board is used.
func (b *Board) SetCapacity(t *capacity.Table) { b.capacity = t }

// Factor returns the time that work takes at an endpoint now; 1 is the usual time.
func (b *Board) Factor(id fleet.EndpointID) float64 { return b.capacity.Factor(id) }

// UsualFactor returns the time that work usually takes at an endpoint.
func (b *Board) UsualFactor(id fleet.EndpointID) float64 { return b.capacity.Usual(id) }

// SlowdownChanged returns a channel that signals when an endpoint reported a figure to this entry that other
// entries should know of before the next periodic message. It is not the channel of WorkGrew: there
// may be a change with each answer, and announcements of long work come first.
func (b *Board) SlowdownChanged() <-chan struct{} { return b.slowdownChanged }

// observeSlowdownLocked records the figure that an endpoint reported to this entry, and signals a change
// that other entries need to know of.
func (b *Board) observeSlowdownLocked(id fleet.EndpointID, percent int, now time.Time) {
	if !capacity.Valid(percent) {
		return
	}
	assumed, known := b.capacity.Reported(ShortID(id))
	b.capacity.Observe(id, percent, now)
	factor := capacity.Bounded(float64(percent) / 100)
	if !known || max(assumed, factor) < slowdownChange*min(assumed, factor) {
		return
	}
	select {
	case b.slowdownChanged <- struct{}{}:
	default: // a signal is pending already
	}
}

// speedClass is a class of endpoints of about the same speed; 0: no figure was reported.
type speedClass int8

// Classes are as wide as speedClassWidth, in powers of two.
const speedClassWidth = 0.5

// serviceSpeed identifies the endpoints of a service that are of one class.
type serviceSpeed struct {
	service string
	speed   speedClass
}

// speedLocked returns the class of an endpoint.
func (b *Board) speedLocked(short uint32) speedClass {
	usual, known := b.capacity.UsualOfHash(short)
	if !known {
		return 0
	}
	// The least figure is 0.01, so that no class is 0 or less.
	return speedClass(1 + math.Round((math.Log2(usual)-math.Log2(capacity.MinPercent/100.0))/speedClassWidth))
}

// loadStatsLocked returns the loads of the endpoints of the same service and class. Quick endpoints run
// more requests than slow ones: with one mean for all, quick endpoints without a recent report would
// be taken for idle by all entries.
func (b *Board) loadStatsLocked(r *endpointStats) *loadStats {
	if r.speed == 0 {
		return &b.serviceLocked(r.service).loadStats
	}
	key := serviceSpeed{r.service, r.speed}
	s := b.loads[key]
	if s == nil {
		s = &loadStats{}
		b.loads[key] = s
	}
	return s
}

// observeLoadLocked adds the number of requests that an endpoint reported. Endpoints that have not
// reported a figure yet, as after a restart, are assumed to have the mean load of all.
func (b *Board) observeLoadLocked(r *endpointStats, requests float64) {
	b.serviceLocked(r.service).observeLoad(requests)
	if r.speed != 0 {
		b.loadStatsLocked(r).observeLoad(requests)
	}
}

// busyShare returns the part of busyPenalty that applies to an endpoint.
func busyShare(s Standing) float64 {
	if s.HasFactor {
		return figuresBusyShare
	}
	return 1
}

// streamCost returns what a request at an endpoint costs streams: those that run there pause while its
// prompt is read, and its own one pauses while the prompts are read that wait there. Streams that are late
// already cost nothing more, so that long prompts gather at few endpoints. But a queue from longQueueFrom
// on would draw still more of them, and there the cost rises again to its highest at shorter waits.
func streamCost(s Standing, load float64, req Request) time.Duration {
	if req.MaxPause <= 0 {
		return 0
	}
	read := scaled(req.ReadTime, s.Factor)
	before, after := lateness(s.Wait, req.MaxPause), lateness(s.Wait+read, req.MaxPause)
	// The difference that the prompt makes is largest where the wait just begins to count.
	highest := lateness(scaled(req.MaxPause, lateFrom)+read, req.MaxPause)
	long := min(1, max(0, (float64(s.Wait)/float64(req.MaxPause)-longQueueFrom)/(longQueueAt-longQueueFrom)))
	return scaled(lateStreamPenalty, load*max(after-before, long*highest)+before)
}

// addStreamCosts adds the costs of streams to the scores. They exceed the penalties for failures many
// times, so that an endpoint in trouble, which has few streams because of it, pays at least what the
// request costs at the best of the sound endpoints.
func addStreamCosts(ranked []Ranked, req Request) {
	costs := make([]time.Duration, len(ranked))
	least := time.Duration(math.MaxInt64)
	for i := range ranked {
		costs[i] = streamCost(ranked[i].Standing, ranked[i].load, req)
		if s := ranked[i].Standing; !s.Ejected && trouble(s) == 0 {
			least = min(least, costs[i])
		}
	}
	for i := range ranked {
		if least < math.MaxInt64 {
			costs[i] += scaled(max(0, least-costs[i]), trouble(ranked[i].Standing))
		}
		ranked[i].Score += costs[i]
	}
}

// trouble returns 1 for an endpoint that fails most requests or has just refused one, and 0 for a sound
// one.
func trouble(s Standing) float64 {
	if s.Full {
		return 1
	}
	return min(1, max(0, (s.FailRate-soundFailRate)/(mostFailRate-soundFailRate)))
}

// lateness returns the likelihood that a stream is late that pauses while an endpoint reads prompts for
// the given time.
func lateness(reading, maxPause time.Duration) float64 {
	ratio := float64(reading) / float64(maxPause)
	return min(1, max(0, (ratio-lateFrom)/(lateAt-lateFrom)))
}

// plainTimeGain is the weight of one answer in the mean time of answers without a prompt.
const plainTimeGain = 0.1

// ObservePlainTime records the time of an answer of a service to a request without a prompt, at factor 1.
func (b *Board) ObservePlainTime(service string, took time.Duration) {
	if took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(service)
	if s.plainTime == 0 {
		s.plainTime = took.Seconds()
	}
	s.plainTime += plainTimeGain * (took.Seconds() - s.plainTime)
}

// PlainTime returns the mean time of answers of a service to requests without a prompt, at factor 1; 0:
// not known.
func (b *Board) PlainTime(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.serviceLocked(service).plainTime * float64(time.Second))
}
