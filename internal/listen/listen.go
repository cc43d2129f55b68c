// Package listen serves HTTP on an address, and ends without leaving a request
// that it has read unanswered.
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

// poll is how often a closing listener looks at its connections.
const poll = 5 * time.Millisecond

// Listener is one address and what is served there.
type Listener struct {
	name, address string
	srv           *http.Server
	ln            net.Listener

	mu sync.Mutex
	// busy are the connections on which a request may be under way: those that
	// were just accepted, too.
	busy map[net.Conn]bool
}

// New returns a listener that serves srv on address, host:port; the name is what
// it is called in logs and errors, as the setting that gives the address. It
// takes srv over.
func New(name, address string, srv *http.Server) *Listener {
	l := &Listener{name: name, address: address, srv: srv, busy: map[net.Conn]bool{}}
	srv.ConnState = l.connState
	return l
}

// Use makes the listener serve ln, which is open already. It is called before
// Start.
func (l *Listener) Use(ln net.Listener) { l.ln = ln }

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
		if err := l.srv.Serve(l.ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error("server: stopped listening.", "for", l.name, "address", l.address, "error", err)
		}
	}()
	return nil
}

// Addr is the address that is served, once it is open.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// CloseIdle closes connections on which nothing is under way, and makes each
// answer from now on the last on its connection.
func (l *Listener) CloseIdle() { l.srv.SetKeepAlivesEnabled(false) }

// Close takes no more connections, and closes those that are there once nothing
// is under way on them, at the latest after within. It returns how many were
// closed with something under way.
//
// http.Server.Shutdown is not used: once it has begun, the server reads requests
// on connections that it has accepted, and closes these without an answer and
// without asking any handler. Callers of what may run once only cannot tell that
// it has not run.
func (l *Listener) Close(within time.Duration) int {
	_ = l.ln.Close() // nothing of it is used again
	l.CloseIdle()
	latest := time.Now().Add(within)
	for l.Busy() > 0 && time.Now().Before(latest) {
		time.Sleep(poll)
	}
	left := l.Busy()
	_ = l.srv.Close() // what is left is cut off: the process ends
	return left
}

// Busy is the number of connections on which a request may be under way.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.busy)
}

// connState follows the connections' states, which net/http tells.
func (l *Listener) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		l.busy[c] = true
	default:
		delete(l.busy, c)
	}
}
