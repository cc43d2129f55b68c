package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/control"
)

// Faults are the faults that can be injected at run time.
type Faults struct {
	// LoseAnswers executes the call and then closes the connection without a response.
	LoseAnswers bool `json:"lose_answers"`
	// Refuse responds with status 503 and does not execute the call.
	Refuse bool `json:"refuse"`
}

// Execution is one executed call.
type Execution struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
	Body           string `json:"body"`
}

// Posted is the response to a call; its field Posted is the number of executions
// so far, this one included.
type Posted struct {
	Posted    int    `json:"posted"`
	RequestID string `json:"request_id"`
}

// Service simulates a service whose calls are not idempotent.
type Service struct {
	callTime time.Duration

	mu         sync.Mutex
	faults     Faults
	executions []Execution
}

// New returns a service whose calls take callTime.
func New(callTime time.Duration) *Service { return &Service{callTime: callTime} }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Ran returns all executions so far, in order.
func (s *Service) Ran() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// State is the service's state dump.
type State struct {
	Executions int         `json:"executions"`
	Ran        []Execution `json:"ran"`
}

// Handler serves every POST as a call, GET /debug/state and PUT /fault.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.handleCall)
	control.State(mux, func() any {
		executions := s.Ran()
		return State{Executions: len(executions), Ran: executions}
	})
	control.Faults(mux, s.SetFaults)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	if !f.Refuse {
		s.executions = append(s.executions, Execution{RequestID: r.Header.Get(openai.HeaderRequestID), IdempotencyKey: r.Header.Get(openai.HeaderIdempotencyKey),
			Path: r.URL.Path, Body: string(body)})
	}
	n := len(s.executions)
	s.mu.Unlock()
	if f.Refuse {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.callTime)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, Posted{Posted: n, RequestID: r.Header.Get(openai.HeaderRequestID)})
}
