package place

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
)

// Weights of the score, in time: how much longer a request may wait at one endpoint than at another
// for the benefit in question.
const (
	// domainPenalty keeps requests within their failure domain where that makes little
	// difference: a request to another domain is lost if the domain is cut off, and uses
	// capacity of its links.
	domainPenalty = 40 * time.Millisecond
	// failurePenalty is for an endpoint that always fails; a failure rate of one in five
	// weighs 200 ms.
	failurePenalty = time.Second
	// fullPenalty is for an endpoint that has just refused a request.
	fullPenalty = 500 * time.Millisecond
	// busyPenalty is for an endpoint whose slots are all in use. It scales with the third power
	// of the utilization: a few more requests hardly slow an engine with free slots, but where
	// most are in use the next one waits for a whole stream to end. With a linear penalty, the
	// differences among engines with free slots outweighed the prompts waiting there: at 124
	// engines of 12 slots, with entries that report what they send, the 90th percentile of the
	// wait was 98 ms instead of 82, and 191 instead of 143 with a quarter of the engines lost.
	busyPenalty = 400 * time.Millisecond
	// expectedHitRate is the fraction of a shared prompt expected in the cache of the preferred
	// endpoint. Other endpoints are assumed to have none of it.
	expectedHitRate = 0.7
	// cacheMissPerToken is what reading a shared token again costs the concurrent streams: each
	// of three or four pauses for the 18 us that it takes.
	cacheMissPerToken = 60 * time.Microsecond
	// crossDomainTokens is the number of shared tokens from which the preferred endpoint is
	// chosen from all domains: reading them again takes an engine 20 to 60 ms, more than
	// sending a prompt to another domain and its answer back.
	crossDomainTokens = 1000
	// defaultSlots is assumed where an endpoint does not report its slots.
	defaultSlots = 8
)

// Request describes a request to the selection.
type Request struct {
	Domain string // failure domain of this entry
	// Affinity is equal for requests that share a prompt; 0: none.
	Affinity uint64
	// SharedTokens is the length of the shared prompt, PrefillTime the time an engine takes
	// to read it.
	SharedTokens int
	PrefillTime  time.Duration
	// OwnTime is the time that the endpoint takes to begin the answer, at factor 1. It makes a
	// difference among endpoints of unequal speed.
	OwnTime time.Duration
	// ReadTime is the part of OwnTime for reading the prompt, MaxPause the longest pause between
	// events for which a stream counts as on time; 0: no stream.
	ReadTime, MaxPause time.Duration
	// Tried are endpoints that the request was already sent to.
	Tried map[fleet.EndpointID]bool
	// Closed reports endpoints that accept no requests now; nil: all accept them.
	Closed func(fleet.Endpoint) bool
}

// Ranked is an endpoint with its score; lower is better.
type Ranked struct {
	fleet.Endpoint
	Score    time.Duration
	Standing Standing
	load     float64 // as sampled for the score
}

// maxConsidered is how many endpoints a choice looks at in a large fleet, at least half of them in
// the entry's own failure domain if it has as many. The best of so many is hardly worse than the
// best of all.
const maxConsidered = 256

// Rank orders endpoints for a request, best first. Ejected ones come last; endpoints already tried,
// closed and resting ones are left out. Of more than maxConsidered candidates it ranks a random
// part, and all of them only if none of these can be used.
func (b *Board) Rank(candidates []fleet.Endpoint, req Request) []Ranked {
	preferred := preferredEndpoint(candidates, req)
	if len(candidates) <= maxConsidered {
		return b.rank(pointers(candidates), preferred, req)
	}
	ranked := b.rank(b.sample(candidates, preferred, req.Domain), preferred, req)
	if len(ranked) == 0 || ranked[0].Standing.Ejected {
		ranked = b.rank(pointers(candidates), preferred, req)
	}
	return ranked
}

// sample returns maxConsidered of the candidates, and the preferred one besides. Candidates are
// sorted by ID, which says nothing about them, so that neighbours serve as a random selection.
func (b *Board) sample(candidates []fleet.Endpoint, preferred *fleet.Endpoint, domain string) []*fleet.Endpoint {
	chosen := make(map[*fleet.Endpoint]bool, maxConsidered+1)
	out := make([]*fleet.Endpoint, 0, maxConsidered+1)
	add := func(ep *fleet.Endpoint) {
		if !chosen[ep] {
			chosen[ep] = true
			out = append(out, ep)
		}
	}
	if preferred != nil {
		add(preferred)
	}
	b.mu.Lock()
	from := b.random.IntN(len(candidates))
	b.mu.Unlock()
	for i := 0; i < len(candidates) && len(out) <= maxConsidered/2; i++ {
		if ep := &candidates[(from+i)%len(candidates)]; ep.Domain == domain {
			add(ep)
		}
	}
	for i := 0; i < len(candidates) && len(out) <= maxConsidered; i++ {
		add(&candidates[(from+i)%len(candidates)])
	}
	return out
}

