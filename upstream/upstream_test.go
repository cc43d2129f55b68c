package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/upstream"
)

// serveText accepts connections and writes text in response to each request. It
// returns its address and a channel of the requests: method, target, host, body.
func serveText(t *testing.T, text string) (string, chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				requests <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
				_, _ = io.WriteString(conn, text)
			}()
		}
	}()
	return ln.Addr().String(), requests
}

func request(address string) *upstream.Request {
	return &upstream.Request{Address: address, Method: http.MethodPost, Target: "/a%2Fb?x=1", Host: "h.example", Header: http.Header{"X-A": {"1"}}, Body: []byte("body")}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	is := is.New(t)
	address, requests := serveText(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := upstream.Send(context.Background(), request(address))
	is.NoErr(err)
	defer resp.Close()
	is.Equal(<-requests, "POST /a%2Fb?x=1 h.example body")
	is.Equal(resp.Status, http.StatusOK) // the informational response is skipped
	is.True(resp.Framed)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}

// Only a request of which nothing was sent is known not to have run.
func TestNotSentErrorIsDistinguished(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = upstream.Send(context.Background(), request(address))
	var notSent *upstream.NotSentError
	is.True(errors.As(err, &notSent))
	is.True(upstream.Check(address) != nil)

	address, requests := serveText(t, "")
	_, err = upstream.Send(context.Background(), request(address))
	is.True(err != nil)
	is.True(!errors.As(err, &notSent))
	is.Equal(len(requests), 1) // it is not retried by the transport
	is.NoErr(upstream.Check(address))
}

// Guards against a truncated response being taken for a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		is := is.New(t)
		address, _ := serveText(t, text)
		resp, err := upstream.Send(context.Background(), request(address))
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
		resp.Close()
	}
}

func TestInvalidResponseIsAnError(t *testing.T) {
	is := is.New(t)
	address, _ := serveText(t, "hello\r\n\r\n")
	_, err := upstream.Send(context.Background(), request(address))
	is.True(err != nil)
}

// Cancelling the context ends the call even while the endpoint is silent.
func TestACallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		cancel()
		_, _ = io.ReadAll(conn) // until the caller closes
	}()
	_, err = upstream.Send(ctx, request(ln.Addr().String()))
	is.True(errors.Is(err, context.Canceled))
}

// FuzzAnswer checks that reading any bytes from an endpoint terminates without a panic.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, err := upstream.ReadResponse(&bytesConn{raw: raw}, http.MethodGet)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
	})
}

// bytesConn is a connection that reads from a byte slice.
type bytesConn struct {
	net.Conn
	raw []byte
}

func (c *bytesConn) Read(p []byte) (int, error) {
	if len(c.raw) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.raw)
	c.raw = c.raw[n:]
	return n, nil
}

func (c *bytesConn) Close() error { return nil }

// Guards against a short call being late because it waits too long to connect to a
// partitioned endpoint while another one could have served it: the time to connect
// used to be the same for all calls. A call that does not connect in its time is not
// sent, and is known not to have run.
func TestCallHasItsOwnConnectTimeout(t *testing.T) {
	is := is.New(t)
	address, requests := serveText(t, "")
	r := request(address)
	r.ConnectTimeout = time.Nanosecond
	_, err := upstream.Send(context.Background(), r)
	var notSent *upstream.NotSentError
	is.True(errors.As(err, &notSent))
	is.Equal(len(requests), 0)
}
