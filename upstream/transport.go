package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// NewClient returns a client whose answers are valid and have bodies of at most max bytes. It replaces t's DialContext.
func NewClient(t *http.Transport, max int64) *http.Client {
	return &http.Client{Transport: LimitBodies(ValidateAnswers(t), max)}
}

// ValidateAnswers returns a transport that fails for an answer which is not valid HTTP/1, and whose bodies fail if they
// end with a connection that was reset. Heads that come over TLS are not checked. It replaces t's DialContext.
func ValidateAnswers(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &answersConn{Conn: detectResets(conn), head: headScanner{ended: true}}, nil
	}
	return validatingTransport{t}
}

type validatingTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. Once the transport has got a connection, the answer before has been read, but for
// bytes that follow it.
func (v validatingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[answersConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			if conn, ok := got.Conn.(*answersConn); ok {
				conn.expectHead()
				used.Store(conn)
			}
		},
		GotFirstResponseByte: func() {
			if conn := used.Load(); conn != nil {
				conn.beginAnswer()
			}
		},
	}
	resp, err := v.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	conn := used.Load()
	if conn == nil {
		return resp, err
	}
	if err = conn.explain(err); err != nil && resp != nil {
		_ = resp.Body.Close()
		resp = nil
	}
	return resp, err
}

// answersConn checks the heads of the answers that are read from it, one after the other.
type answersConn struct {
	net.Conn
	mu      sync.Mutex
	head    headScanner // guarded by mu
	unread  bool        // nothing was read since a head is expected; guarded by mu
	invalid error       // why an answer is not valid; guarded by mu
}

// expectHead makes the bytes that are read next be checked as a head.
func (c *answersConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.unread = headScanner{}, true
}

// beginAnswer is called once net/http has the first byte of an answer. If it had that byte before the request got the
// connection, which net/http overlooks now and then, the answer is to no request, and was not checked. The connection is
// closed before the answer is returned, so that a request whose head is not written by then does not run.
func (c *answersConn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		c.invalid = &InvalidError{Unrequested}
		_ = c.Conn.Close()
	}
}

// explain returns the defect of an answer, or else the error: net/http reports a line that breaks off as malformed.
func (c *answersConn) explain(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid != nil {
		return c.invalid
	}
	return err
}

// Read implements net.Conn.
func (c *answersConn) Read(b []byte) (int, error) {
	if err := c.explain(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = c.unread && n == 0
	begun := c.head.begun()
	valid, invalid := c.head.scan(b[:n])
	if invalid == nil {
		return n, err
	}
	c.invalid = invalid
	if valid == 0 && begun {
		return 0, invalid
	}
	// If not a byte arrives on a kept connection, net/http sends the request again.
	return max(1, valid), nil
}
