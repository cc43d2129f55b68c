package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against an entry or proxy that sends a head without end filling the memory until the handshake's
// time is over.
func TestTheHeadOfATunnelIsBounded(t *testing.T) {
	is := is.New(t)
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(far, "X-Filler: "+strings.Repeat("a", 1<<10)+"\r\n")
			}
		}()
		return near, nil
	}
	began := time.Now()
	_, err := openTunnel(context.Background(), dial, "peer", fleet.Endpoint{}, time.Minute, http.Header{})
	is.Equal(upstream.BoundOf(err), upstream.HeadBytes)
	is.True(time.Since(began) < time.Second)
}
