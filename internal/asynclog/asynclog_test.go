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

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLinesComeOutInOrder(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
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

// Symptom: the lines that explain the end of a process are missing.
// Events: lines wait to be written together; the process ends, and is killed
// before they have waited long enough.
// Cause: closing did not end that wait.
func TestClosingEndsTheWaitForMoreLines(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	w := start(out, 1<<10, time.Hour)
	_, err := w.Write([]byte("last\n"))
	is.NoErr(err)
	for len(w.wake) > 0 { // until the line is taken up
		time.Sleep(time.Millisecond)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), "last\n")
}

// Symptom: requests stop because nobody reads the log.
// Events: what reads standard output stops reading; lines keep coming.
// Writing returns at once; what does not fit is dropped and counted.
func TestAReaderThatStopsStopsNobody(t *testing.T) {
	is := is.New(t)
	r, pipe := io.Pipe()
	w := New(pipe, 1<<10)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 10_000 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 9_000)
	var got buffer
	done := make(chan struct{})
	go func() { defer close(done); _, _ = io.Copy(&got, r) }()
	is.NoErr(w.Close())
	pipe.Close()
	<-done
	is.True(strings.Contains(got.String(), "lines dropped"))
}
