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

// Settings configure one engine stand-in.
type Settings struct {
	Model    string
	Version  string
	Step     time.Duration // time per generated token
	Capacity int           // concurrent requests before refusing
	// DefaultTokens is the answer length when a request gives no max_tokens.
	DefaultTokens int
	// PrefillPerKB is the time to read a kilobyte of prompt that is not in
	// the prefix cache, which holds CacheBlocks blocks.
	PrefillPerKB time.Duration
	CacheBlocks  int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// LoadTime is how long loading a version takes; Weights, when set, is the
	// weight store asked first.
	LoadTime time.Duration
	Weights  string
	// IgnoreFencing makes the engine obey orders with an old fencing number,
	// as some do.
	IgnoreFencing bool
}

// Faults are the run-time switches.
type Faults struct {
	// Silent accepts requests and never answers, as a connection that an
	// intermediate box forgot would.
	Silent bool `json:"silent"`
	// SilentAfter goes silent after this many tokens; CutAfter breaks the
	// connection after them. Zero: neither.
	SilentAfter int `json:"silent_after"`
	CutAfter    int `json:"cut_after"`
	// FailEvery makes every n-th request fail with a 500.
	FailEvery int `json:"fail_every"`
	// WrongVersion answers in the name of another version.
	WrongVersion bool `json:"wrong_version"`
}

// Engine is one stand-in engine.
type Engine struct {
	set Settings
	log *slog.Logger

	mu       sync.Mutex
	faults   Faults
	loaded   string // model@version; empty while loading
	draining bool
	fence    int64 // the highest fencing number obeyed
	stale    int64 // orders refused for an old number
	inFlight int
	served   int64
	refused  int64
	byModel  map[string]int64 // requests run, by model@version
	cache    *prefixCache
	history  []past // recent loads, for the lagging report
}

type past struct {
	at   time.Time
	load openai.LoadReport
}

// New returns an engine.
func New(set Settings, log *slog.Logger) *Engine {
	if set.Capacity <= 0 {
		set.Capacity = 8
	}
	if set.DefaultTokens <= 0 {
		set.DefaultTokens = 16
	}
	if set.CacheBlocks <= 0 {
		set.CacheBlocks = 1024
	}
	return &Engine{set: set, log: log, loaded: set.Model + "@" + set.Version, byModel: map[string]int64{}, cache: newPrefixCache(set.CacheBlocks)}
}

// Token returns token i of the answer to request id: what the stand-in
// streams, and what tests expect.
func Token(requestID string, i int) string {
	return fmt.Sprintf("%s-%d ", requestID, i)
}

// State is the engine's state dump.
type State struct {
	openai.LoadReport
	Loaded  string           `json:"loaded"`
	Fence   int64            `json:"fence"`
	Stale   int64            `json:"stale_orders_refused"`
	Served  int64            `json:"served"`
	Refused int64            `json:"refused"`
	Ran     map[string]int64 `json:"ran"`
	Cache   CacheState       `json:"cache"`
	Faults  Faults           `json:"faults"`
}

func (e *Engine) reportLocked() openai.LoadReport {
	model, version, _ := strings.Cut(e.loaded, "@")
	return openai.LoadReport{Model: model, Version: version, InFlight: e.inFlight, Capacity: e.set.Capacity, Draining: e.draining}
}

// State returns the current dump.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := map[string]int64{}
	for k, v := range e.byModel {
		ran[k] = v
	}
	return State{LoadReport: e.reportLocked(), Loaded: e.loaded, Fence: e.fence, Stale: e.stale, Served: e.served, Refused: e.refused,
		Ran: ran, Cache: e.cache.state(), Faults: e.faults}
}

// report returns the load as it was ReportLag ago.
func (e *Engine) report(now time.Time) openai.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, past{now, e.reportLocked()})
	out := e.history[0].load
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.set.ReportLag {
		e.history = e.history[1:]
		out = e.history[0].load
	}
	return out
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}

// Handler serves the chat API, GET /load, POST /orders, GET /debug/state and
// PUT /fault.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET "+openai.PathLoad, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, e.report(time.Now())) })
	mux.HandleFunc("POST "+openai.PathOrders, e.order)
	control.State(mux, func() any { return e.State() })
	control.Switches(mux, e.SetFaults)
	return mux
}

// admit takes a request in, or says why not. Nothing has run when it refuses.
func (e *Engine) admit(model string) (n int64, f Faults, status int, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		e.refused++
		return 0, e.faults, http.StatusServiceUnavailable, "engine is draining"
	case model != e.loaded:
		e.refused++
		return 0, e.faults, http.StatusNotFound, "engine has loaded " + e.loaded
	case e.inFlight >= e.set.Capacity:
		e.refused++
		return 0, e.faults, http.StatusTooManyRequests, "engine at capacity"
	}
	e.inFlight++
	e.served++
	e.byModel[e.loaded]++
	return e.served, e.faults, 0, ""
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req openai.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n, f, status, why := e.admit(req.Model)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(openai.HeaderDraining, "true")
		}
		w.Header().Set("Retry-After", "1")
		http.Error(w, why, status)
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
	if !wait(r, e.prefill(req)) {
		return
	}
	e.answer(w, r, req, f)
}

// prefill is the time to read what of the prompt is not cached.
func (e *Engine) prefill(req openai.ChatRequest) time.Duration {
	prompt := ""
	for _, m := range req.Messages {
		prompt += m.Content
	}
	e.mu.Lock()
	missed := e.cache.read(prompt)
	e.mu.Unlock()
	return time.Duration(float64(missed) / 1024 * float64(e.set.PrefillPerKB))
}

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

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req openai.ChatRequest, f Faults) {
	id := r.Header.Get(openai.HeaderRequestID)
	if id == "" {
		id = "anon"
	}
	n := req.MaxTokens
	if n <= 0 {
		n = e.set.DefaultTokens
	}
	model := req.Model
	if f.WrongVersion {
		model += "-other"
	}
	if req.Stream {
		e.stream(w, r, id, model, n, f)
	} else {
		e.whole(w, r, id, model, n)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id, model string, n int, f Faults) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	for i := 0; i < n; i++ {
		if !wait(r, e.set.Step) {
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
		_ = enc.Encode(ch) // Encode ends the line
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

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, id, model string, n int) {
	text := ""
	for i := 0; i < n; i++ {
		if !wait(r, e.set.Step) {
			return
		}
		text += Token(id, i)
	}
	control.WriteJSON(w, openai.ChatResponse{ID: id, Object: "chat.completion", Model: model,
		Choices: []openai.Choice{{Message: openai.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   openai.Usage{CompletionTokens: n, TotalTokens: n}})
}
