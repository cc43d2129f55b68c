package upstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Bounds of what is read from an endpoint or another entry.
const (
	// MaxHeadBytes bounds the heads of an answer, informational ones included.
	MaxHeadBytes = 64 << 10
	// headTime bounds the time from the first byte of a head to its end. Endpoints send heads at
	// once; links and processes may pause for a second or two.
	headTime = 5 * time.Second
)

// Bound names a bound that an answer exceeded.
type Bound string

// Bounds of answers. The chunk bounds are those of net/http: 4 KB for each chunk's size line and for
// the trailers, and 16 KB more of extensions than of data.
const (
	HeadBytes     Bound = "head_bytes"
	HeadTime      Bound = "head_time"
	Informational Bound = "informational"
	ChunkLine     Bound = "chunk_line"
	ChunkOverhead Bound = "chunk_overhead"
	Trailers      Bound = "trailers"
	BodyBytes     Bound = "body_bytes"
	EventBytes    Bound = "event_bytes"
	EventTime     Bound = "event_time"
	AnswerBytes   Bound = "answer_bytes"
	AnswersMemory Bound = "answers_memory"
	CopyBytes     Bound = "copy_bytes"
)

// BoundError reports that an answer exceeded a bound.
type BoundError struct{ Bound Bound }

func (e *BoundError) Error() string { return "answer exceeds its bound: " + string(e.Bound) }

// BoundOf returns the bound that an error reports; empty: none.
func BoundOf(err error) Bound {
	var exceeded *BoundError
	if errors.As(err, &exceeded) {
		return exceeded.Bound
	}
	return ""
}

// headReader bounds the bytes read from a connection until the heads of an answer have been read, and the
// time from the first byte of each head to its end. Until the first byte the endpoint may be at work. It fails
// with an InvalidError if a head is not valid.
type headReader struct {
	r           io.Reader
	setDeadline func(time.Time) error // for reads of r; nil: time is not bounded
	left        int                   // negative: unlimited
	begun       bool                  // a part of the head was read
	timed       bool                  // the deadline is set
	head        headScanner
	failed      error // a BoundError or an InvalidError; nil: none
}

// newHeadReader returns a reader of at most MaxHeadBytes.
func newHeadReader(r io.Reader, setDeadline func(time.Time) error) *headReader {
	return &headReader{r: r, setDeadline: setDeadline, left: MaxHeadBytes}
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	switch {
	case h.left < 0:
		return h.r.Read(b)
	case h.left == 0:
		h.failed = &BoundError{HeadBytes}
		return 0, h.failed
	case h.begun && !h.timed && h.setDeadline != nil:
		h.timed = true
		if err := h.setDeadline(time.Now().Add(headTime)); err != nil {
			return 0, err
		}
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	h.begun = h.begun || n > 0
	if h.timed && errors.Is(err, os.ErrDeadlineExceeded) {
		h.failed = &BoundError{HeadTime}
		err = h.failed
	}
	if _, invalid := h.head.scan(b[:n]); invalid != nil {
		h.failed = invalid
		return 0, invalid
	}
	return n, err
}

// explain returns the bound or the defect that made reading a head fail, or else its error: net/http reports a line
// that breaks off as malformed.
func (h *headReader) explain(err error) error {
	if err != nil && h.failed != nil {
		return h.failed
	}
	return err
}

// next ends the time of a head; buffered reports whether a part of the next one was read.
func (h *headReader) next(buffered bool) error {
	h.begun = buffered
	if !h.timed {
		return nil
	}
	h.timed = false
	return h.setDeadline(time.Time{})
}

// headRead ends the bounds: what follows is the body.
func (h *headReader) headRead() error {
	h.left = -1
	return h.next(false)
}

// chunkedBody names the bounds of net/http's reader of chunks.
type chunkedBody struct{ io.Reader }

// Read implements io.Reader.
func (c chunkedBody) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = chunkError(err)
	}
	return n, err
}

// chunkError returns the BoundError for an error of net/http; it exports only one of them.
func chunkError(err error) error {
	switch {
	case errors.Is(err, http.ErrLineTooLong):
		return &BoundError{ChunkLine}
	case err.Error() == "chunked encoding contains too much non-data":
		return &BoundError{ChunkOverhead}
	case err.Error() == "http: suspiciously long trailer after chunked body":
		return &BoundError{Trailers}
	}
	return err
}

// LimitBodies returns a transport whose answers have bodies of at most max bytes. Reading more fails
// with BodyBytes.
func LimitBodies(t http.RoundTripper, max int64) http.RoundTripper { return limitedTransport{t, max} }

type limitedTransport struct {
	http.RoundTripper
	max int64
}

// RoundTrip implements http.RoundTripper.
func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if resp.ContentLength > l.max {
		_ = resp.Body.Close()
		return nil, &BoundError{BodyBytes}
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: l.max}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (l limitedTransport) CloseIdleConnections() {
	if t, ok := l.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.ReadCloser.Read(b[:min(int64(len(b)), l.left+1)])
	if l.left -= int64(n); l.left < 0 {
		return 0, &BoundError{BodyBytes}
	}
	return n, err
}