// pointers returns pointers to all endpoints.
func pointers(endpoints []fleet.Endpoint) []*fleet.Endpoint {
	out := make([]*fleet.Endpoint, 0, len(endpoints))
	for i := range endpoints {
		out = append(out, &endpoints[i])
	}
	return out
}

// closed evaluates Closed for all candidates; nil: none is closed. It is called without the board's lock,
// as the callback takes its own.
func (req Request) closed(candidates []*fleet.Endpoint) []bool {
	if req.Closed == nil {
		return nil
	}
	out := make([]bool, len(candidates))
	for i, ep := range candidates {
		out[i] = req.Closed(*ep)
	}
	return out
}

func (b *Board) rank(candidates []*fleet.Endpoint, preferred *fleet.Endpoint, req Request) []Ranked {
	now := b.clock.Now()
	closed := req.closed(candidates)
	b.mu.Lock()
	out := make([]Ranked, 0, len(candidates))
	unequal := false
	for i, ep := range candidates {
		if req.Tried[ep.ID] || closed != nil && closed[i] || b.restsLocked(ep.ID, now) {
			continue
		}
		r := b.consideredLocked(ep, len(candidates) <= maxConsidered, now)
		r.speed = b.speedLocked(uint32(ep.Hash()))
		load := b.sampledLoadLocked(r, ep, now)
		s := b.standingOfLocked(r, uint32(ep.Hash()), now)
		if s.HasFactor {
			load += float64(b.peerWork.since(uint32(ep.Hash()), r.reportedAt, now))
		}
		s.Ejected = s.Ejected || b.domainUnreachableLocked(ep.Domain, now)
		unequal = unequal || s.HasFactor
		out = append(out, Ranked{Endpoint: *ep, Standing: s, Score: score(ep, s, load, req, ep == preferred), load: load})
	}
	if unequal {
		addStreamCosts(out, req)
	}
	// Ties are broken at random: in an order that all entries share, all would choose the
	// same endpoint.
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

func (b *Board) restsLocked(id fleet.EndpointID, now time.Time) bool {
	r := b.byID[id]
	return r != nil && now.Before(r.restsUntil)
}

// score returns the expected time to the first event at an endpoint with the given load, plus penalties
// and less the value of a cached prompt. All that the endpoint has to work for takes its factor. The penalty
// for taken slots is never less than at factor 1, so that a low figure doesn't draw requests to a full endpoint.
func score(ep *fleet.Endpoint, s Standing, load float64, req Request, preferred bool) time.Duration {
	utilization := load / float64(slotsOf(ep))
	v := s.Wait + scaled(req.OwnTime, s.Factor) + scaled(busyPenalty, busyShare(s)*utilization*utilization*utilization*max(1, s.Factor)) + scaled(failurePenalty, s.FailRate)
	if ep.Domain != req.Domain {
		v += domainPenalty
	}
	if s.Full {
		v += fullPenalty
	}
	if preferred {
		v -= scaled(req.PrefillTime+time.Duration(req.SharedTokens)*cacheMissPerToken, expectedHitRate*s.Factor)
	}
	return v
}

func slotsOf(ep *fleet.Endpoint) int {
	if ep.Slots <= 0 {
		return defaultSlots
	}
	return ep.Slots
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// preferredEndpoint returns the preferred endpoint of a prompt by rendezvous hashing, or nil: all entries
// agree, and when endpoints change, only the prompts of those endpoints move.
func preferredEndpoint(candidates []fleet.Endpoint, req Request) *fleet.Endpoint {
	if req.Affinity == 0 {
		return nil
	}
	near := req.SharedTokens < crossDomainTokens && anyInDomain(candidates, req.Domain)
	var best *fleet.Endpoint
	var highest uint64
	for i := range candidates {
		ep := &candidates[i]
		if near && ep.Domain != req.Domain {
			continue
		}
		if h := Mix(req.Affinity ^ ep.Hash()); h >= highest {
			best, highest = ep, h
		}
	}
	return best
}

func anyInDomain(candidates []fleet.Endpoint, domain string) bool {
	return slices.ContainsFunc(candidates, func(ep fleet.Endpoint) bool { return ep.Domain == domain })
}

// Mix is a finalizer that spreads the entropy of a hash over all bits.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Hash returns the affinity of a list of strings; it is never 0.
func Hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64() | 1
}
