// Package asynclog writes log lines without ever making a request wait for
// their reader: lines go into a bounded buffer that one goroutine writes out,
// and what does not fit is dropped and counted.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultCapacity holds some 2,000 lines.
	DefaultCapacity = 512 << 10
	// flushEvery is how long lines wait to be written together: fewer writes
	// cost less, and a line that explains a failure may be that late.
	flushEvery = 250 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write must be whole lines.
type Writer struct {
	out      io.Writer
	capacity int

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int64
	wake    chan struct{}
	closed  bool
	// closing is closed by Close, so that what waits to be written together is
	// written at once: a process that ends has no time left for more lines.
	closing chan struct{}
	done    chan struct{}
	// collects is how long lines are waited for.
	collects time.Duration
}

// New returns a writer to out with room for capacity bytes.
func New(out io.Writer, capacity int) *Writer {
	return start(out, capacity, flushEvery)
}

func start(out io.Writer, capacity int, collects time.Duration) *Writer {
	w := &Writer{out: out, capacity: capacity, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}), collects: collects}
	go w.run()
	return w
}

// Write takes lines; it never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.pending.Len()+len(p) > w.capacity || w.closed {
		w.dropped++
	} else {
		w.pending.Write(p)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped is how many writes were dropped and not yet told of.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending; it waits at most for a moment, as the reader
// may be gone.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(2 * flushEvery):
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for range w.wake {
		select {
		case <-time.After(w.collects):
		case <-w.closing:
		}
		closed := w.swap(&batch)
		if batch.Len() > 0 {
			_, _ = w.out.Write(batch.Bytes()) // where log lines go is gone: there is nowhere to say so
			batch.Reset()
		}
		if closed {
			return
		}
	}
}

// swap takes what is pending, with a line on what was dropped.
func (w *Writer) swap(batch *bytes.Buffer) (closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch.Write(w.pending.Bytes())
	w.pending.Reset()
	if w.dropped > 0 {
		fmt.Fprintf(batch, `{"level":"WARN","msg":"log: lines dropped.","lines":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	return w.closed
}
