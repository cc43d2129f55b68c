package soak

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/upstream"
)

// Cut is how an entry is cut off from all engines.
type Cut int

// Cuts of an entry.
const (
	NoCut       Cut = iota
	CutHangs        // new connections get no answer, open ones are silent for good
	CutResets       // new connections are refused, open ones are reset
	CutRefuses      // new connections are refused, open ones live on
	CutSilences     // new connections work, those that are open are silent for good
)

// Egress is an HTTP CONNECT proxy between one entry and all engines.
type Egress struct {
	Address string
	ln      net.Listener
	srv     *http.Server
	link    *link // of the entry; nil: unbounded

	mu      sync.Mutex
	cut     Cut
	changed chan struct{} // closed and replaced when cut changes
	tunnels map[*egressTunnel]bool
}

// egressTunnel is one connection through the proxy.
type egressTunnel struct {
	client, engine net.Conn
	silent         bool // guarded by Egress.mu
}

// NewEgress starts a proxy.
func NewEgress() (*Egress, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Egress{Address: ln.Addr().String(), ln: ln, changed: make(chan struct{}), tunnels: map[*egressTunnel]bool{}}
	e.srv = &http.Server{Handler: e}
	go func() { _ = e.srv.Serve(ln) }() // ends with Close
	return e, nil
}

// Close stops the proxy.
func (e *Egress) Close() {
	_ = e.srv.Close()
	e.Set(CutResets)
}

// Set cuts the entry off, or ends a cut.
func (e *Egress) Set(c Cut) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = c
	close(e.changed)
	e.changed = make(chan struct{})
	for t := range e.tunnels {
		switch c {
		case CutHangs, CutSilences:
			t.silent = true
		case CutResets:
			reset(t.client)
			reset(t.engine)
		}
	}
}

func (e *Egress) state() (Cut, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut, e.changed
}

// ServeHTTP implements http.Handler.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut, changed := e.state()
	switch cut {
	case CutHangs:
		select {
		case <-r.Context().Done():
		case <-changed:
		}
		panic(http.ErrAbortHandler)
	case CutResets, CutRefuses:
		refuseConnect(w, "refused")
		return
	}
	e.link.connect()
	engine, err := net.DialTimeout("tcp", r.Host, time.Second)
	if err != nil {
		refuseConnect(w, upstream.Reason(err))
		return
	}
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = engine.Close()
		return
	}
	t := &egressTunnel{client: client, engine: engine}
	e.mu.Lock()
	e.tunnels[t] = true
	e.mu.Unlock()
	defer e.end(t)
	if _, err := io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go e.forward(t, engine, buffered, done)
	go e.forward(t, client, engine, done)
	<-done
}

func refuseConnect(w http.ResponseWriter, reason string) {
	w.Header().Set("Tunnel-Failure", reason)
	w.WriteHeader(http.StatusBadGateway)
}

func (e *Egress) end(t *egressTunnel) {
	e.mu.Lock()
	delete(e.tunnels, t)
	e.mu.Unlock()
	_ = t.client.Close()
	_ = t.engine.Close()
}

// forward copies bytes in one direction. A connection that is silent stays open until its client
// closes it.
func (e *Egress) forward(t *egressTunnel, to net.Conn, from io.Reader, done chan<- struct{}) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		e.mu.Lock()
		silent := t.silent
		e.mu.Unlock()
		if n > 0 && !silent {
			e.link.pass(n, to == t.client)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == nil {
			continue
		}
		if silent && to == t.client {
			return // the end of the engine's side is not seen either
		}
		if err != io.EOF {
			reset(to)
		}
		break
	}
	done <- struct{}{}
}
