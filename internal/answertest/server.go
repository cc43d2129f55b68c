package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Listen serves each connection to an address, which it returns, until the test has ended.
func Listen(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// Start returns the address of a server that answers each request on a connection of its own, with an answer of a kind.
func Start(t testing.TB, kind Kind, fields, body string) string {
	t.Helper()
	return Listen(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			_ = conn.Close()
			return
		}
		if !kind.Early() {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		Serve(conn, kind, Text(kind, fields, body, len(body)/2), req.Body, req.ContentLength)
	})
}

// endlessWrite is the size of each write of repeated text.
const endlessWrite = 16 << 10

// StartEndless returns the address of a server that answers each request with a text, and then repeats another one until
// the client closes the connection.
func StartEndless(t testing.TB, text string, repeated func(*http.Request) string) string {
	t.Helper()
	return Listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(conn, text)
		again := repeated(req)
		piece := []byte(strings.Repeat(again, 1+endlessWrite/len(again)))
		for err == nil {
			_, err = conn.Write(piece)
		}
	})
}

// PeakMemory calls f and returns how much more memory than before is in use at most meanwhile, in bytes.
func PeakMemory(f func()) int64 {
	inUse := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	runtime.GC()
	before := inUse()
	var peak atomic.Int64
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak.Store(max(peak.Load(), inUse()))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	<-sampled
	return peak.Load() - before
}

// CheckReader checks what reads answers: it must fail for each answer that is not valid, and for none that is unusual.
// read sends a request to an address; fields and body are those of an answer that it accepts.
func CheckReader(t *testing.T, fields, body string, read func(address string) error) {
	t.Helper()
	for _, kind := range InvalidHeads {
		if err := read(Start(t, kind, fields, body)); err == nil {
			t.Errorf("%s: answer is used", kind)
		}
	}
	for _, kind := range Odd {
		if kind.Early() {
			continue // these are for long bodies
		}
		if err := read(Start(t, kind, fields, body)); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
	}
}
