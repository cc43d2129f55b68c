package raterd

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/standin/control"
)

// DefaultSkill is the skill of a version without a configured skill.
const DefaultSkill = 0.6

// Settings configure a Rater and can be changed at run time.
type Settings struct {
	// Skill is keyed by model or by model@version, which takes precedence.
	Skill map[string]float64 `json:"skill"`
	// Down fails every rating; DelayMillis delays each by this many milliseconds.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
}

// Rater rates answers from the skill of their version.
type Rater struct {
	mu       sync.Mutex
	settings Settings
	rated    int64
}

// New returns a rater.
func New(settings Settings) *Rater { return &Rater{settings: settings} }

// Set replaces the settings.
func (r *Rater) Set(s Settings) {
	r.mu.Lock()
	r.settings = s
	r.mu.Unlock()
}

// Difficulty returns the difficulty of a prompt, from 0 (short, below 64 bytes)
// to 1 (64 KB or more).
func Difficulty(prompt string) float64 {
	return math.Min(1, math.Max(0, math.Log2(float64(len(prompt)+1)/64)/10))
}

// noise is a pseudo-random score offset between -0.15 and 0.15, derived from the
// request id.
func noise(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()%1000)/1000*0.3 - 0.15
}

// Score returns the score from 0 to 1 of an answer by a version with this skill.
func Score(a rater.Answer, skill float64) float64 {
	return math.Min(1, math.Max(0, 0.8+1.5*(skill-Difficulty(a.Prompt))+noise(a.RequestID)))
}

func (s Settings) skillFor(a rater.Answer) float64 {
	if v, ok := s.Skill[a.Model+"@"+a.Version]; ok {
		return v
	}
	if v, ok := s.Skill[a.Model]; ok {
		return v
	}
	return DefaultSkill
}

// State is the rater's state dump.
type State struct {
	Rated    int64    `json:"rated"`
	Settings Settings `json:"settings"`
}

// Handler serves POST /v1/rate, GET /debug/state and PUT /fault (Settings).
func (r *Rater) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rater.Path, func(w http.ResponseWriter, req *http.Request) {
		var a rater.Answer
		if err := json.NewDecoder(req.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		settings := r.settings
		r.rated++
		r.mu.Unlock()
		time.Sleep(time.Duration(settings.DelayMillis) * time.Millisecond)
		if settings.Down {
			http.Error(w, "rater is down", http.StatusServiceUnavailable)
			return
		}
		control.WriteJSON(w, rater.Score{Score: Score(a, settings.skillFor(a))})
	})
	control.State(mux, func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return State{Rated: r.rated, Settings: r.settings}
	})
	control.Faults(mux, r.Set)
	return mux
}
