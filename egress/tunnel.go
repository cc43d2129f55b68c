package egress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

// The protocol between entries: HTTP CONNECT with the endpoint's address opens a tunnel, GET of
// reachPath asks whether an entry would open one.
const (
	reachPath     = "/tunnel/reach"
	headerService = "Tunnel-Service"
	headerTimeout = "Tunnel-Timeout-Ms"   // to connect to the endpoint
	headerLasts   = "Tunnel-Lasts-Ms"     // how long the request may take
	headerRequest = "Tunnel-Request"      // id of the request
	headerFrom    = "Tunnel-From"         // instance of the entry that asks
	headerSubject = "Tunnel-Fingerprints" // of the request and its prompt parts
	headerVariant = "Tunnel-Variant"      // what is to run it
	headerRetry   = "Tunnel-Retry-Ms"     // when a quarantined request may come again
	headerFailure = "Tunnel-Failure"      // why the endpoint did not accept a connection
	headerHints   = "Tunnel-Peers"        // addresses of entries that reach the service
	// headerFraming with the value framingChunked: the bytes from the endpoint come in chunks, so
	// that their end differs from the end of the entry in between.
	headerFraming  = "Tunnel-Framing"
	framingChunked = "chunked"
)

// reasonUnknown is the failure of an endpoint that the entry in between does not know or does not use.
const reasonUnknown = "unknown"

// Statuses of responses to CONNECT and reachPath. Any other is from a program without tunnels.
const (
	statusOpen        = http.StatusOK
	statusEndpoint    = http.StatusBadGateway         // the endpoint accepts no connection
	statusUnavailable = http.StatusServiceUnavailable // this entry opens no tunnel now
	statusQuarantined = http.StatusForbidden          // the request crashes endpoints
)

const (
	// peerTimeout bounds the time until another entry is connected and, beside the time for
	// the endpoint, has answered.
	peerTimeout    = 150 * time.Millisecond
	tunnelBuffer   = 8 << 10
	maxHeaderValue = 256
)

// endpointError says that an endpoint accepted no connection from another entry.
type endpointError struct{ reason, via string }

func (e *endpointError) Error() string {
	return fmt.Sprintf("endpoint accepts no connection from entry %s: %s", e.via, e.reason)
}

// Unwrap returns the error that a direct connection would have met.
func (e *endpointError) Unwrap() error {
	switch e.reason {
	case "refused":
		return syscall.ECONNREFUSED
	case "reset":
		return syscall.ECONNRESET
	}
	return nil
}

// peerError says that another entry opens no tunnel.
type peerError struct {
	err     error
	hints   []string
	foreign bool // it runs a program without tunnels
}

func (e *peerError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *peerError) Unwrap() error { return e.err }

// QuarantinedError says that another entry refuses a request as crashing endpoints.
type QuarantinedError struct {
	Via        string // address of that entry
	RetryAfter time.Duration
}

func (e *QuarantinedError) Error() string { return "entry " + e.Via + " has quarantined the request" }

// openTunnel connects to an endpoint through the entry at an address. It returns an endpointError, a
// peerError or a QuarantinedError if that fails.
func openTunnel(ctx context.Context, dial upstream.DialFunc, address string, ep fleet.Endpoint, timeout time.Duration, header http.Header) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+timeout)
	defer cancel()
	conn, err := dialPeer(ctx, dial, address)
	if err != nil {
		return nil, &peerError{err: err}
	}
	// Ends the handshake when ctx does.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, br, err := handshake(conn, ep.Address, header)
	if err != nil || !stop() {
		_ = conn.Close()
		return nil, &peerError{err: errors.Join(err, ctx.Err())}
	}
	if resp.StatusCode != statusOpen {
		_ = conn.Close()
		return nil, responseError(resp, address)
	}
	t := &tunnelConn{Conn: conn, read: br}
	if resp.Header.Get(headerFraming) == framingChunked {
		t.read = httputil.NewChunkedReader(br)
	}
	return t, nil
}

func dialPeer(ctx context.Context, dial upstream.DialFunc, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return dial(ctx, address)
}

func handshake(conn net.Conn, target string, header http.Header) (*http.Response, *bufio.Reader, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n", target, target)
	_ = header.Write(&b) // writing to a builder cannot fail
	b.WriteString("\r\n")
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return nil, nil, err
	}
	return upstream.ReadHead(conn, http.MethodConnect, tunnelBuffer, nil) // the caller bounds the time
}

// responseError returns the error that a response which opens no tunnel stands for.
func responseError(resp *http.Response, via string) error {
	switch resp.StatusCode {
	case statusEndpoint:
		return &endpointError{reason: resp.Header.Get(headerFailure), via: via}
	case statusQuarantined:
		return &QuarantinedError{Via: via, RetryAfter: parseMS(resp.Header.Get(headerRetry))}
	case statusUnavailable:
		var hints []string
		if h := resp.Header.Get(headerHints); h != "" {
			hints = strings.Split(h, ",")
		}
		return &peerError{err: fmt.Errorf("entry %s opens no tunnel: %s", via, resp.Header.Get(headerFailure)), hints: hints}
	}
	return &peerError{err: fmt.Errorf("entry %s does not know tunnels (status %d)", via, resp.StatusCode), foreign: true}
}

// askPeer asks whether an entry would open tunnels to a service; nil: it would.
func askPeer(ctx context.Context, client *http.Client, address, service string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+reachPath+"?service="+url.QueryEscape(service), nil)
	if err != nil {
		return &peerError{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &peerError{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != statusOpen {
		return responseError(resp, address)
	}
	return nil
}

// tunnelConn is the client's end of a tunnel.
type tunnelConn struct {
	net.Conn
	read    io.Reader
	onClose func()
	once    sync.Once
}

// Read implements net.Conn. The end of the endpoint's bytes is io.EOF only if the endpoint closed
// the connection properly.
func (t *tunnelConn) Read(b []byte) (int, error) { return t.read.Read(b) }

// Close implements net.Conn.
func (t *tunnelConn) Close() error {
	t.once.Do(func() {
		if t.onClose != nil {
			t.onClose()
		}
	})
	return t.Conn.Close()
}

// ViaProxy returns a DialFunc that connects through an HTTP CONNECT proxy.
func ViaProxy(dial upstream.DialFunc, proxy string) upstream.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := openTunnel(ctx, dial, proxy, fleet.Endpoint{Address: address}, upstream.DialTimeout, http.Header{})
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

func parseMS(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
