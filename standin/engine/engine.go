package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/control"
)

// Settings configure an Engine.
type Settings struct {
	Model    string
	Version  string
	Step     time.Duration // time per generated token
	Capacity int           // concurrent requests; more are refused
	// DefaultTokens is the response length of a request without max_tokens.
	DefaultTokens int
	// PrefillPerKB is the time to process a kilobyte of prompt that is not in
	// the prefix cache, which holds CacheBlocks blocks.
	PrefillPerKB time.Duration
	CacheBlocks  int
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// LoadTime is how long loading a version takes. Weights, if set, is the URL
	// of the weight store that a version is fetched from first.
	LoadTime time.Duration
	Weights  string
	// IgnoreFencing makes the engine obey orders with an old fencing token, as
	// some real engines do.
	IgnoreFencing bool
}

// Faults are the faults that can be injected at run time.
type Faults struct {
	// Silent accepts requests and never responds, like a connection whose state
	// a middlebox has dropped.
	Silent bool `json:"silent"`
	// SilentAfter stops sending after this many tokens and keeps the connection
	// open; CutAfter closes the connection after this many. Zero disables them.
	SilentAfter int `json:"silent_after"`
	CutAfter    int `json:"cut_after"`
	// FailEvery fails every n-th request with status 500. Zero disables it.
	FailEvery int `json:"fail_every"`
	// WrongVersion names another version in responses.
	WrongVersion bool `json:"wrong_version"`
}

// Engine simulates a model engine.
type Engine struct {
	settings Settings
	log      *slog.Logger

	mu              sync.Mutex
	faults          Faults
	loaded          string // model@version; empty while loading
	draining        bool
	fence           int64 // highest fencing token accepted
	staleOrders     int64 // orders refused for an old fencing token
	inFlight        int
	served          int64
	refused         int64
	requestsByModel map[string]int64 // requests run, by model@version
	cache           *prefixCache
	history         []loadSample // recent loads, oldest first, for the lagged report
}

type loadSample struct {
	at   time.Time
	load openai.LoadReport
}

// New returns an engine that has loaded the version in its settings.
func New(settings Settings, log *slog.Logger) *Engine {
	if settings.Capacity <= 0 {
		settings.Capacity = 8
	}
	if settings.DefaultTokens <= 0 {
		settings.DefaultTokens = 16
	}
	if settings.CacheBlocks <= 0 {
		settings.CacheBlocks = 1024
	}
	return &Engine{settings: settings, log: log, loaded: settings.Model + "@" + settings.Version, requestsByModel: map[string]int64{}, cache: newPrefixCache(settings.CacheBlocks)}
}

// Token returns token i of the response to a request. Tests compare what callers
// receive with it.
func Token(requestID string, i int) string {
	return fmt.Sprintf("%s-%d ", requestID, i)
}

// State is the engine's state dump.
type State struct {
	openai.LoadReport
	Loaded      string           `json:"loaded"`
	Fence       int64            `json:"fence"`
	StaleOrders int64            `json:"stale_orders_refused"`
	Served      int64            `json:"served"`
	Refused     int64            `json:"refused"`
	Ran         map[string]int64 `json:"ran"` // requests run, by model@version
	Cache       CacheState       `json:"cache"`
	Faults      Faults           `json:"faults"`
}

func (e *Engine) currentLoadLocked() openai.LoadReport {
	model, version, _ := strings.Cut(e.loaded, "@")
	return openai.LoadReport{Model: model, Version: version, InFlight: e.inFlight, Capacity: e.settings.Capacity, Draining: e.draining}
}

// State returns the current dump.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := map[string]int64{}
	for k, v := range e.requestsByModel {
		ran[k] = v
	}
	return State{LoadReport: e.currentLoadLocked(), Loaded: e.loaded, Fence: e.fence, StaleOrders: e.staleOrders, Served: e.served, Refused: e.refused,
		Ran: ran, Cache: e.cache.state(), Faults: e.faults}
}

// laggedLoad records the current load and returns the load of ReportLag ago.
func (e *Engine) laggedLoad(now time.Time) openai.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, loadSample{now, e.currentLoadLocked()})
	out := e.history[0].load
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.settings.ReportLag {
		e.history = e.history[1:]
		out = e.history[0].load
	}
	return out
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}

