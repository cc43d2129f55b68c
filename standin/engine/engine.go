package engine

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageweir/lovageweir/openai"
)

// Settings configure one engine stand-in.
type Settings struct {
	Model    string
	Version  string
	Step     time.Duration // time per generated token
	Capacity int           // concurrent requests before refusing
	// DefaultTokens is the answer length when a request gives no max_tokens.
	DefaultTokens int
}

// Faults are the run-time switches.
type Faults struct {
	// Bad makes the version answer badly: the rater scores it low.
	Bad bool `json:"bad"`
	// Silent accepts requests and never answers, as a connection that an
	// intermediate box forgot would.
	Silent bool `json:"silent"`
}

// Engine is one stand-in engine.
type Engine struct {
	set Settings
	log *slog.Logger

	inFlight atomic.Int64
	served   atomic.Int64
	refused  atomic.Int64

	mu     sync.Mutex
	faults Faults
}

// New returns an engine.
func New(set Settings, log *slog.Logger) *Engine {
	if set.Capacity <= 0 {
		set.Capacity = 8
	}
	if set.DefaultTokens <= 0 {
		set.DefaultTokens = 16
	}
	return &Engine{set: set, log: log}
}

// Token returns token i of the answer to request id: what the stand-in
// streams, and what tests expect.
func Token(requestID string, i int) string {
	return fmt.Sprintf("%s-%d ", requestID, i)
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Load is the engine's load report.
type Load struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	InFlight int64  `json:"in_flight"`
	Capacity int    `json:"capacity"`
	Served   int64  `json:"served"`
	Refused  int64  `json:"refused"`
	Faults   Faults `json:"faults"`
}

// LoadReport returns the current load.
func (e *Engine) LoadReport() Load {
	return Load{Model: e.set.Model, Version: e.set.Version, InFlight: e.inFlight.Load(), Capacity: e.set.Capacity,
		Served: e.served.Load(), Refused: e.refused.Load(), Faults: e.currentFaults()}
}

// Handler serves the chat API, GET /load, GET /debug/state and PUT /fault.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	report := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.LoadReport())
	}
	mux.HandleFunc("GET /load", report)
	mux.HandleFunc("GET /debug/state", report)
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		e.faults = f
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req openai.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n := e.inFlight.Add(1); n > int64(e.set.Capacity) {
		e.inFlight.Add(-1)
		e.refused.Add(1)
		// Refused before any work: the entry may truthfully say not run.
		w.Header().Set("Retry-After", "1")
		http.Error(w, "engine at capacity", http.StatusTooManyRequests)
		return
	}
	defer e.inFlight.Add(-1)
	if e.currentFaults().Silent {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get(openai.HeaderRequestID)
	if id == "" {
		id = "anon"
	}
	n := req.MaxTokens
	if n <= 0 {
		n = e.set.DefaultTokens
	}
	model := e.set.Model + "@" + e.set.Version
	w.Header().Set(openai.HeaderVersion, e.set.Version)
	if req.Stream {
		e.stream(w, r, id, model, n)
	} else {
		e.whole(w, r, id, model, n)
	}
	e.served.Add(1)
}

func (e *Engine) step(r *http.Request) bool {
	if e.set.Step <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(e.set.Step)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false // cancelled by the caller: stop generating
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id, model string, n int) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	enc := json.NewEncoder(w)
	for i := 0; i < n; i++ {
		if !e.step(r) {
			return
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
		if !e.step(r) {
			return
		}
		text += Token(id, i)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Tokens", strconv.Itoa(n))
	_ = json.NewEncoder(w).Encode(openai.ChatResponse{ID: id, Object: "chat.completion", Model: model,
		Choices: []openai.Choice{{Message: openai.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   openai.Usage{CompletionTokens: n, TotalTokens: n}})
}
