package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/control"
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

// Posted is the answer to a call: how many had run when it ended.
type Posted struct {
	Posted    int    `json:"posted"`
	RequestID string `json:"request_id"`
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

// State is the service's state dump.
type State struct {
	Executions int         `json:"executions"`
	Ran        []Execution `json:"ran"`
}

// Handler serves any POST as a call, GET /debug/state and PUT /fault.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.call)
	control.State(mux, func() any {
		ran := s.Ran()
		return State{Executions: len(ran), Ran: ran}
	})
	control.Switches(mux, s.SetFaults)
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
	control.WriteJSON(w, Posted{Posted: n, RequestID: r.Header.Get(openai.HeaderRequestID)})
}
