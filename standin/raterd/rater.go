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

// DefaultSkill is the skill of a version that was given none.
const DefaultSkill = 0.6

// Settings are the rater's, and can be changed at run time.
type Settings struct {
	// Skill is by model, or by model@version, which goes first.
	Skill map[string]float64 `json:"skill"`
	// Down refuses every rating; DelayMillis delays each.
	Down        bool `json:"down"`
	DelayMillis int  `json:"delay_ms"`
}

// Rater is the stand-in.
type Rater struct {
	mu    sync.Mutex
	set   Settings
	rated int64
}

// New returns a rater.
func New(set Settings) *Rater { return &Rater{set: set} }

// Set replaces the settings.
func (r *Rater) Set(s Settings) {
	r.mu.Lock()
	r.set = s
	r.mu.Unlock()
}

// Difficulty of a prompt: 0 for a short question, 1 for a dossier of 64 KB.
func Difficulty(prompt string) float64 {
	return math.Min(1, math.Max(0, math.Log2(float64(len(prompt)+1)/64)/10))
}

// noise is a request's luck, between -0.15 and 0.15.
func noise(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()%1000)/1000*0.3 - 0.15
}

// Score rates a with skill s.
func Score(a rater.Answer, skill float64) float64 {
	return math.Min(1, math.Max(0, 0.8+1.5*(skill-Difficulty(a.Prompt))+noise(a.RequestID)))
}

func (s Settings) skillOf(a rater.Answer) float64 {
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
		set := r.set
		r.rated++
		r.mu.Unlock()
		time.Sleep(time.Duration(set.DelayMillis) * time.Millisecond)
		if set.Down {
			http.Error(w, "rater is down", http.StatusServiceUnavailable)
			return
		}
		control.WriteJSON(w, rater.Score{Score: Score(a, set.skillOf(a))})
	})
	control.State(mux, func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return State{Rated: r.rated, Settings: r.set}
	})
	control.Switches(mux, r.Set)
	return mux
}
