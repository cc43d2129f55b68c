package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/openai"
)

// handleOrder executes an order unless its fencing token is lower than one
// accepted before, which means that its sender has lost the lease it acted under.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o openai.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptFence(o.Fence) {
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

// acceptFence reports whether an order with fencing token n may be executed.
func (e *Engine) acceptFence(n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n < e.fence && !e.settings.IgnoreFencing {
		e.staleOrders++
		return false
	}
	e.fence = max(e.fence, n)
	return true
}

func (e *Engine) fetchWeights(r *http.Request, o openai.Order) bool {
	if e.settings.Weights == "" {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, strings.TrimSuffix(e.settings.Weights, "/")+"/weights/"+o.Model+"/"+o.Version, nil)
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

// load replaces the loaded version; the engine refuses all requests until it is
// loaded. Requests in flight finish on the version they began with.
func (e *Engine) load(modelVersion string) {
	complete := func() {
		e.mu.Lock()
		e.loaded, e.cache = modelVersion, newPrefixCache(e.settings.CacheBlocks)
		e.mu.Unlock()
	}
	if e.settings.LoadTime <= 0 {
		complete()
		return
	}
	e.mu.Lock()
	e.loaded = ""
	e.mu.Unlock()
	time.AfterFunc(e.settings.LoadTime, complete)
}
