package listen

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// serve starts a listener whose handler refuses everything.
func serve(t *testing.T) *Listener {
	t.Helper()
	l := New("test", "127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})})
	if err := l.Start(quiet()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.srv.Close() })
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// until waits until cond holds.
func until(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func refused(l *Listener) bool {
	conn, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		conn.Close()
	}
	return err != nil
}

// Symptom: at the end of a planned stop a request is read and its connection
// closes without an answer.
// Events: a connection is accepted; the address is closed; the request arrives on
// the connection before the process ends.
// Cause: net/http drops what it has read once Shutdown has begun, before any
// handler, so that nothing refuses it.
func TestARequestReadWhileTheAddressClosesIsAnswered(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	conn := dial(t, l)
	until(func() bool { return l.Busy() == 1 })
	closed := make(chan int)
	go func() { closed <- l.Close(time.Minute) }()
	until(func() bool { return refused(l) })
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
	is.Equal(<-closed, 0)
}

// A connection that sends nothing does not hold up the end for longer than it
// may take.
func TestASilentConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	dial(t, l)
	until(func() bool { return l.Busy() == 1 })
	is.Equal(l.Close(10*time.Millisecond), 1)
	is.True(refused(l))
}

// Connections that callers keep do not hold it up at all.
func TestKeptConnectionsAreClosedAtOnce(t *testing.T) {
	is := is.New(t)
	l := serve(t)
	conn := dial(t, l)
	in := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(in, nil)
	is.NoErr(err)
	until(func() bool { return l.Busy() == 0 })
	is.Equal(l.Close(time.Minute), 0)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}
