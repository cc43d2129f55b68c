// Package asynclog writes log lines without blocking a request on a slow log
// reader: lines go into a bounded buffer that one goroutine writes out, and lines
// that do not fit are dropped and counted.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultCapacity holds about 2,000 lines.
	DefaultCapacity = 512 << 10
	// flushInterval is how long lines are collected into one write: fewer writes
	// cost less, and a line that explains a failure may be that late.
	flushInterval = 250 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write must consist of
// complete lines.
type Writer struct {
	out      io.Writer
	capacity int

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int64
	wake    chan struct{}
	closed  bool
	// closing is closed by Close, so that pending lines are written at once: an
	// exiting process has no time to collect more.
	closing chan struct{}
	done    chan struct{}
	// flushDelay is how long lines are collected before a write.
	flushDelay time.Duration
}

// New returns a writer to out that buffers up to capacity bytes.
func New(out io.Writer, capacity int) *Writer {
	return start(out, capacity, flushInterval)
}

func start(out io.Writer, capacity int, flushDelay time.Duration) *Writer {
	w := &Writer{out: out, capacity: capacity, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}), flushDelay: flushDelay}
	go w.run()
	return w
}

// Write buffers or drops p; it never fails.
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

// Dropped returns the number of dropped writes that have not yet been reported
// in the log.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes pending lines. It waits for a bounded time, as the reader may be
// gone.
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
	case <-time.After(2 * flushInterval):
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for range w.wake {
		select {
		case <-time.After(w.flushDelay):
		case <-w.closing:
		}
		closed := w.takePending(&batch)
		if batch.Len() > 0 {
			_, _ = w.out.Write(batch.Bytes()) // the log output itself has failed, so there is nowhere to report it
			batch.Reset()
		}
		if closed {
			return
		}
	}
}

// takePending moves pending lines to batch, followed by a line with the number
// dropped, if any.
func (w *Writer) takePending(batch *bytes.Buffer) (closed bool) {
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
