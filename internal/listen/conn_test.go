package listen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/internal/membudget"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// consumed returns how many bytes net/http reads of a request, and whether it accepts them.
func consumed(raw []byte) (int, bool) {
	rest := bytes.NewReader(raw)
	in := bufio.NewReader(rest)
	r, err := http.ReadRequest(in)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return len(raw) - rest.Len() - in.Buffered(), err == nil
}

// Guards against a body whose end is found elsewhere than net/http finds it: what follows would not be counted.
func TestChunkScannerFindsTheEndThatNetHTTPFinds(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	pieces := []string{"1\r\nx\r\n", "5;a=b\r\nhello\r\n", "0a \r\n0123456789\r\n", "3\r\nabc\r\n", "0\r\n", "\r\n", "a: b\r\n", "\n", "\r", "0", "G\r\n", "2\r\nab", " ", ";", "x", "00000000000000001\r\n"}
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 12).Draw(t, "pieces"), "") + "GET /"
		s := chunkScanner{}
		n, done, err := 0, false, error(nil)
		for n < len(body) && !done && err == nil {
			piece := body[n:min(len(body), n+rapid.IntRange(1, 7).Draw(t, "read"))]
			var read int
			read, done, err = s.scan([]byte(piece))
			n += read
		}
		want, accepted := consumed([]byte(head + body))
		if accepted && err == nil && (!done || len(head)+n != want) {
			t.Fatalf("%q: end after %d bytes, done %v; net/http reads %d", body, n, done, want-len(head))
		}
		if done && accepted && len(head)+n != want {
			t.Fatalf("%q: end after %d bytes; net/http reads %d", body, n, want-len(head))
		}
	})
}

// Guards against a head whose end is found elsewhere than net/http finds it.
func TestHeadScannerFindsTheEndThatNetHTTPFinds(t *testing.T) {
	pieces := []string{"a: b\r\n", "a:\n", "\r\n", "\n", " folded\r\n", "\r", "b: c", ",", ":"}
	rapid.Check(t, func(t *rapid.T) {
		raw := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 10).Draw(t, "pieces"), "") + "\r\n\r\n"
		s := headScanner{}
		n, done := s.scan([]byte(raw))
		want, accepted := consumed([]byte(raw))
		if accepted && (!done || n != want) {
			t.Fatalf("%q: end after %d bytes, done %v; net/http reads %d", raw, n, done, want)
		}
	})
}

// echo answers with the body of the request and its number.
func echo(served *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		served.Add(1)
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
}

// holding returns a handler that closes held when it has a request of /held, which it answers once hold is closed; it
// answers others at once.
func holding() (h http.Handler, held, hold chan struct{}) {
	hold, held = make(chan struct{}), make(chan struct{})
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(held)
			<-hold
		}
	}), held, hold
}

func servePool(t testing.TB, h http.Handler, a Admission, p PoolSettings) *Listener {
	l := New("test", "127.0.0.1:0", &http.Server{Handler: h, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute})
	l.SetAdmission(a)
	l.SetPool(NewPool(p))
	if err := l.Start(discardLogger()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.srv.Close() })
	return l
}

// Guards against requests on one connection that are mixed up, and memory that is never released.
func TestRequestsOfOneConnectionAreToldApart(t *testing.T) {
	memory := membudget.New(64 << 20)
	heads := memory.Part(8 << 20)
	var served atomic.Int64
	l := servePool(t, echo(&served), Admission{}, PoolSettings{Memory: memory, Heads: heads})
	rapid.Check(t, func(t *rapid.T) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		size := rapid.IntRange(1, 8000).Draw(t, "piece")
		var raw strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			body := strings.Repeat("\n", rapid.IntRange(0, 3).Draw(t, "lines")) + strings.Repeat("b", rapid.IntRange(0, 9000).Draw(t, "body"))
			lines := strings.Repeat("a:\r\n", rapid.IntRange(0, 3000).Draw(t, "head"))
			switch rapid.SampledFrom([]string{"none", "length", "chunks"}).Draw(t, "framing") {
			case "none":
				body = ""
				fmt.Fprintf(&raw, "GET /%d HTTP/1.1\r\nHost: h\r\n%s\r\n", i, lines)
			case "length":
				fmt.Fprintf(&raw, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", i, len(body), lines, body)
			case "chunks":
				fmt.Fprintf(&raw, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%s\r\n", i, lines)
				if body != "" {
					fmt.Fprintf(&raw, "%x\r\n%s\r\n", len(body), body)
				}
				raw.WriteString("0\r\n" + strings.Repeat("t: u\r\n", rapid.IntRange(0, 2).Draw(t, "trailers")) + "\r\n")
			}
			want = append(want, fmt.Sprintf("/%d %s", i, body))
		}
		go func() {
			rest := raw.String()
			for rest != "" {
				n := min(len(rest), size)
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		in := bufio.NewReader(conn)
		for _, w := range want {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != w {
				t.Fatalf("got %.40q, %v; want %.40q", body, err, w)
			}
		}
	})
	waitUntil(func() bool { return memory.Used() == 0 && heads.Used() == 0 })
}

func manyLines(n int) string {
	return "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + strings.Repeat("a:\r\n", n) + "\r\nbody"
}

// Guards against a refusal that breaks its promise not to run the request and to say when to come back.
func TestRequestsWithoutMemoryForTheirHeadsAreRefused(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	hold, held := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" && served.Add(1) == 1 {
			close(held)
			<-hold
		}
	})
	var refused atomic.Int64
	busy := &Refusal{Reason: "memory", Response: []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")}
	heads := membudget.New(2 << 20)
	l := servePool(t, h, Admission{Busy: busy, OnRefused: func(string) { refused.Add(1) }}, PoolSettings{Heads: heads})
	request := func(raw string) *http.Response {
		conn := dial(t, l)
		_, err := io.WriteString(conn, raw)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		return resp
	}
	first := dial(t, l)
	_, err := io.WriteString(first, manyLines(3500))
	is.NoErr(err)
	<-held
	resp := request(manyLines(3500))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "0.50")
	is.Equal(served.Load(), int64(1))
	is.Equal(refused.Load(), int64(1))
	is.Equal(request("GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode, http.StatusOK) // small ones have room
	close(hold)
	waitUntil(func() bool { return heads.Used() == 0 })
	is.Equal(request(manyLines(3500)).StatusCode, http.StatusOK)
}

// Guards against heads beyond the limit, which were answered by net/http before.
func TestHeadsBeyondTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	l := servePool(t, echo(&served), Admission{}, PoolSettings{})
	conn := dial(t, l)
	_, err := io.WriteString(conn, manyLines(6000))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(served.Load(), int64(0))
}

