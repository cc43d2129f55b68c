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
	"slices"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// lastsMargin is how much longer than announced a tunnel may stay open.
	lastsMargin = time.Second
	// maxTunnelTime bounds a tunnel whose end was not announced.
	maxTunnelTime = 2 * time.Minute
)

// Reasons for which an entry opens no tunnels.
const (
	stopping   = "stopping"
	busy       = "busy"
	notReached = "endpoints not reached"
)

// Server opens tunnels to endpoints for other entries. It is safe for concurrent use.
type Server struct {
	Dialer *Dialer
	// Gate counts tunnels as requests in progress, which a planned stop waits for.
	Gate *drain.Gate
	// Quarantine holds the requests that crash endpoints; nil: none are known.
	Quarantine *quarantine.Table
	// MaxTunnels bounds the tunnels open at a time; 0: unlimited.
	MaxTunnels int64
}

// Middleware returns a handler that serves requests for tunnels, and passes others on to next.
func (s *Server) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect || r.URL.Path == reachPath {
			s.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		s.connect(w, r)
		return
	}
	service := r.URL.Query().Get("service")
	if why := s.unavailable(r.Context(), service); why != "" {
		s.refuse(w, service, why)
		return
	}
	if !s.Dialer.links.proven(service) && !s.Dialer.check(r.Context(), service) {
		s.refuse(w, service, notReached)
		return
	}
	w.WriteHeader(statusOpen)
}

// unavailable returns why this entry opens no tunnels to a service now; empty: it does.
func (s *Server) unavailable(ctx context.Context, service string) string {
	since, down := s.Dialer.links.downSince(service)
	if down && s.Dialer.Clock.Since(since) < checkInterval { // not checked yet
		down = !s.Dialer.check(ctx, service)
	}
	switch {
	case s.Gate.Stopping():
		return stopping
	case s.MaxTunnels > 0 && s.Dialer.serving.Load() > s.MaxTunnels:
		return busy
	case down:
		return notReached
	}
	return ""
}

// refuse responds that this entry opens no tunnel, and names entries that may.
func (s *Server) refuse(w http.ResponseWriter, service, why string) {
	s.Dialer.Scope.Tagged(map[string]string{"reason": why}).Counter("tunnels_refused").Inc(1)
	w.Header().Set(headerFailure, why)
	if hints := s.Dialer.peers.reaching(service); len(hints) > 0 {
		w.Header().Set(headerHints, strings.Join(hints[:min(len(hints), maxHints)], ","))
	}
	w.WriteHeader(statusUnavailable)
}

// connect serves CONNECT.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	open := s.Gate.Enter()
	defer s.Gate.Leave()
	defer s.Dialer.serving.Add(-1)
	s.Dialer.serving.Add(1)
	service := r.Header.Get(headerService)
	why := s.unavailable(r.Context(), service)
	if !open {
		why = stopping
	}
	if why != "" {
		s.refuse(w, service, why)
		return
	}
	ep, ok := s.endpoint(service, r.Host)
	if !ok {
		w.Header().Set(headerFailure, reasonUnknown)
		w.WriteHeader(statusEndpoint)
		return
	}
	timeout := parseMS(r.Header.Get(headerTimeout))
	if timeout <= 0 || timeout > upstream.DialTimeout {
		timeout = upstream.DialTimeout
	}
	log := s.Dialer.Log.With("id", clip(r.Header.Get(headerRequest)), "endpoint", ep.ID, "from", clip(r.Header.Get(headerFrom)))
	request := parsePurpose(r.Header)
	if retry := s.quarantined(request); retry > 0 {
		s.Dialer.Scope.Counter("tunnels_for_quarantined").Inc(1)
		log.Warn("egress: no tunnel for a request that this entry refuses itself.", "fingerprints", clip(r.Header.Get(headerSubject)))
		w.Header().Set(headerRetry, formatMS(retry))
		w.WriteHeader(statusQuarantined)
		return
	}
	started := s.Dialer.Clock.Now()
	conn, err := s.Dialer.direct(r.Context(), ep, timeout)
	if err != nil {
		log.Info("egress: endpoint accepts no connection for another entry.", "error", err)
		// It is the endpoint's fault if others are reached.
		if !s.Dialer.links.provenSince(service, started) && !s.Dialer.check(r.Context(), service) {
			s.refuse(w, service, notReached)
			return
		}
		w.Header().Set(headerFailure, upstream.Reason(err))
		w.WriteHeader(statusEndpoint)
		return
	}
	conn = s.holdUntilAnswered(request, conn)
	defer conn.Close()
	if s.quarantined(request) > 0 { // found while the endpoint was connected
		w.WriteHeader(statusQuarantined)
		return
	}
	begun := s.Dialer.Clock.Now()
	err = s.splice(w, r, conn)
	log.Info("egress: tunnel for another entry ended.", "ms", s.Dialer.Clock.Since(begun).Milliseconds(), "error", err)
}

