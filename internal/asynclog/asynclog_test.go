package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	out := &syncBuffer{}
	w := New(out, 1<<10)
	want := ""
	for i := range 20 {
		line := fmt.Sprintln("line", i)
		want += line
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), want)
}

// Guards against the loss of the last lines of a process: Close did not cut short
// the collection of a batch, and the process was killed before it was written.
func TestCloseFlushesPendingLinesImmediately(t *testing.T) {
	is := is.New(t)
	out := &syncBuffer{}
	w := start(out, 1<<10, time.Hour)
	_, err := w.Write([]byte("last\n"))
	is.NoErr(err)
	for len(w.wake) > 0 { // until the writer goroutine has seen the line
		time.Sleep(time.Millisecond)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), "last\n")
}

// Guards against requests that block because the reader of standard output has
// stopped: Write returns at once, and lines that do not fit are dropped and counted.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	r, pipe := io.Pipe()
	w := New(pipe, 1<<10)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 10_000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 9_000)
	var got syncBuffer
	done := make(chan struct{})
	go func() { defer close(done); _, _ = io.Copy(&got, r) }()
	is.NoErr(w.Close())
	pipe.Close()
	<-done
	is.True(strings.Contains(got.String(), "lines dropped"))
}
