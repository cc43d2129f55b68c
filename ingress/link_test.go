package ingress_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/lovageweir/lovageweir/upstream"
)

// linkMode is the state of a link.
type linkMode int

const (
	linkUp       linkMode = iota
	linkHangs             // new connections get no answer, open ones are silent for good
	linkResets            // new connections are refused, open ones are reset
	linkRefuses           // new connections are refused, open ones live on
	linkSilences          // new connections work, those that are open now are silent for good
)

// link is the network between an entry and the endpoints.
type link struct {
	mu     sync.Mutex
	mode   linkMode
	paused map[string]chan struct{} // endpoints that are silent, by address; closed when they go on
	conns  map[*linkConn]bool
}

func newLink() *link {
	return &link{paused: map[string]chan struct{}{}, conns: map[*linkConn]bool{}}
}

// set changes the mode.
func (l *link) set(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for c := range l.conns {
		switch m {
		case linkHangs, linkSilences:
			c.silence()
		case linkResets:
			c.reset()
		}
	}
}

// pause makes an endpoint silent until resume is called.
func (l *link) pause(address string) (resume func()) {
	gate := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused[address] = gate
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.paused, address)
		close(gate)
	}
}

func (l *link) state(address string) (linkMode, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.paused[address]
}

// dial implements upstream.DialFunc.
func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	mode, paused := l.state(address)
	switch {
	case mode == linkHangs || paused != nil:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.Cause(ctx)}
	case mode == linkResets || mode == linkRefuses:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	inner, err := upstream.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: inner, link: l, address: address, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link           *link
	address        string
	silent, closed chan struct{}
	silenceOnce    sync.Once
	closeOnce      sync.Once
}

func (c *linkConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *linkConn) reset() {
	_ = c.Conn.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
	}
	if _, paused := c.link.state(c.address); paused != nil {
		select {
		case <-paused:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	case <-c.closed:
		return 0, io.ErrClosedPipe
	default:
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
