package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// mostEvent bounds one event of a stream.
const mostEvent = 1 << 20

// errEventTooLarge: the endpoint sent an event beyond mostEvent.
var errEventTooLarge = errors.New("event is too large")

// events reads a stream of events (text/event-stream), one whole event at a
// time: an event is what stands up to and with an empty line.
type events struct {
	r   *bufio.Reader
	id  func(line []byte) ([]byte, bool)
	buf []byte
}

// eventBuffer holds a usual event of some hundred bytes several times.
const eventBuffer = 2 << 10

func newEvents(r io.Reader, id func(line []byte) ([]byte, bool)) *events {
	return &events{r: bufio.NewReaderSize(r, eventBuffer), id: id}
}

// next returns the next whole event and its id, if it has one. At the end of
// the stream it returns io.EOF, or io.ErrUnexpectedEOF in the middle of an
// event. The event is valid until the next call.
func (e *events) next() (event, id []byte, err error) {
	e.buf = e.buf[:0]
	for {
		start := len(e.buf)
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buf) > mostEvent {
				return nil, nil, errEventTooLarge
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				return nil, nil, io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		if got, ok := e.id(e.buf[start:]); ok {
			id = bytes.Clone(got)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buf, id, nil
		}
	}
}
