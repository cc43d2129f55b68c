package upstream_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/upstream"
)

// Guards against bounds that cut valid answers: eight informational responses, a head of nearly 64 KB,
// and chunks with extensions and a trailer.
func TestAnswersWithinTheBoundsAreRead(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 8) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 60<<10) + "\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-A: " + strings.Repeat("a", 3<<10) + "\r\n\r\n",
	} {
		is := is.New(t)
		address, _ := serveText(t, text)
		resp, err := upstream.Send(context.Background(), request(address))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		resp.Close()
	}
}

// Guards against an endpoint that does not read holding a long body and its writer beyond the call.
func TestTheBodyOfACallIsNotHeldBeyondIt(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the kernel only
	is.NoErr(err)
	defer ln.Close()
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r := request(ln.Addr().String())
	r.Body = make([]byte, 16<<20)
	_, err = upstream.Send(ctx, r)
	is.True(err != nil)
	for begun := time.Now(); runtime.NumGoroutine() > before && time.Since(begun) < time.Second; {
		time.Sleep(time.Millisecond)
	}
	is.True(runtime.NumGoroutine() <= before)
}