// Guards against clients that hold up their requests and keep others from being accepted; those that are answered stay.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	h, held, hold := holding()
	var closed atomic.Value
	l := servePool(t, h, Admission{MaxOpen: 2}, PoolSettings{OnClosed: func(reason string) { closed.Store(reason) }})
	answered := dial(t, l)
	_, err := io.WriteString(answered, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-held
	stalled := dial(t, l)
	_, err = io.WriteString(stalled, "GET / HTTP/1.1\r\nHost: h\r\na:")
	is.NoErr(err)
	waitUntil(func() bool { return l.Busy() == 2 })
	is.True(!exchange(t, dial(t, l))) // it has only just begun
	time.Sleep(minStall)
	waitUntil(func() bool { return exchange(t, dial(t, l)) })
	is.Equal(closed.Load(), closedStalled)
	close(hold)
	resp, err := http.ReadResponse(bufio.NewReader(answered), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against idle connections of ordinary clients that are closed while others hold theirs without sending.
func TestLongStallsYieldBeforeIdleConnections(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	l := servePool(t, echo(&served), Admission{MaxOpen: 2}, PoolSettings{})
	idle, stalled := dial(t, l), dial(t, l)
	is.True(exchange(t, idle))
	_, err := io.WriteString(stalled, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	time.Sleep(longStall + 100*time.Millisecond)
	is.True(exchange(t, dial(t, l)))
	is.True(exchange(t, idle))
	_, err = stalled.Read(make([]byte, 1))
	is.True(err != nil)
}

// Guards against a request in progress whose connection is closed as idle: it was sent ahead, with the one before.
func TestRequestsSentAheadAreNotIdle(t *testing.T) {
	is := is.New(t)
	h, held, hold := holding()
	l := servePool(t, h, Admission{MaxOpen: 1}, PoolSettings{})
	conn := dial(t, l)
	in := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-held
	is.True(!exchange(t, dial(t, l)))
	close(hold)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// Guards against memory that is never released: a connection is closed to make room as a handler takes it over.
func TestConnectionsTakenOverOnceClosedReleaseTheirMemory(t *testing.T) {
	is := is.New(t)
	memory := membudget.New(1 << 20)
	p := NewPool(PoolSettings{Memory: memory})
	l := New("test", "", &http.Server{})
	l.SetPool(p)
	for _, closedFirst := range []bool{true, false} {
		client, server := net.Pipe()
		defer client.Close()
		c := l.newConn(server)
		is.Equal(p.add(c), "")
		if closedFirst {
			is.NoErr(c.Close())
		}
		c.hijack()
		_ = c.Close()
		is.Equal(memory.Used(), int64(0))
	}
}

// Guards against heads on kept connections, and heads sent ahead, whose time nothing bounds until it is all over.
func TestTheTimeOfHeadsIsBounded(t *testing.T) {
	var served atomic.Int64
	l := New("test", "127.0.0.1:0", &http.Server{Handler: echo(&served), ReadHeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute})
	is.New(t).NoErr(l.Start(discardLogger()))
	defer l.srv.Close()
	const whole, part = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\na:"
	for name, sent := range map[string][]string{"new": {part}, "kept": {whole, part}, "ahead": {whole + part}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := dial(t, l)
			for _, s := range sent {
				_, err := io.WriteString(conn, s)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err := io.Copy(io.Discard, conn)
			is.NoErr(err) // it was closed
		})
	}
}

// Guards against descriptors beyond the bound: connections of all addresses count, and idle ones yield.
func TestAddressesShareTheirDescriptors(t *testing.T) {
	is := is.New(t)
	p := NewPool(PoolSettings{MaxDescriptors: 4})
	var served atomic.Int64
	var listeners []*Listener
	for range 2 {
		l := New("test", "127.0.0.1:0", &http.Server{Handler: echo(&served)})
		l.SetPool(p)
		is.NoErr(l.Start(discardLogger()))
		defer l.srv.Close()
		listeners = append(listeners, l)
	}
	for range 3 {
		for _, l := range listeners {
			is.True(exchange(t, dial(t, l)))
			waitUntil(func() bool { return l.Busy() == 0 })
			p.mu.Lock()
			is.True(p.descriptors <= 4)
			p.mu.Unlock()
		}
	}
	is.Equal(served.Load(), int64(6))
}
