package place

import (
	"sync"
	"time"
)

// What is assumed and learned of the time that engines take to read prompts.
const (
	// firstRate is assumed of a model before anything is known, in
	// milliseconds a token: what a mid-sized model takes. What counts is that
	// all engines are taken to be alike.
	firstRate = 0.03
	// A rate follows the quickest answers: those that waited for nothing else.
	// It falls fast and rises slowly.
	rateFalls = 0.3
	rateRises = 0.02
	// fewestTokens is how much must be read for the time to tell a rate.
	fewestTokens = 300
)

// Rates learns how long a token takes to read, by model. It is safe for
// concurrent use.
type Rates struct {
	mu   sync.Mutex
	rate map[string]float64 // milliseconds a token
}

// NewRates returns rates that know nothing.
func NewRates() *Rates { return &Rates{rate: map[string]float64{}} }

// Reading is the time that an engine takes to read so many tokens.
func (r *Rates) Reading(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, ok := r.rate[model]
	if !ok {
		rate = firstRate
	}
	return time.Duration(rate * float64(tokens) * float64(time.Millisecond))
}

// Learn takes how long the first event took after so many tokens.
func (r *Rates) Learn(model string, tokens int, took time.Duration) {
	if tokens < fewestTokens || took <= 0 {
		return
	}
	seen := float64(took) / float64(time.Millisecond) / float64(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, ok := r.rate[model]
	switch {
	case !ok:
		rate = seen
	case seen < rate:
		rate += rateFalls * (seen - rate)
	default:
		rate += rateRises * (seen - rate)
	}
	r.rate[model] = rate
}

// State returns the learned rates, in milliseconds a token, for the dump.
func (r *Rates) State() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]float64, len(r.rate))
	for m, v := range r.rate {
		out[m] = v
	}
	return out
}
