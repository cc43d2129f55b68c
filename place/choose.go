package place

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/fleet"
)

// Weights of the score, in shares of an endpoint's slots: what they buy is
// how much busier an endpoint may be than another and still be taken.
const (
	// domainPenalty keeps requests within their failure domain where that
	// makes no difference to load: bytes between domains are paid for.
	domainPenalty = 0.05
	// failurePenalty is for an endpoint that always fails. At 0.2, a fifth of
	// answers failed, it weighs like 40% of the slots.
	failurePenalty = 2.0
	// fullPenalty is for one that has just refused.
	fullPenalty = 1.0
	// cacheBonus is for the endpoint that a request's prompt prefers, when
	// cacheWorth tokens or more of it may be cached there; in proportion below.
	cacheBonus = 0.25
	cacheWorth = 4000
	// cacheBeyondDomain is how many shared tokens make the preferred endpoint
	// one of all domains: sending a prompt of thousands of tokens to another
	// domain costs less than reading it again, for a short one it is the other
	// way about. Prices of the platform: 1.7e-6 a byte, 3.8e-5 a token.
	cacheBeyondDomain = 1000
	// defaultSlots is assumed where an endpoint does not tell its slots.
	defaultSlots = 8
)

// Want is what the choice needs to know of a request.
type Want struct {
	Domain string // this entry's
	// Affinity is equal for requests that share a prompt; 0: none.
	Affinity uint64
	// SharedTokens is how much prompt they share.
	SharedTokens int
	// Tried are endpoints that had the request already.
	Tried map[fleet.EndpointID]bool
}

// Ranked is an endpoint with its score; lower is better.
type Ranked struct {
	fleet.Endpoint
	Score    float64
	Standing Standing
}

// Rank orders endpoints for a request, best first. Ejected ones come last,
// those tried already are left out.
func (b *Board) Rank(candidates []fleet.Endpoint, w Want) []Ranked {
	now := b.clock.Now()
	preferred := prefer(candidates, w)
	b.mu.Lock()
	out := make([]Ranked, 0, len(candidates))
	for _, ep := range candidates {
		if w.Tried[ep.ID] {
			continue
		}
		s := b.standingLocked(ep.ID, now)
		out = append(out, Ranked{Endpoint: ep, Standing: s, Score: score(ep, s, w, ep.ID == preferred)})
	}
	b.mu.Unlock()
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Standing.Ejected != out[j].Standing.Ejected {
			return out[j].Standing.Ejected
		}
		return out[i].Score < out[j].Score
	})
	return out
}

func score(ep fleet.Endpoint, s Standing, w Want, preferred bool) float64 {
	slots := ep.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	v := s.Load/float64(slots) + failurePenalty*s.FailRate
	if ep.Domain != w.Domain {
		v += domainPenalty
	}
	if s.Full {
		v += fullPenalty
	}
	if preferred {
		v -= cacheBonus * min(1, 0.2+float64(w.SharedTokens)/cacheWorth)
	}
	return v
}

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
