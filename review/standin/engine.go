package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// engine is one start of an engine of a plain service.
type engine struct {
	id, zone, service string
	address           string
	work              time.Duration
	slots             int
	// sheds is how many in 100 of its requests it rejects as not run, while its liveness check is good.
	sheds atomic.Int64
	// onRun is called when a request begins to run.
	onRun func(e *engine, id string)

	running atomic.Int64
	count   atomic.Int64
	srv     *http.Server
	ln      net.Listener
	mu      sync.Mutex
	conns   map[net.Conn]bool
}

func newEngine(id, zone, service string, work time.Duration, onRun func(*engine, string)) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, service: service, address: ln.Addr().String(), work: work, slots: 6, onRun: onRun, ln: ln, conns: map[net.Conn]bool{}}
	e.srv = &http.Server{Handler: e, ConnState: e.connState}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

func (e *engine) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

// end ends the engine's process: its listener is closed and its connections are reset.
func (e *engine) end() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// key is the engine's key in the store.
func (e *engine) key() string { return "servers/" + e.id }

// registration is the engine's entry in the store.
func (e *engine) registration(state string) map[string]any {
	return map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 0}
}

// ServeHTTP answers as PROTOCOL.md says.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	load := func() string { return fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots) }
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Instance-Load", load())
		return
	}
	if sheds := e.sheds.Load(); sheds > 0 && e.count.Add(1)%100*37%100 < sheds {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	e.running.Add(1)
	defer e.running.Add(-1)
	e.onRun(e, id)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + id
	sum := sha256.Sum256([]byte(body))
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", e.id+"."+hex.EncodeToString(sum[:8]))
	w.Header().Set("X-Instance-Load", load())
	_, _ = io.WriteString(w, body)
}
