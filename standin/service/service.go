// Package service is the stand-in for a plain service beside the engines: a
// booking or intake app whose calls (a tenant reminder, a pallet posting)
// may not be repeated. It records every execution, so that tests and
// operators can count them.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/openai"
)

// Faults are the run-time switches.
type Faults struct {
	// LoseAnswers runs the call and then breaks the connection.
	LoseAnswers bool `json:"lose_answers"`
	// Refuse answers 503 without running anything.
	Refuse bool `json:"refuse"`
}

// Execution is one call that ran.
type Execution struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Service is one stand-in service.
type Service struct {
	work time.Duration

	mu     sync.Mutex
	faults Faults
	ran    []Execution
}

// New returns a service whose calls take work.
func New(work time.Duration) *Service { return &Service{work: work} }

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Ran returns every execution so far.
func (s *Service) Ran() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.ran...)
}

// Handler serves any POST as a call, GET /debug/state and PUT /fault.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.call)
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		ran := s.Ran()
		_ = json.NewEncoder(w).Encode(map[string]any{"executions": len(ran), "ran": ran})
	})
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	if !f.Refuse {
		s.ran = append(s.ran, Execution{RequestID: r.Header.Get(openai.HeaderRequestID), Key: r.Header.Get(openai.HeaderIdempotencyKey),
			Path: r.URL.Path, Body: string(body)})
	}
	n := len(s.ran)
	s.mu.Unlock()
	if f.Refuse {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.work)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"posted": n, "request_id": r.Header.Get(openai.HeaderRequestID)})
}