// quarantined returns for how long the request that a tunnel is for must not reach an endpoint; 0: it may. Its
// entry may not know what this one knows.
func (s *Server) quarantined(p Purpose) time.Duration {
	if s.Quarantine == nil || p.Subject.Request == 0 || !s.Quarantine.Refuses(p.Subject, p.Variant) {
		return 0
	}
	return max(time.Second, s.Quarantine.Check(p.Subject).RetryAfter)
}

// holdUntilAnswered closes a connection if the request that it is for is quarantined before the endpoint answers.
func (s *Server) holdUntilAnswered(p Purpose, endpoint net.Conn) net.Conn {
	if s.Quarantine == nil || p.Subject.Request == 0 {
		return endpoint
	}
	hold := s.Quarantine.Hold(p.Subject, func() { _ = endpoint.Close() })
	return &heldConn{Conn: endpoint, hold: hold}
}

// heldConn releases a hold with the first bytes that are read from it.
type heldConn struct {
	net.Conn
	hold *quarantine.Hold
	read bool // guarded by its only reader
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.read {
		c.read = true
		c.hold.Release()
	}
	return n, err
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.hold.Release()
	return c.Conn.Close()
}

// endpoint returns the endpoint of a service at an address: tunnels lead nowhere else.
func (s *Server) endpoint(service, address string) (fleet.Endpoint, bool) {
	g := s.Dialer.View().Group(service)
	if g == nil {
		return fleet.Endpoint{}, false
	}
	at := func(ep fleet.Endpoint) bool { return ep.Address == address }
	if i := slices.IndexFunc(g.Ready, at); i >= 0 {
		return g.Ready[i], true
	}
	if i := slices.IndexFunc(g.Lapsed, func(l fleet.Lapsed) bool { return !l.Leaving && at(l.Endpoint) }); i >= 0 {
		return g.Lapsed[i].Endpoint, true
	}
	return fleet.Endpoint{}, false
}

// splice forwards between the caller of a CONNECT and the endpoint until either closes.
func (s *Server) splice(w http.ResponseWriter, r *http.Request, endpoint net.Conn) error {
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return err
	}
	defer client.Close()
	lasts := maxTunnelTime
	if ms := parseMS(r.Header.Get(headerLasts)); ms > 0 {
		lasts = min(lasts, ms+lastsMargin)
	}
	ctx, unbind := s.Gate.BindContext(context.Background()) // the end of a stop ends tunnels
	defer unbind()
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = client.Close(); _ = endpoint.Close() })()
	if err := client.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(client, "HTTP/1.1 %d OK\r\n%s: %s\r\n\r\n", statusOpen, headerFraming, framingChunked); err != nil {
		return err
	}
	go func() {
		// Whatever ends the caller's side ends the request.
		_, _ = io.CopyBuffer(onlyWriter{endpoint}, onlyReader{buffered.Reader}, make([]byte, tunnelBuffer))
		_ = endpoint.Close()
	}()
	return forwardChunked(client, endpoint)
}

// forwardChunked forwards what an endpoint sends, in chunks. The last one follows only if the endpoint
// closed its connection properly.
func forwardChunked(client io.Writer, endpoint io.Reader) error {
	out := bufio.NewWriterSize(client, tunnelBuffer)
	chunks := httputil.NewChunkedWriter(out)
	buf := make([]byte, tunnelBuffer)
	for {
		n, err := endpoint.Read(buf)
		if n > 0 {
			if _, err := chunks.Write(buf[:n]); err != nil {
				return err
			}
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if err := chunks.Close(); err != nil {
				return err
			}
			if _, err := io.WriteString(out, "\r\n"); err != nil { // after the empty trailer
				return err
			}
			return out.Flush()
		}
		if err != nil {
			return err
		}
	}
}

// onlyReader and onlyWriter hide the other methods of a connection: splicing in the kernel is not
// possible everywhere.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// clip bounds a value from another entry for the log.
func clip(s string) string { return s[:min(len(s), maxHeaderValue)] }
