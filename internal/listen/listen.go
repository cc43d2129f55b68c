package listen

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// pollInterval is how often a closing listener checks its connections.
const pollInterval = 5 * time.Millisecond

// Listener serves one HTTP server on one address.
type Listener struct {
	name, address string
	srv           *http.Server

	admission Admission

	pool    *Pool
	created time.Time

	mu sync.Mutex
	ln net.Listener
	// closed: the listener is not to be opened again.
	closed bool
	// busy holds the connections on which a request may be in progress,
	// including those just accepted.
	busy map[net.Conn]bool
}

// Admission decides which connections are served. The others are closed before anything is read
// from them, which tells their callers that nothing was run.
type Admission struct {
	// Refuse returns why not to serve one more connection, beside so many on which a request may be in
	// progress; empty: serve it. nil: serve all. The address is closed for pause then, so that callers are
	// refused before they send anything. It must not block.
	Refuse func(busy int) (reason string, pause time.Duration)
	// MakesRoom reports whether closing a connection whose client holds up its request ends a reason of Refuse;
	// nil: it ends none.
	MakesRoom func(reason string) bool
	// MaxOpen bounds the open connections. 0: unlimited.
	MaxOpen int
	// SingleDescriptor: the requests of this address need no further connection.
	SingleDescriptor bool
	// Wrap returns the connection to serve in place of an accepted one; nil: itself.
	Wrap func(net.Conn) net.Conn
	// OnTurnedAway is called for each connection that is not served; may be nil.
	OnTurnedAway func(reason string)
	// Busy refuses requests for which there is no memory; nil: their connections are closed.
	Busy *Refusal
	// OnRefused is called for each request that is refused before a handler gets it; may be nil.
	OnRefused func(reason string)
}

// Refusal is an answer to a request that no handler gets.
type Refusal struct {
	Reason   string
	Response []byte // as it is sent
}

// Reasons for which there is no room for a connection.
const (
	noDescriptors = "descriptors" // beyond MaxOpen, or PoolSettings.MaxDescriptors
	noMemory      = "memory"
)

// SetAdmission must be called before Start.
func (l *Listener) SetAdmission(a Admission) { l.admission = a }

// SetPool makes the listener share a pool with others. It must be called before Start.
func (l *Listener) SetPool(p *Pool) { l.pool = p }

// New returns a listener that serves srv on address (host:port). The name, that
// of the setting with the address, identifies it in logs and errors. The
// listener takes ownership of srv.
func New(name, address string, srv *http.Server) *Listener {
	l := &Listener{name: name, address: address, srv: srv, busy: map[net.Conn]bool{}, pool: NewPool(PoolSettings{}), created: time.Now()}
	srv.ConnState, srv.ConnContext, srv.Handler = l.connState, bindConn, framing(srv.Handler)
	return l
}

// SetListener makes the listener serve ln, which is already open. It must be called
// before Start.
func (l *Listener) SetListener(ln net.Listener) { l.ln = ln }

// Start opens the address and serves in the background.
func (l *Listener) Start(log *slog.Logger) error {
	if l.ln == nil {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return trace.Wrap(err, "%s", l.name)
		}
		l.ln = ln
	}
	go func() {
		if err := l.srv.Serve(admitting{l, log}); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error("server: stopped listening.", "for", l.name, "address", l.address, "error", err)
		}
	}()
	return nil
}

// Addr returns the address that is served. It must be called after SetListener or
// Start.
func (l *Listener) Addr() net.Addr { return l.listener().Addr() }

func (l *Listener) listener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ln
}

// closeListener closes the address for good.
func (l *Listener) closeListener() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.ln.Close()
}

// CloseIdle closes idle connections and disables keep-alives, so that each
// further response is the last on its connection.
func (l *Listener) CloseIdle() { l.srv.SetKeepAlivesEnabled(false) }

