package cascade

import (
	"math/bits"
	"sync"
)

// Bounds of learning.
const (
	// prior is the share assumed before anything is known, and priorWeight
	// how many answers it counts for: new steps are tried.
	prior       = 1.0
	priorWeight = 4
	// memory is how many answers back the share reaches, so that a model
	// that gets better or worse is noticed.
	memory = 64
	// exploreEvery makes one in so many requests try a step that is not
	// worth it by what is known, or the planner could never learn better.
	exploreEvery = 32
	// sizes is how many classes of prompt size, by powers of two from
	// smallest bytes, are told apart.
	sizes    = 8
	smallest = 256
)

type key struct {
	cascade string
	step    int
	size    int
}

type stat struct {
	pass, n float64
	asked   int // skips since the last exploration
}

// Planner learns and plans. It is safe for concurrent use.
type Planner struct {
	mu    sync.Mutex
	stats map[key]*stat
}

// NewPlanner returns a planner that knows nothing.
func NewPlanner() *Planner { return &Planner{stats: map[key]*stat{}} }

func sizeClass(promptBytes int) int {
	return min(bits.Len(uint(promptBytes/smallest)), sizes-1)
}

func (p *Planner) at(cascade string, step, promptBytes int) *stat {
	k := key{cascade, step, sizeClass(promptBytes)}
	s := p.stats[k]
	if s == nil {
		s = &stat{pass: prior * priorWeight, n: priorWeight}
		p.stats[k] = s
	}
	return s
}

// Worth reports whether to try step of cascade on a prompt of that size.
// floor is the share of answers that must pass for it.
func (p *Planner) Worth(cascade string, step, promptBytes int, floor float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(cascade, step, promptBytes)
	if s.pass/s.n >= floor {
		return true
	}
	s.asked++
	if s.asked >= exploreEvery {
		s.asked = 0
		return true
	}
	return false
}

// Learn takes whether an answer passed step.
func (p *Planner) Learn(cascade string, step, promptBytes int, passed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.at(cascade, step, promptBytes)
	if s.n >= memory {
		s.pass, s.n = s.pass*(memory-1)/memory, s.n*(memory-1)/memory
	}
	s.n++
	if passed {
		s.pass++
	}
}

// StepState is one learned share in the state dump.
type StepState struct {
	Cascade string  `json:"cascade"`
	Step    int     `json:"step"`
	Size    int     `json:"size_class"`
	Pass    float64 `json:"pass_share"`
}

// State returns the current dump.
func (p *Planner) State() []StepState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]StepState, 0, len(p.stats))
	for k, s := range p.stats {
		out = append(out, StepState{k.cascade, k.step, k.size, s.pass / s.n})
	}
	return out
}
