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

// answering accepts connections and writes text after each request's head;
// it returns its address and the count of requests by their first lines.
func answering(t *testing.T, text string) (string, chan string) {
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

func TestARequestGoesOutAsItIs(t *testing.T) {
	is := is.New(t)
	address, requests := answering(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := upstream.Send(context.Background(), request(address))
	is.NoErr(err)
	defer resp.Close()
	is.Equal(<-requests, "POST /a%2Fb?x=1 h.example body")
	is.Equal(resp.Status, http.StatusOK) // the informational answer is passed over
	is.True(resp.Framed)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}

// Only a request of which nothing went out is known not to have run.
func TestNotSentIsToldApart(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = upstream.Send(context.Background(), request(address))
	var notSent *upstream.NotSentError
	is.True(errors.As(err, &notSent))
	is.True(upstream.Check(address) != nil)

	address, requests := answering(t, "")
	_, err = upstream.Send(context.Background(), request(address))
	is.True(err != nil)
	is.True(!errors.As(err, &notSent))
	is.Equal(len(requests), 1) // and it is not sent again by itself
	is.NoErr(upstream.Check(address))
}

// Symptom: half an answer is taken for a whole one.
func TestAnAnswerCutShortIsAnError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		is := is.New(t)
		address, _ := answering(t, text)
		resp, err := upstream.Send(context.Background(), request(address))
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
		resp.Close()
	}
}

func TestBytesThatAreNoAnswerAreAnError(t *testing.T) {
	is := is.New(t)
	address, _ := answering(t, "hello\r\n\r\n")
	_, err := upstream.Send(context.Background(), request(address))
	is.True(err != nil)
}

// The end of the context ends the call, also while an endpoint says nothing.
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

// FuzzAnswer: whatever an endpoint sends, reading it ends and breaks nothing.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, err := upstream.ReadHead(&feed{raw: raw}, http.MethodGet)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
	})
}

// feed is a connection that holds some bytes.
type feed struct {
	net.Conn
	raw []byte
}

func (f *feed) Read(p []byte) (int, error) {
	if len(f.raw) == 0 {
		return 0, io.EOF
	}
	n := copy(p, f.raw)
	f.raw = f.raw[n:]
	return n, nil
}

func (f *feed) Close() error { return nil }

// Symptom: a short call to an endpoint that is cut off is late, though another
// could have taken it.
// Cause: the time to connect was the same for all calls. One that is not given
// any is not sent, and known not to have run.
func TestACallConnectsWithinItsOwnTime(t *testing.T) {
	is := is.New(t)
	address, requests := answering(t, "")
	r := request(address)
	r.ConnectWithin = time.Nanosecond
	_, err := upstream.Send(context.Background(), r)
	var notSent *upstream.NotSentError
	is.True(errors.As(err, &notSent))
	is.Equal(len(requests), 0)
}
