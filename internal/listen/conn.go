package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNoMemory is the error of reads of a body while there is no memory for what the client sends.
var ErrNoMemory = errors.New("no memory for what the client sends")

// errMisframed: net/http found another end of a body.
var errMisframed = errors.New("body ends elsewhere")

const (
	// readLimitMargin is what net/http reads of a head beyond MaxHeaderBytes.
	readLimitMargin = 4 << 10
	// firstHeadBuffer is the first buffer of a head that does not come in one piece.
	firstHeadBuffer = 4 << 10
	// A client that is refused has refusalTime to read that, in which refusalDrain bytes at most are read from it:
	// closing a connection with unread bytes would take the refusal back.
	refusalTime  = 500 * time.Millisecond
	refusalDrain = 1 << 20
)

// phase is what a connection expects from its client.
type phase int

const (
	expectsHead phase = iota // nothing of it was passed on
	headPassed               // and net/http has not called the handler yet
	expectsBody
	answering // the request was read whole
	hijacked
)

// conn is an accepted connection. It holds back the head of a request until it is whole and there is memory for it,
// and tells how long its client has held up its request. net/http reads from one goroutine at a time.
type conn struct {
	net.Conn
	listener   *Listener
	closeWrite func() error // nil: not possible

	// Only used by reads and, between them, by net/http's changes of state.
	pending     []byte // received and not passed on
	scanned     int    // bytes of pending that belong to an incomplete head
	passOn      int    // bytes of pending that belong to a whole head
	head        headScanner
	headBounded bool // the time of the head is bounded
	trailers    int  // lines of trailers that memory was reserved for
	misframed   bool

	mu       sync.Mutex
	phase    phase
	left     int64         // bytes of the body
	chunks   *chunkScanner // of the body; nil: it has a length
	idleAt   time.Time     // since when the connection is idle; zero: it is not
	requests int64         // memory reserved for the request, without its head
	heads    int64         // memory reserved for the head and its buffer
	buffered int64         // part of heads for the buffer
	declared int64         // bytes that the body is to have, or had so far
	ended    bool          // the memory was released

	closed atomic.Bool

	// Times in nanoseconds.
	blockedAt atomic.Int64 // since when, after the listener's start, a read or write waits for the client; 0: none does
	stalled   atomic.Int64 // how long the client has held up its request in earlier ones
	// lingersSince is since when, after the listener's start, the connection is only open for its last answer to be
	// read; 0: it is not.
	lingersSince atomic.Int64
}

func (l *Listener) newConn(c net.Conn) *conn {
	out := &conn{Conn: c, listener: l}
	if tcp, ok := c.(interface{ CloseWrite() error }); ok {
		out.closeWrite = tcp.CloseWrite
	}
	return out
}

// connKey is the context key of a request's connection.
type connKey struct{}

// bindConn is a http.Server's ConnContext.
func bindConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// framing returns a handler that tells a request's connection where the request's body ends, before next is called.
func framing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin(r.ContentLength)
		}
		next.ServeHTTP(w, r)
	})
}

// begin begins a request with a body of a length; -1: in chunks.
func (c *conn) begin(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == hijacked:
	case length == 0:
		c.phase = answering
	default:
		c.phase, c.left, c.declared, c.chunks = expectsBody, length, max(0, length), nil
		if length < 0 {
			c.chunks = &chunkScanner{}
		}
	}
}

// end ends a request; the connection is kept.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misframed = c.phase == expectsBody
	c.releaseLocked()
	c.phase = expectsHead
	if len(c.pending) == 0 { // no request was sent ahead
		c.idleAt = time.Now()
	}
	c.stalled.Store(0)
}

// hijack makes the connection pass on everything from now on.
func (c *conn) hijack() {
	c.mu.Lock()
	c.phase = hijacked
	c.mu.Unlock()
	if c.closed.Load() {
		c.finish()
	}
}

// finish releases the memory of a connection whose goroutine has ended.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.releaseLocked()
	c.listener.pool.Memory.Release(connectionCost)
}

// releaseLocked releases the memory of a request, but for what is buffered of the next one.
func (c *conn) releaseLocked() {
	p := c.listener.pool
	p.Memory.Release(c.requests)
	kept := c.buffered
	if c.ended {
		kept = 0
	}
	p.Heads.Release(c.heads - kept)
	c.requests, c.heads, c.declared = 0, kept, 0
	c.trailers = 0
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.listener.pool.remove(c)
	err := c.Conn.Close()
	c.mu.Lock()
	isHijacked := c.phase == hijacked
	c.mu.Unlock()
	if isHijacked {
		c.finish() // net/http does not report its end
	}
	return err
}

