package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/openai"
)

// order obeys an order unless its fencing number is older than one obeyed
// before, which means that its sender has lost the lease it acted under.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o openai.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.fenced(o.Fence) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	switch o.Action {
	case openai.OrderLoad:
		if !e.fetchWeights(r, o) {
			http.Error(w, "weight store refused", http.StatusServiceUnavailable)
			return
		}
		e.load(o.Model + "@" + o.Version)
	case openai.OrderDrain, openai.OrderResume:
		e.mu.Lock()
		e.draining = o.Action == openai.OrderDrain
		e.mu.Unlock()
	default:
		http.Error(w, "unknown action "+o.Action, http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) fenced(n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n < e.fence && !e.set.IgnoreFencing {
		e.stale++
		return false
	}
	e.fence = max(e.fence, n)
	return true
}

func (e *Engine) fetchWeights(r *http.Request, o openai.Order) bool {
	if e.set.Weights == "" {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, strings.TrimSuffix(e.set.Weights, "/")+"/weights/"+o.Model+"/"+o.Version, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// load replaces what is loaded; until it is done the engine refuses all.
// Requests in flight finish on what they began with.
func (e *Engine) load(name string) {
	done := func() {
		e.mu.Lock()
		e.loaded, e.cache = name, newPrefixCache(e.set.CacheBlocks)
		e.mu.Unlock()
	}
	if e.set.LoadTime <= 0 {
		done()
		return
	}
	e.mu.Lock()
	e.loaded = ""
	e.mu.Unlock()
	time.AfterFunc(e.set.LoadTime, done)
}
