package place

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
)

// Weights of the score, in time: what they buy is how much longer a request
// may wait at one endpoint than at another that would be taken otherwise.
const (
	// domainPenalty keeps requests within their failure domain where that makes little
	// difference: what crosses is cut off with the domain, and takes room on its links.
	domainPenalty = 40 * time.Millisecond
	// failurePenalty is for an endpoint that always fails; one in five failed
	// answers weigh like 200 ms.
	failurePenalty = time.Second
	// fullPenalty is for one that has just refused.
	fullPenalty = 500 * time.Millisecond
	// busyPenalty is for an endpoint whose slots are all taken. A few requests more
	// hardly slow an engine while it has slots to spare, and where most are taken the
	// next one waits for a whole stream to end: it goes by the third power of their
	// share. In proportion, the differences among engines with room were worth more
	// than the prompts that wait there: before 124 engines of 12 slots, where entries
	// tell what they send, the 90th percentile of the wait was 98 ms rather than 82,
	// and 191 rather than 143 with a quarter of the engines lost.
	busyPenalty = 400 * time.Millisecond
	// cachedAtPreferred is the share of a shared prompt expected in the cache
	// of the endpoint that it prefers. Others are taken to lack it.
	cachedAtPreferred = 0.7
	// cachePerToken is what reading a shared token again costs the streams that run
	// beside it: each of three or four pauses for the 18 us that it takes.
	cachePerToken = 60 * time.Microsecond
	// cacheBeyondDomain is how many shared tokens make the preferred endpoint one of
	// all domains: reading as many again takes an engine 20 to 60 ms, more than a
	// prompt and its answer take to another domain and back.
	cacheBeyondDomain = 1000
	// defaultSlots is assumed where an endpoint does not tell its slots.
	defaultSlots = 8
)

// Want is what the choice needs to know of a request.
type Want struct {
	Domain string // this entry's
	// Affinity is equal for requests that share a prompt; 0: none.
	Affinity uint64
	// SharedTokens is how much prompt they share, Reading how long an engine
	// takes to read that.
	SharedTokens int
	Reading      time.Duration
	// Tried are endpoints that had the request already.
	Tried map[fleet.EndpointID]bool
	// Closed reports endpoints that take no request now; nil: all do.
	Closed func(fleet.Endpoint) bool
}

// Ranked is an endpoint with its score; lower is better.
type Ranked struct {
	fleet.Endpoint
	Score    time.Duration
	Standing Standing
}

// closed tells which candidates take no request now; nil: all do. It is asked without the
// board's lock, as what answers has its own.
func (w Want) closed(candidates []fleet.Endpoint) []bool {
	if w.Closed == nil {
		return nil
	}
	out := make([]bool, len(candidates))
	for i, ep := range candidates {
		out[i] = w.Closed(ep)
	}
	return out
}

// Rank orders endpoints for a request, best first. Ejected ones come last,
// those tried already and closed ones are left out.
func (b *Board) Rank(candidates []fleet.Endpoint, w Want) []Ranked {
	now := b.clock.Now()
	preferred := prefer(candidates, w)
	closed := w.closed(candidates)
	b.mu.Lock()
	out := make([]Ranked, 0, len(candidates))
	for i, ep := range candidates {
		if w.Tried[ep.ID] || closed != nil && closed[i] {
			continue
		}
		load := b.supposedLocked(ep, now)
		s := b.standingLocked(ep.ID, now)
		s.Ejected = s.Ejected || b.awayLocked(ep.Domain, now)
		out = append(out, Ranked{Endpoint: ep, Standing: s, Score: score(ep, s, load, w, ep.ID == preferred)})
	}
	// Those of equal score come in random order: in one that all entries share, all
	// would take the first.
	b.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	b.mu.Unlock()
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Standing.Ejected != out[j].Standing.Ejected {
			return out[j].Standing.Ejected
		}
		return out[i].Score < out[j].Score
	})
	return out
}

// score is the time that the request would wait at an endpoint with so many requests,
// with what else speaks against that.
func score(ep fleet.Endpoint, s Standing, load float64, w Want, preferred bool) time.Duration {
	taken := load / float64(slotsOf(ep))
	v := s.Wait + scaled(busyPenalty, taken*taken*taken) + scaled(failurePenalty, s.FailRate)
	if ep.Domain != w.Domain {
		v += domainPenalty
	}
	if s.Full {
		v += fullPenalty
	}
	if preferred {
		v -= scaled(w.Reading+time.Duration(w.SharedTokens)*cachePerToken, cachedAtPreferred)
	}
	return v
}

func slotsOf(ep fleet.Endpoint) int {
	if ep.Slots <= 0 {
		return defaultSlots
	}
	return ep.Slots
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// prefer returns the endpoint that a prompt prefers: the highest of the
// hashes of prompt and endpoint, so that all entries agree and a change of
// the endpoints moves only the prompts of those that changed.
func prefer(candidates []fleet.Endpoint, w Want) fleet.EndpointID {
	if w.Affinity == 0 {
		return ""
	}
	near := w.SharedTokens < cacheBeyondDomain && anyIn(candidates, w.Domain)
	var best fleet.EndpointID
	var highest uint64
	for _, ep := range candidates {
		if near && ep.Domain != w.Domain {
			continue
		}
		if h := mix(w.Affinity ^ xxhash.Sum64String(string(ep.ID))); h >= highest {
			best, highest = ep.ID, h
		}
	}
	return best
}

func anyIn(candidates []fleet.Endpoint, domain string) bool {
	for _, ep := range candidates {
		if ep.Domain == domain {
			return true
		}
	}
	return false
}

// mix spreads a hash over all its bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Hash returns the affinity of a list of strings, never 0.
func Hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64() | 1
}
