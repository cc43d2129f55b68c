package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// resetConn is a connection whose reads end with io.EOF only if the peer ended it. The kernel reports a reset once, to
// whichever of a read and a write comes first; if that is a write, reads end as if the peer had closed the connection
// properly.
type resetConn struct {
	net.Conn
	writing sync.Mutex // held during a write
	failed  error      // the failure that a write met; guarded by writing
}

// detectResets returns a connection whose reads report the resets that its writes meet.
func detectResets(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

// NetConn returns the connection itself.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.failed == nil && isConnFailure(err) {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn. Once the peer has ended the connection, writes fail.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF, or the failure that ended the connection. A write in progress may just have met it: it is
// interrupted, and waited for.
func (c *resetConn) endError() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes end too
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// isConnFailure reports whether the error of a write says that the connection failed. EPIPE says that it had ended before,
// properly or by a failure that was reported.
func isConnFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
