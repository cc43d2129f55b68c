package upstream

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer to no request being taken for one, and against its connection being used after that.
func TestAnAnswerThatIsReadBeforeItsRequestIsNotUsed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before bool // the request gets the connection
		defect Defect
	}{{"read before the request", true, Unrequested}, {"read after it", false, ""}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer far.Close()
			conn := &answersConn{Conn: near, head: headScanner{ended: true}}
			defer conn.Close()
			const text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
			go func() { _, _ = io.WriteString(far, text) }()
			if !tt.before {
				conn.expectHead()
			}
			_, err := io.ReadFull(conn, make([]byte, len(text)))
			is.NoErr(err)
			if tt.before {
				conn.expectHead()
			}
			conn.beginAnswer()
			is.Equal(DefectOf(conn.explain(nil)), tt.defect)
			go func() { _ = far.Close() }()
			_, err = near.Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.ErrClosedPipe), tt.before) // else io.EOF
		})
	}
}
