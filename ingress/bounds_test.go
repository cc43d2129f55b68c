package ingress

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against streams that lose bytes: empty lines and comments between events are forwarded, in order.
func TestAllBytesOfAStreamAreForwarded(t *testing.T) {
	is := is.New(t)
	const in = "\n\r\n:comment\n\nid: 1\ndata: a\n\n\n\ndata: b\r\n\r\n:\n\ndata: c\n\n\n"
	e := newEventReader(bytes.NewReader([]byte(in)), func([]byte) ([]byte, bool) { return nil, false })
	var out []byte
	for {
		event, _, err := e.next()
		if err != nil {
			is.Equal(err, io.EOF)
			break
		}
		out = append(out, event...)
	}
	is.Equal(string(out), in)
}
