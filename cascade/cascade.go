package cascade

import (
	"math/bits"
	"sync"
)

// Parameters of the learned pass rates.
const (
	// prior is the pass rate assumed of a new step, and priorWeight the number
	// of answers it counts for, so that new steps are tried.
	prior       = 1.0
	priorWeight = 4
	// maxWeight bounds the number of answers behind a pass rate: older ones
	// decay, so that a model that gets better or worse is noticed.
	maxWeight = 64
	// exploreEvery is how often a step with too low a pass rate is tried
	// anyway, once in so many requests; otherwise its rate could never recover.
	exploreEvery = 32
	// sizeClasses is the number of prompt size classes, by powers of two from
	// smallestClass bytes.
	sizeClasses   = 8
	smallestClass = 256
)

type statKey struct {
	cascade string
	step    int
	size    int
}

type stat struct {
	pass, n float64
	skipped int // since the last exploration
}

// Planner learns pass rates and decides which steps to try. It is safe for
// concurrent use.
type Planner struct {
	mu    sync.Mutex
	stats map[statKey]*stat
}

// NewPlanner returns a planner without statistics.
func NewPlanner() *Planner { return &Planner{stats: map[statKey]*stat{}} }

func sizeClass(promptBytes int) int {
	return min(bits.Len(uint(promptBytes/smallestClass)), sizeClasses-1)
}

func (p *Planner) statLocked(cascade string, step, promptBytes int) *stat {
	k := statKey{cascade, step, sizeClass(promptBytes)}
	s := p.stats[k]
	if s == nil {
		s = &stat{pass: prior * priorWeight, n: priorWeight}
		p.stats[k] = s
	}
	return s
}

// ShouldTry reports whether to try step of cascade on a prompt of that size: its pass
// rate is at least floor, or it is due for exploration.
func (p *Planner) ShouldTry(cascade string, step, promptBytes int, floor float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statLocked(cascade, step, promptBytes)
	if s.pass/s.n >= floor {
		return true
	}
	s.skipped++
	if s.skipped >= exploreEvery {
		s.skipped = 0
		return true
	}
	return false
}

// Record updates the pass rate of step by whether an answer passed it.
func (p *Planner) Record(cascade string, step, promptBytes int, passed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.statLocked(cascade, step, promptBytes)
	if s.n >= maxWeight {
		s.pass, s.n = s.pass*(maxWeight-1)/maxWeight, s.n*(maxWeight-1)/maxWeight
	}
	s.n++
	if passed {
		s.pass++
	}
}

// StepState is a learned pass rate in the state dump.
type StepState struct {
	Cascade   string  `json:"cascade"`
	Step      int     `json:"step"`
	SizeClass int     `json:"size_class"`
	PassShare float64 `json:"pass_share"`
}

// State returns the learned pass rates for the state dump.
func (p *Planner) State() []StepState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]StepState, 0, len(p.stats))
	for k, s := range p.stats {
		out = append(out, StepState{k.cascade, k.step, k.size, s.pass / s.n})
	}
	return out
}