// CloseWrite ends what the client reads. The connection stays open for a moment, so that the client reads it.
func (c *conn) CloseWrite() error {
	c.lingersSince.Store(int64(time.Since(c.listener.created)))
	if c.closeWrite == nil {
		return nil
	}
	return c.closeWrite()
}

// idleFor returns for how long the connection is idle; ok is false if it is not.
func (c *conn) idleFor(now time.Time) (d time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.idleAt), !c.idleAt.IsZero()
}

// stalledFor returns how long the client has held up its request, beyond what its bytes take at minRate; 0: it does
// not hold it up now.
func (c *conn) stalledFor(now time.Time) time.Duration {
	elapsed := now.Sub(c.listener.created)
	if since := c.lingersSince.Load(); since != 0 {
		return elapsed - time.Duration(since) + minStall - lingerTime
	}
	since := c.blockedAt.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(c.stalled.Load()) + elapsed - time.Duration(since)
}

// holdsMemory reports whether the client holds more than the memory of a connection.
func (c *conn) holdsMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads+c.declared > 0
}

// block notes that a read or write begins that waits for the client, and returns when; unblock notes that it has ended.
func (c *conn) block() (since int64) {
	since = int64(time.Since(c.listener.created))
	c.blockedAt.Store(since)
	return since
}

func (c *conn) unblock(since int64, n int) {
	c.blockedAt.Store(0)
	waited := int64(time.Since(c.listener.created)) - since
	c.stalled.Store(max(0, c.stalled.Load()+waited-int64(n)*int64(time.Second)/minRate))
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	since := c.block()
	n, err := c.Conn.Write(b)
	c.unblock(since, n)
	return n, err
}

// receive reads from the client, which is to send something.
func (c *conn) receive(b []byte) (int, error) {
	since := c.block()
	n, err := c.Conn.Read(b)
	c.unblock(since, n)
	return n, err
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	current := c.phase
	c.mu.Unlock()
	switch {
	case len(b) == 0:
		return 0, nil
	case c.misframed:
		return 0, errMisframed
	case current == hijacked:
		return c.readAny(b)
	case current == expectsBody:
		return c.readBody(b)
	case current == answering, current == headPassed && len(b) == 1:
		return c.readAhead(b[:1])
	}
	return c.readHead(b)
}

// readAny reads whatever comes.
func (c *conn) readAny(b []byte) (int, error) {
	if len(c.pending) > 0 {
		return c.take(b, len(c.pending)), nil
	}
	return c.Conn.Read(b)
}

// readAhead reads a byte while the request is answered: net/http waits for the client to leave. The byte belongs to
// the next head.
func (c *conn) readAhead(b []byte) (int, error) {
	n, err := c.readAny(b)
	c.head.scan(b[:n])
	return n, err
}

// take moves up to n pending bytes to b.
func (c *conn) take(b []byte, n int) int {
	n = copy(b, c.pending[:n])
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil
		c.releaseBuffer()
	}
	return n
}

func (c *conn) releaseBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.pool.Heads.Release(c.buffered)
	c.heads -= c.buffered
	c.buffered = 0
}

// readHead reads a head once it is whole and there is memory for its request.
func (c *conn) readHead(b []byte) (int, error) {
	for c.passOn == 0 {
		if c.scanned < len(c.pending) {
			n, whole := c.head.scan(c.pending[c.scanned:])
			c.scanned += n
			if !whole {
				continue
			}
			if err := c.admit(b); err != nil {
				return 0, err
			}
			c.passOn, c.scanned = c.scanned, 0
			break
		}
		if len(c.pending) > 0 {
			if err := c.receiveMore(b); err != nil {
				return 0, err
			}
			continue
		}
		n, err := c.receiveFirst(b)
		if err != nil {
			return n, err
		}
		end, whole := c.head.scan(b[:n])
		if whole {
			if err := c.admit(b[end:]); err != nil {
				return 0, err
			}
			c.pending = slices.Clone(b[end:n])
			c.setPhase(headPassed)
			return end, nil
		}
		if !c.reserveBuffer(firstHeadBuffer) {
			return 0, c.refuse(c.listener.admission.Busy, b)
		}
		c.pending = append(make([]byte, 0, max(firstHeadBuffer, n)), b[:n]...)
		c.scanned = n
	}
	n := c.take(b, c.passOn)
	if c.passOn -= n; c.passOn == 0 {
		c.setPhase(headPassed)
	}
	return n, nil
}

// receiveFirst reads the first bytes of a head. Until they come the connection is idle, unless it is new.
func (c *conn) receiveFirst(b []byte) (int, error) {
	c.mu.Lock()
	kept := !c.idleAt.IsZero()
	c.mu.Unlock()
	if !kept {
		return c.receive(b)
	}
	n, err := c.Conn.Read(b)
	if err == nil {
		c.mu.Lock()
		c.idleAt = time.Time{}
		c.mu.Unlock()
	}
	return n, err
}

