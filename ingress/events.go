package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge: the endpoint sent an event of more than maxEventBytes.
var errEventTooLarge = errors.New("event is too large")

// eventReader reads a stream of events (text/event-stream), one event at a time. An
// event ends with an empty line, which is part of it.
type eventReader struct {
	r   *bufio.Reader
	id  func(line []byte) ([]byte, bool)
	buf []byte
}

// eventBufferBytes holds several events of the usual size, some hundred bytes.
const eventBufferBytes = 2 << 10

func newEventReader(r io.Reader, id func(line []byte) ([]byte, bool)) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), id: id}
}

// next returns the next complete event and its id, if it has one. At the end of
// the stream it returns io.EOF, or io.ErrUnexpectedEOF in the middle of an
// event. The event is valid until the next call.
func (e *eventReader) next() (event, id []byte, err error) {
	e.buf = e.buf[:0]
	for {
		start := len(e.buf)
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buf) > maxEventBytes {
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
		if lineID, ok := e.id(e.buf[start:]); ok {
			id = bytes.Clone(lineID)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buf, id, nil
		}
	}
}
