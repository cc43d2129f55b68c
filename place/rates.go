package place

import (
	"slices"
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
	// firstAnswers is the number of answers of which the quantile itself is the estimate.
	firstAnswers = 8
	// The rate is learned from long prompts, where the fixed part is small, and the fixed part
	// from short ones.
	longPrompt  = 4000
	shortPrompt = 2000
	// maxAnswers bounds the answers that are kept for other entries: those that an entry with
	// few requests receives between two of its messages.
	maxAnswers = 8
)

// firstEventModel is the estimate for one model, in milliseconds (rate: per token).
type firstEventModel struct {
	fixed, rate           float64
	firstFixed, firstRate []float64 // as the first answers showed them, sorted
}

// FirstEvent is the time to the first event of an answer.
type FirstEvent struct {
	Model  string
	Tokens int           // of the prompt
	Took   time.Duration // at factor 1
}

// Rates learns the time that engines take to begin an answer, by model, from the answers to this
// entry and to others: an entry of a large fleet may see one of the largest model in ten seconds.
// All times are at factor 1: what is observed at an endpoint is divided by its factor, and what is
// expected there multiplied by it.
// It is safe for concurrent use.
type Rates struct {
	mu      sync.Mutex
	byModel map[string]*firstEventModel
	answers []FirstEvent // to this entry, for others
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

// Learn updates the estimate with the time to the first event of an answer to this entry, at factor 1.
func (r *Rates) Learn(model string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnLocked(model, tokens, took)
	if len(r.answers) == maxAnswers {
		r.answers = r.answers[1:]
	}
	r.answers = append(r.answers, FirstEvent{model, tokens, took})
}

// Answers returns the answers to this entry since the last call, for sending to other entries.
func (r *Rates) Answers() []FirstEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.answers
	r.answers = nil
	return out
}

// ReceiveAnswers updates the estimates with answers to another entry.
func (r *Rates) ReceiveAnswers(answers []FirstEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range answers {
		if a.Tokens > 0 && a.Took > 0 {
			r.learnLocked(a.Model, a.Tokens, a.Took)
		}
	}
}

func (r *Rates) learnLocked(model string, tokens int, took time.Duration) {
	s := r.modelLocked(model)
	observed := float64(took) / float64(time.Millisecond)
	switch n := float64(tokens); {
	case tokens >= longPrompt && len(s.firstRate) < firstAnswers:
		s.rate = addFirst(&s.firstRate, (observed-s.fixed)/n)
	case tokens >= longPrompt:
		s.rate = max(0, s.rate+s.step(n, observed)/n)
	case tokens <= shortPrompt && len(s.firstFixed) < firstAnswers:
		s.fixed = addFirst(&s.firstFixed, observed-s.rate*n)
	case tokens <= shortPrompt:
		s.fixed = max(0, s.fixed+s.step(n, observed))
	}
}

// addFirst adds a value to those of the first answers, and returns their quantile.
func addFirst(first *[]float64, value float64) float64 {
	*first = append(*first, max(0, value))
	slices.Sort(*first)
	return (*first)[int(targetQuantile*float64(len(*first)))]
}

// step returns by how much the expected time of an answer changes with one observation.
func (s *firstEventModel) step(tokens, observed float64) float64 {
	expected := s.fixed + s.rate*tokens
	if expected > observed {
		return -quantileStep * (1 - targetQuantile) * expected
	}
	return quantileStep * targetQuantile * expected
}
