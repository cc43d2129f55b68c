package place

import (
	"sync"
	"time"
)

// The time to the first event is modelled as a fixed part plus a time per prompt token. With a single
// rate per token, fixed delays of short prompts are attributed to their tokens and long prompts are
// estimated several times too slow: then answers to the longest tenth of prompts were rarely escalated
// to a larger model (8% instead of 46%).
const (
	// defaultRate and defaultFixed are the initial estimates for a model, in milliseconds,
	// typical of a mid-sized one. What matters is that all engines start equal.
	defaultRate  = 0.03
	defaultFixed = 20.0
	// The estimate tracks the targetQuantile of the times (a fifth of the answers are quicker), so
	// that it reflects answers that did not wait for other requests. Each answer moves the
	// estimate by a step proportional to the estimate, regardless of the size of the error, as
	// some waits are very long.
	targetQuantile = 0.2
	quantileStep   = 0.04
	// The rate is learned from long prompts, where the fixed part is small, and the fixed part
	// from short ones.
	longPrompt  = 4000
	shortPrompt = 2000
)

// firstEventModel is the estimate for one model, in milliseconds (rate: per token).
type firstEventModel struct{ fixed, rate float64 }

// Rates learns the time that engines take to begin an answer, by model. It is safe for concurrent use.
type Rates struct {
	mu      sync.Mutex
	byModel map[string]*firstEventModel
}

// NewRates returns Rates with no observations.
func NewRates() *Rates { return &Rates{byModel: map[string]*firstEventModel{}} }

func (r *Rates) modelLocked(model string) *firstEventModel {
	s := r.byModel[model]
	if s == nil {
		s = &firstEventModel{fixed: defaultFixed, rate: defaultRate}
		r.byModel[model] = s
	}
	return s
}

// PrefillTime returns the time that an engine takes to read a prompt of the given number of tokens.
func (r *Rates) PrefillTime(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return milliseconds(r.modelLocked(model).rate * float64(tokens))
}

// TimeToFirstEvent returns the expected time to the first event at an otherwise idle engine.
func (r *Rates) TimeToFirstEvent(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.modelLocked(model)
	return milliseconds(s.fixed + s.rate*float64(tokens))
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Learn updates the estimate with the observed time to the first event.
func (r *Rates) Learn(model string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.modelLocked(model)
	expected := s.fixed + s.rate*float64(tokens)
	change := quantileStep * targetQuantile * expected
	if milliseconds(expected) > took {
		change = -quantileStep * (1 - targetQuantile) * expected
	}
	switch {
	case tokens >= longPrompt:
		s.rate = max(0, s.rate+change/float64(tokens))
	case tokens <= shortPrompt:
		s.fixed = max(0, s.fixed+change)
	}
}
