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
	"time"
)

// Bounds of a call.
const (
	// DialTimeout bounds the opening of a connection: endpoints are a
	// millisecond or two away, and one behind a partition answers nothing. A
	// packet that is lost is sent again after a second: too late in any case.
	DialTimeout = 200 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is
	// read: what a connection's buffers take without its reader.
	inlineBody = 16 << 10
	readBuffer = 4 << 10
	// mostInformational is how many 1xx answers are passed over.
	mostInformational = 8
)

// Errors of a call. After NotSentError nothing of the request reached the
// endpoint; after any other it may have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns what kept the request from being sent.
func (e *NotSentError) Unwrap() error { return e.Err }

// Request is one request to one endpoint.
type Request struct {
	Address string // IP:port
	Method  string
	Target  string // path and query, as the caller sent them
	Host    string
	Header  http.Header // without Host and Content-Length
	Body    []byte
	HasBody bool // a length is told even if it is 0
	// ConnectWithin is how long the endpoint may take to accept the connection;
	// 0: DialTimeout.
	ConnectWithin time.Duration
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length; -1: not known beforehand.
	Length int64
	Body   io.Reader
	// Framed: the end of the body is marked; else it is the connection's.
	Framed bool
	conn   *Conn
}

// Close ends the call.
func (r *Response) Close() { r.conn.Close() }

// Conn is the connection of one call; closing it ends the call.
type Conn struct {
	net.Conn
	closed atomic.Bool
}

// Close closes the connection once.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

var dialer = &net.Dialer{Timeout: DialTimeout, KeepAlive: -1}

// Send sends a request and reads the head of its answer. The call ends when
// ctx does.
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
	if r.ConnectWithin <= 0 || r.ConnectWithin >= DialTimeout {
		return dialer.DialContext(ctx, "tcp", r.Address)
	}
	d := *dialer
	d.Timeout = r.ConnectWithin
	return d.DialContext(ctx, "tcp", r.Address)
}

func exchange(conn *Conn, r *Request) (*Response, error) {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		if _, err := conn.Write(append(head, r.Body...)); err != nil {
			return nil, err
		}
	} else {
		// An endpoint may answer before it has read a long body, and read on
		// later: the body goes out beside the reading of the answer, or both
		// ends would wait for each other.
		go writeLong(conn, head, r.Body)
	}
	return readHead(conn, r.Method)
}

func writeLong(conn *Conn, head, body []byte) {
	if _, err := conn.Write(head); err != nil {
		return // the reader of the answer sees the same end of the connection
	}
	_, _ = conn.Write(body) // likewise
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a buffer takes all
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func readHead(conn *Conn, method string) (*Response, error) {
	br := bufio.NewReaderSize(conn, readBuffer)
	asked := &http.Request{Method: method}
	for range mostInformational {
		resp, err := http.ReadResponse(br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body, Framed: framed, conn: conn}, nil
	}
	return nil, errors.New("too many informational answers")
}

// Check opens a connection to an endpoint and closes it: one that is dead or
// cut off accepts none.
func Check(address string) error {
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