// Close stops accepting connections and closes existing ones as they become
// idle, or after the timeout at the latest. It returns how many were closed while
// still busy.
//
// http.Server.Shutdown is not used: once it has begun, the server still reads
// requests on accepted connections and closes these without calling a handler or
// sending a response. The caller of a non-idempotent request then cannot tell
// that it has not run.
func (l *Listener) Close(timeout time.Duration) int {
	_ = l.closeListener() // not used again, whatever the result
	l.CloseIdle()
	deadline := time.Now().Add(timeout)
	for l.Busy() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	remaining := l.Busy()
	_ = l.srv.Close() // cuts off the remaining connections, as the process exits
	return remaining
}

// Busy returns the number of connections on which a request may be in progress.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}

// connState tracks connection states as reported by net/http.
func (l *Listener) connState(nc net.Conn, s http.ConnState) {
	c := nc.(*conn) // as accepted
	switch s {
	case http.StateIdle:
		c.end()
	case http.StateHijacked:
		c.hijack()
	case http.StateClosed:
		c.finish()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateNew || s == http.StateActive {
		l.busy[c] = true
	} else {
		delete(l.busy, c)
	}
}

// headLimit returns the bytes of a head that net/http would read at most.
func (l *Listener) headLimit() int {
	if l.srv.MaxHeaderBytes > 0 {
		return l.srv.MaxHeaderBytes + readLimitMargin
	}
	return http.DefaultMaxHeaderBytes + readLimitMargin
}

// descriptors returns how many descriptors a connection of the listener counts for.
func (l *Listener) descriptors() int {
	if l.admission.SingleDescriptor {
		return 1
	}
	return 2
}

// admitting accepts the connections that a Listener admits.
type admitting struct {
	l   *Listener
	log *slog.Logger
}

// Accept implements net.Listener.
func (a admitting) Accept() (net.Conn, error) {
	for {
		c, err := a.l.listener().Accept()
		if err != nil {
			return nil, err
		}
		reason, pause := a.l.refusal()
		if reason == "" {
			var served net.Conn
			if served, reason = a.l.admit(c); reason == "" {
				return served, nil
			}
		}
		if f := a.l.admission.OnTurnedAway; f != nil {
			f(reason)
		}
		_ = c.Close() // its caller tries another process
		if err := a.close(pause); err != nil {
			return nil, err
		}
	}
}

// Close implements net.Listener.
func (a admitting) Close() error { return a.l.closeListener() }

// Addr implements net.Listener.
func (a admitting) Addr() net.Addr { return a.l.Addr() }

// close closes the address for a time, and then opens it again.
func (a admitting) close(pause time.Duration) error {
	if pause <= 0 {
		return nil
	}
	address := a.l.Addr().String()
	_ = a.l.listener().Close() // replaced below, whatever the result
	for {
		time.Sleep(pause)
		reopened, err := a.l.reopen(address)
		if reopened || errors.Is(err, net.ErrClosed) {
			return err
		}
		a.log.Error("server: address cannot be opened again; trying on.", "for", a.l.name, "address", address, "error", err)
	}
}

// reopen opens the address again, unless the listener was closed for good: net.ErrClosed.
func (l *Listener) reopen(address string) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false, net.ErrClosed
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false, err
	}
	l.ln = ln
	return true, nil
}

// refusal returns why one more connection is not served, and for how long to close the address; empty: it
// is served.
func (l *Listener) refusal() (reason string, pause time.Duration) {
	a := l.admission
	if a.Refuse == nil {
		return "", 0
	}
	reason, pause = a.Refuse(l.Busy())
	if reason != "" && a.MakesRoom != nil && a.MakesRoom(reason) && l.pool.closeOne(l, needRequest) {
		return "", 0
	}
	return reason, pause
}

// admit returns the connection to serve for an accepted one, or why there is no room for it.
func (l *Listener) admit(accepted net.Conn) (served net.Conn, reason string) {
	if l.admission.MaxOpen > 0 && l.pool.count(l) >= l.admission.MaxOpen && !l.pool.closeOne(l, needConnection) {
		return nil, noDescriptors
	}
	c := l.newConn(accepted)
	if reason := l.pool.add(c); reason != "" {
		return nil, reason
	}
	if f := l.admission.Wrap; f != nil {
		c.Conn = f(accepted)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[c] = true
	return c, ""
}