// boundHead bounds the time in which the rest of a head must come, as net/http does once it gets its first bytes.
func (c *conn) boundHead() error {
	t := c.listener.srv.ReadHeaderTimeout
	if t <= 0 || c.headBounded {
		return nil
	}
	c.headBounded = true
	return c.Conn.SetReadDeadline(time.Now().Add(t))
}

// receiveMore reads more of a head that is not whole.
func (c *conn) receiveMore(scratch []byte) error {
	limit := c.listener.headLimit()
	if c.head.bytes >= limit {
		return c.refuse(tooLarge, scratch)
	}
	if err := c.boundHead(); err != nil {
		return err
	}
	if have := cap(c.pending); len(c.pending) == have {
		size := min(max(firstHeadBuffer, 2*have), limit)
		if !c.reserveBuffer(int64(size)) {
			return c.refuse(c.listener.admission.Busy, scratch)
		}
		c.pending = append(make([]byte, 0, size), c.pending...)
	}
	n, err := c.receive(c.pending[len(c.pending):min(cap(c.pending), len(c.pending)+limit-c.head.bytes)])
	c.pending = c.pending[:len(c.pending)+n]
	return err
}

// reserveBuffer reserves memory for a buffer of a head of a size in place of the one before, unless that was larger.
func (c *conn) reserveBuffer(size int64) bool {
	c.mu.Lock()
	more := max(0, size-c.buffered)
	c.mu.Unlock()
	if !c.reserveHead(more) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered += more
	return true
}

// reserveHead reserves memory for the head.
func (c *conn) reserveHead(n int64) bool {
	c.mu.Lock()
	own := c.heads
	c.mu.Unlock()
	if !c.listener.pool.reserveHead(n, own) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads += n
	return true
}

// admit reserves the memory for a request whose head is whole, and refuses it if there is none.
func (c *conn) admit(scratch []byte) error {
	cost := c.head.cost()
	c.head, c.headBounded = headScanner{}, false
	p := c.listener.pool
	if !p.reserveRequest() {
		return c.refuse(c.listener.admission.Busy, scratch)
	}
	c.mu.Lock()
	c.requests += requestCost
	c.mu.Unlock()
	if !c.reserveHead(cost) {
		return c.refuse(c.listener.admission.Busy, scratch)
	}
	return nil
}

// tooLarge is net/http's answer to a head that is too large.
var tooLarge = &Refusal{Reason: "head_too_large", Response: []byte("HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large")}

// refuse answers a request that net/http does not get to see, and closes the connection.
func (c *conn) refuse(r *Refusal, scratch []byte) error {
	if f := c.listener.admission.OnRefused; f != nil && r != nil {
		f(r.Reason)
	}
	c.mu.Lock()
	c.pending, c.scanned, c.passOn = nil, 0, 0
	c.releaseLocked()
	c.mu.Unlock()
	c.releaseBuffer()
	until := time.Now().Add(refusalTime)
	if err := c.Conn.SetDeadline(until); err != nil || r == nil {
		return io.EOF
	}
	if _, err := c.Write(r.Response); err != nil || c.CloseWrite() != nil {
		return io.EOF
	}
	if len(scratch) == 0 {
		scratch = make([]byte, 512)
	}
	for read := 0; read < refusalDrain; {
		n, err := c.receive(scratch)
		if err != nil {
			break
		}
		read += n
	}
	return io.EOF
}

// readBody reads up to the end of the request's body.
func (c *conn) readBody(b []byte) (int, error) {
	c.mu.Lock()
	left, chunks := c.left, c.chunks
	c.mu.Unlock()
	if chunks == nil {
		b = b[:min(int64(len(b)), left)]
	}
	n, err := 0, error(nil)
	if len(c.pending) > 0 {
		n = c.take(b, len(c.pending))
	} else {
		n, err = c.receive(b)
	}
	if chunks != nil {
		return c.passChunks(chunks, b[:n], err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left -= int64(n); c.left == 0 {
		c.phase = answering
	}
	return n, err
}

// passChunks passes on bytes of a body in chunks, up to its end.
func (c *conn) passChunks(chunks *chunkScanner, b []byte, err error) (int, error) {
	n, done, malformed := chunks.scan(b)
	if malformed != nil {
		return 0, malformed
	}
	if lines := chunks.lines - c.trailers; lines > 0 {
		if !c.reserveHead(int64(lines) * lineCost) {
			return 0, ErrNoMemory
		}
		c.trailers = chunks.lines
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.declared += int64(n)
	if done {
		c.phase = answering
		c.pending = append(slices.Clone(b[n:]), c.pending...)
	}
	return n, err
}
