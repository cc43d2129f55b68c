package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/lovageweir/lovageweir/internal/answerbuf"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// maxEventBytes bounds the size of one event of a stream, maxIdleBytes that of the comments and empty
	// lines between two. Each comment is forwarded on its own, which costs some 15 us.
	maxEventBytes = 1 << 20
	maxIdleBytes  = 64 << 10
	// eventBufferBytes holds several events of the usual size, some hundred bytes.
	eventBufferBytes = 2 << 10
	// firstEventBuffer is the first buffer for an event.
	firstEventBuffer = 512
	// keptEventBytes is the largest buffer that a stream keeps for its next event.
	keptEventBytes = 16 << 10
)

// eventReader reads a stream of events (text/event-stream), one event at a time. An
// event ends with an empty line, which is part of it.
type eventReader struct {
	r   *bufio.Reader
	id  func(line []byte) ([]byte, bool)
	buf answerbuf.Buffer
	// progress bounds the time in which bytes must form an event; nil: unbounded.
	progress *progress
	// idle counts the bytes since the last event that are none: comments and empty lines. pending: some of
	// them are to be followed by an event in time.
	idle    int
	pending bool
}

func newEventReader(r io.Reader, id func(line []byte) ([]byte, bool)) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), id: id, buf: answerbuf.New(nil, maxAnswerBytes)}
}

// newBoundedEventReader returns a reader that fails with EventTime if bytes of an answer form no event
// within limit; 0: unbounded. Its buffer counts against memory until release.
func newBoundedEventReader(resp *upstream.Response, limit time.Duration, memory *membudget.Budget, id func(line []byte) ([]byte, bool)) *eventReader {
	e := newEventReader(resp.Body, id)
	e.buf = answerbuf.New(memory, maxAnswerBytes)
	if limit > 0 {
		e.progress = &progress{body: resp.Body, setDeadline: resp.SetReadDeadline, limit: limit}
		e.progress.partial = func() bool { return e.pending || len(e.buf.Bytes) > 0 || e.r.Buffered() > 0 }
		e.r.Reset(e.progress)
	}
	return e
}

// next returns the next complete event and its id, if it has one. At the end of
// the stream it returns io.EOF, or io.ErrUnexpectedEOF in the middle of an
// event. The event is valid until the next call. Comments are returned like events, further empty
// lines with the event that follows.
func (e *eventReader) next() (event, id []byte, err error) {
	if e.buf.Held() > keptEventBytes {
		e.buf.Release()
	}
	e.buf.Bytes = e.buf.Bytes[:0]
	hasField, isNewLine, isEmpty := false, true, true
	for {
		start := len(e.buf.Bytes)
		line, err := e.r.ReadSlice('\n')
		blank := err == nil && isNewLine && len(bytes.TrimRight(line, "\r\n")) == 0
		isEmpty = isEmpty && (blank || len(line) == 0)
		if err := e.add(line, isEmpty); err != nil {
			return nil, nil, err
		}
		hasField = hasField || isNewLine && isField(line)
		isNewLine = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.buf.Bytes) > 0 && isEmpty {
				return e.buf.Bytes, nil, nil
			}
			if errors.Is(err, io.EOF) && len(e.buf.Bytes) > 0 {
				return nil, nil, io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		if lineID, ok := e.id(e.buf.Bytes[start:]); ok {
			id = bytes.Clone(lineID)
		}
		if blank && !isEmpty {
			return e.buf.Bytes, id, e.ended(hasField)
		}
	}
}

// add appends bytes to the event, which may have empty lines only so far.
func (e *eventReader) add(line []byte, isEmpty bool) error {
	size := len(e.buf.Bytes) + len(line)
	if size > maxEventBytes || e.idle > maxIdleBytes || isEmpty && size > maxIdleBytes {
		return &upstream.BoundError{Bound: upstream.EventBytes}
	}
	if size > cap(e.buf.Bytes) {
		if err := e.buf.Grow(int64(max(firstEventBuffer, size, 2*cap(e.buf.Bytes)))); err != nil {
			return err
		}
	}
	e.buf.Bytes = append(e.buf.Bytes, line...)
	return nil
}

// release gives back the memory of the reader's buffer.
func (e *eventReader) release() { e.buf.Release() }

// isField reports whether a line, or its beginning, is a field of an event.
func isField(line []byte) bool {
	return len(line) > 0 && line[0] != ':' && line[0] != '\n' && line[0] != '\r'
}

// ended records what the bytes up to an empty line were: an event, a comment or nothing.
func (e *eventReader) ended(isEvent bool) error {
	e.idle += len(e.buf.Bytes)
	if isEvent {
		e.idle = 0
	}
	if e.progress == nil {
		return nil
	}
	e.pending = !isEvent && e.progress.hasEvent
	if e.pending {
		return nil
	}
	return e.progress.made(isEvent)
}

// progress reads a body and fails with EventTime once its bytes have formed no event within a limit,
// however many or few come. Between events, a silent endpoint is the watchdog's concern. Before the first
// event, comments count as events: an endpoint may send them while it reads the prompt.
type progress struct {
	body        io.Reader
	setDeadline func(time.Time) error
	limit       time.Duration
	// partial reports whether bytes of an unfinished event have been read.
	partial  func() bool
	hasEvent bool
	deadline time.Time // for the end of the event that has begun; zero: none has
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	if p.deadline.IsZero() && p.partial() {
		p.deadline = time.Now().Add(p.limit)
		if err := p.setDeadline(p.deadline); err != nil {
			return 0, err
		}
	}
	n, err := p.body.Read(b)
	if !p.deadline.IsZero() && (errors.Is(err, os.ErrDeadlineExceeded) || n > 0 && time.Now().After(p.deadline)) {
		return 0, &upstream.BoundError{Bound: upstream.EventTime}
	}
	return n, err
}

// made records that an event or comment is complete.
func (p *progress) made(isEvent bool) error {
	p.hasEvent = p.hasEvent || isEvent
	if p.deadline.IsZero() {
		return nil
	}
	p.deadline = time.Time{}
	return p.setDeadline(time.Time{})
}

// extend gives the event that has begun more time, as reads were held up for it.
func (p *progress) extend(d time.Duration) {
	if p != nil && !p.deadline.IsZero() {
		p.deadline = p.deadline.Add(d)
		_ = p.setDeadline(p.deadline) // a closed connection fails to be read
	}
}
