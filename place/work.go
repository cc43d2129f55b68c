package place

import (
	"sync"
	"time"
)

// What is assumed and learned of the time that engines take to a first event:
// something fixed, and so much for each token of the prompt. One rate for both
// would take what a short prompt waits for fixed things for the price of its
// tokens, and think long prompts several times as slow as they are: then the
// answers to the longest tenth of prompts were hardly ever taken to a larger
// model (8% instead of 46%).
const (
	// firstRate and firstFixed are assumed of a model before anything is known,
	// in milliseconds: what a mid-sized model takes. What counts is that all
	// engines are taken to be alike.
	firstRate  = 0.03
	firstFixed = 20.0
	// The estimate follows the quickest answers, those that waited for nothing
	// else: a fifth of the answers are quicker. Each answer moves it by a step
	// in proportion to it, however far off it was, as waits are long now and
	// then.
	quickShare = 0.2
	step       = 0.04
	// The rate is learned from long prompts, for which the fixed part is
	// little, and the fixed part from short ones.
	longPrompt  = 4000
	shortPrompt = 2000
)

// start is the estimate for one model, in milliseconds.
type start struct{ fixed, rate float64 }

// Rates learns how long engines take to begin an answer, by model. It is safe
// for concurrent use.
type Rates struct {
	mu      sync.Mutex
	byModel map[string]*start
}

// NewRates returns rates that know nothing.
func NewRates() *Rates { return &Rates{byModel: map[string]*start{}} }

func (r *Rates) atLocked(model string) *start {
	s := r.byModel[model]
	if s == nil {
		s = &start{fixed: firstFixed, rate: firstRate}
		r.byModel[model] = s
	}
	return s
}

// Reading is the time that an engine is busy reading so many tokens.
func (r *Rates) Reading(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return milliseconds(r.atLocked(model).rate * float64(tokens))
}

// First is the time to the first event after so many tokens, at an engine
// that has nothing else to do.
func (r *Rates) First(model string, tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.atLocked(model)
	return milliseconds(s.fixed + s.rate*float64(tokens))
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Learn takes how long the first event took after so many tokens.
func (r *Rates) Learn(model string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.atLocked(model)
	expected := s.fixed + s.rate*float64(tokens)
	change := step * quickShare * expected
	if milliseconds(expected) > took {
		change = -step * (1 - quickShare) * expected
	}
	switch {
	case tokens >= longPrompt:
		s.rate = max(0, s.rate+change/float64(tokens))
	case tokens <= shortPrompt:
		s.fixed = max(0, s.fixed+change)
	}
}