// Handler serves the chat API, GET /load, POST /orders, GET /debug/state and
// PUT /fault.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET "+openai.PathLoad, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, e.laggedLoad(time.Now())) })
	mux.HandleFunc("POST "+openai.PathOrders, e.handleOrder)
	control.State(mux, func() any { return e.State() })
	control.Faults(mux, e.SetFaults)
	return mux
}

// admit accepts a request and returns its sequence number, or returns the
// status and reason of a refusal. A refused request has not run.
func (e *Engine) admit(model string) (n int64, f Faults, status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		e.refused++
		return 0, e.faults, http.StatusServiceUnavailable, "engine is draining"
	case model != e.loaded:
		e.refused++
		return 0, e.faults, http.StatusNotFound, "engine has loaded " + e.loaded
	case e.inFlight >= e.settings.Capacity:
		e.refused++
		return 0, e.faults, http.StatusTooManyRequests, "engine at capacity"
	}
	e.inFlight++
	e.served++
	e.requestsByModel[e.loaded]++
	return e.served, e.faults, 0, ""
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req openai.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n, f, status, reason := e.admit(req.Model)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(openai.HeaderDraining, "true")
		}
		w.Header().Set("Retry-After", "1")
		http.Error(w, reason, status)
		return
	}
	defer func() {
		e.mu.Lock()
		e.inFlight--
		e.mu.Unlock()
	}()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.FailEvery > 0 && n%int64(f.FailEvery) == 0 {
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	if !wait(r, e.prefillTime(req)) {
		return
	}
	e.respond(w, r, req, f)
}

// prefillTime returns the time to process the part of the prompt that is not cached.
func (e *Engine) prefillTime(req openai.ChatRequest) time.Duration {
	prompt := ""
	for _, m := range req.Messages {
		prompt += m.Content
	}
	e.mu.Lock()
	missedBytes := e.cache.access(prompt)
	e.mu.Unlock()
	return time.Duration(float64(missedBytes) / 1024 * float64(e.settings.PrefillPerKB))
}

// wait returns false if the request is cancelled before d has passed.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false // cancelled by the caller: stop generating
	}
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, req openai.ChatRequest, f Faults) {
	id := r.Header.Get(openai.HeaderRequestID)
	if id == "" {
		id = "anon"
	}
	n := req.MaxTokens
	if n <= 0 {
		n = e.settings.DefaultTokens
	}
	model := req.Model
	if f.WrongVersion {
		model += "-other"
	}
	if req.Stream {
		e.writeStream(w, r, id, model, n, f)
	} else {
		e.writeResponse(w, r, id, model, n)
	}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, id, model string, n int, f Faults) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	for i := 0; i < n; i++ {
		if !wait(r, e.settings.Step) {
			return
		}
		if f.SilentAfter > 0 && i >= f.SilentAfter {
			<-r.Context().Done()
			return
		}
		if f.CutAfter > 0 && i >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		ch := openai.Chunk{ID: id, Object: "chat.completion.chunk", Model: model,
			Choices: []openai.ChunkChoice{{Delta: openai.Delta{Content: Token(id, i)}}}}
		if i == n-1 {
			stop := "stop"
			ch.Choices[0].FinishReason = &stop
			ch.Usage = &openai.Usage{CompletionTokens: n, TotalTokens: n}
		}
		_, _ = w.Write([]byte("data: "))
		_ = enc.Encode(ch) // Encode appends a newline
		_, _ = w.Write([]byte("\n"))
		if flusher != nil {
			flusher.Flush()
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	if flusher != nil {
		flusher.Flush()
	}
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, id, model string, n int) {
	text := ""
	for i := 0; i < n; i++ {
		if !wait(r, e.settings.Step) {
			return
		}
		text += Token(id, i)
	}
	control.WriteJSON(w, openai.ChatResponse{ID: id, Object: "chat.completion", Model: model,
		Choices: []openai.Choice{{Message: openai.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   openai.Usage{CompletionTokens: n, TotalTokens: n}})
}
