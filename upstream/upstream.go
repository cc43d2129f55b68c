package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of a call.
const (
	// DialTimeout bounds the time to connect. Endpoints are a millisecond or two
	// away, and one behind a partition does not answer. A lost SYN is
	// retransmitted after a second, which is too late in any case.
	DialTimeout = 200 * time.Millisecond
	// MaxDialTimeout bounds the time to connect of a process that is late itself.
	MaxDialTimeout = time.Second
	// maxInlineBody is the largest body that is written before the response is
	// read: it fits into the connection's buffers even if the endpoint does not
	// read.
	maxInlineBody = 16 << 10
	readBuffer    = 4 << 10
	// receiveBuffer bounds what the kernel holds of an answer that is not read because its caller reads
	// slowly; it would grow to 6 MB. It is enough for 50 Mbit/s over 20 ms.
	receiveBuffer = 128 << 10
	// maxInformational bounds the 1xx responses that are skipped before the answer.
	maxInformational = 8
)

// NotSentError reports that nothing of the request reached the endpoint. After
// any other error of a call the request may have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the error that prevented the request from being sent.
func (e *NotSentError) Unwrap() error { return e.Err }

// Request is one request to one endpoint.
type Request struct {
	Address string // IP:port
	Method  string
	Target  string // path and query, unchanged from the caller's request
	Host    string
	Header  http.Header // without Host and Content-Length
	Body    []byte
	HasBody bool // Content-Length is sent even if it is 0
	// ConnectTimeout bounds the time to connect; 0, or more than DialTimeout:
	// DialTimeout.
	ConnectTimeout time.Duration
	// Connect opens the connection within a time; nil: Dial does, to Address.
	Connect func(ctx context.Context, timeout time.Duration) (net.Conn, error)
}

// DialFunc opens a connection to an address, IP:port. It returns once ctx is done.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection, within MaxDialTimeout. Its reads end with io.EOF only if the peer ended the connection
// properly, also if a write meets a reset first.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // the kernel's own bound holds otherwise
	}
	return detectResets(conn), nil
}

// Response is a response whose body has not been read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1: unknown.
	Length int64
	Body   io.Reader
	// Framed reports whether the body has a length or is chunked; otherwise it
	// ends when the connection closes.
	Framed bool
	conn   *Conn
}

// Close closes the connection, which ends the call.
func (r *Response) Close() { r.conn.Close() }

// SetReadDeadline bounds the time for reads of the body; the zero time: unbounded.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Conn is the connection of one call; closing it ends the call.
type Conn struct {
	net.Conn
	closed atomic.Bool
}

// Close closes the connection; further calls do nothing.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

// Reason classifies why a connection could not be opened: "timeout", "refused", "reset" or "other".
func Reason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "other"
}

var dialer = &net.Dialer{Timeout: MaxDialTimeout, KeepAlive: -1}

// Send sends a request and reads the head of its response. The call ends when
// ctx is done.
func Send(ctx context.Context, r *Request) (*Response, error) {
	raw, err := connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{err}
	}
	conn := &Conn{Conn: raw}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	resp, err := exchange(conn, r)
	if err != nil {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	return resp, nil
}

func connect(ctx context.Context, r *Request) (net.Conn, error) {
	timeout := DialTimeout
	if r.ConnectTimeout > 0 {
		timeout = min(timeout, r.ConnectTimeout)
	}
	if r.Connect != nil {
		return r.Connect(ctx, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return Dial(ctx, r.Address)
}

func exchange(conn *Conn, r *Request) (*Response, error) {
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		if _, err := conn.Write(append(head, r.Body...)); err != nil {
			return nil, err
		}
	} else {
		// An endpoint may respond before it has read all of a long body. The body
		// is written concurrently with reading the response, or both sides could
		// wait for each other.
		go writeLong(conn, head, r.Body)
	}
	return readHead(conn, r.Method, conn.SetReadDeadline)
}

func writeLong(conn *Conn, head, body []byte) {
	if _, err := conn.Write(head); err != nil {
		return // reading the response meets the same closed connection
	}
	_, _ = conn.Write(body) // likewise
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // writing to a buffer cannot fail
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func readHead(conn *Conn, method string, setDeadline func(time.Time) error) (*Response, error) {
	resp, _, err := ReadHead(conn, method, readBuffer, setDeadline)
	if err != nil {
		return nil, err
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	var body io.Reader = resp.Body
	if len(resp.TransferEncoding) > 0 {
		body = chunkedBody{body}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body, Framed: framed, conn: conn}, nil
}

// ReadHead reads the head of the answer to a request from a connection, and skips informational responses before it. It
// fails with an InvalidError if a head is not valid, and with a BoundError if one exceeds a bound; without setDeadline,
// the caller bounds the time. buffered has what follows the head.
func ReadHead(conn io.Reader, method string, bufferSize int, setDeadline func(time.Time) error) (resp *http.Response, buffered *bufio.Reader, err error) {
	bounded := newHeadReader(conn, setDeadline)
	buffered = bufio.NewReaderSize(bounded, bufferSize)
	req := &http.Request{Method: method}
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(buffered, req)
		if err != nil {
			return nil, nil, bounded.explain(err)
		}
		if resp.StatusCode/100 == 1 {
			if err := bounded.next(buffered.Buffered() > 0); err != nil {
				return nil, nil, err
			}
			continue
		}
		return resp, buffered, bounded.headRead()
	}
	return nil, nil, &BoundError{Informational}
}

// Check opens a connection to an endpoint and closes it again. It fails if the
// endpoint is dead or partitioned.
func Check(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	conn, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}
