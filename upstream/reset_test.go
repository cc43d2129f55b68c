package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endedConn is a connection whose reads end, and whose writes wait for their deadline and then fail.
type endedConn struct {
	net.Conn
	expired  chan struct{} // closed when the write deadline is set
	writeErr error         // nil: the deadline's
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.expired)
	return nil
}

func (c *endedConn) Write([]byte) (int, error) {
	<-c.expired
	time.Sleep(10 * time.Millisecond) // the reader is faster
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against taking the end of a connection for proper if a write that is still in progress meets its reset, and for a
// reset if the write only had no room, or came after the end.
func TestReadsReportWhatAWriteMeets(t *testing.T) {
	for _, tt := range []struct{ met, want error }{
		{met: nil, want: io.EOF},
		{met: syscall.EPIPE, want: io.EOF},
		{met: net.ErrClosed, want: io.EOF},
		{met: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{met: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT},
	} {
		is := is.New(t)
		conn := detectResets(&endedConn{expired: make(chan struct{}), writeErr: tt.met})
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = conn.Write(make([]byte, 1))
		}()
		time.Sleep(10 * time.Millisecond) // the write is in progress
		_, err := conn.Read(make([]byte, 1))
		is.True(errors.Is(err, tt.want))
		<-written
	}
}
