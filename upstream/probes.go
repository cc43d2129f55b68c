package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
)

// exitWindow is how long an exiting process may still accept connections.
const exitWindow = 30 * time.Millisecond

// probeInterval is the pause between probes of an endpoint that drops them.
const probeInterval = time.Millisecond

// maxProbeBytes bounds what is read from an endpoint that sends bytes though nothing was asked; it has
// not exited.
const maxProbeBytes = 64 << 10

// Prober checks whether endpoints whose connections broke have exited. Concurrent checks
// of an endpoint share one probe. The zero value is ready to use.
type Prober struct {
	// Window is how long an endpoint that accepts connections is probed for its exit;
	// 0: exitWindow.
	Window time.Duration
	probes singleflight.Group
}

// Exited reports whether nothing listens at an address any more. An endpoint that only lost
// a connection accepts another one and keeps it open. One that is partitioned does not
// answer, may be healthy, and is not reported.
func (p *Prober) Exited(address string) bool {
	exited, _, _ := p.probes.Do(address, func() (any, error) { return p.probe(address, Dial), nil })
	return exited.(bool)
}

// ExitedBy is Exited over connections that dial opens. Concurrent checks are apart.
func (p *Prober) ExitedBy(address string, dial DialFunc) bool { return p.probe(address, dial) }

// probe connects until the endpoint refuses a connection or keeps one open. It tries more
// than once because an exiting process closes its connections before its listener.
func (p *Prober) probe(address string, dial DialFunc) bool {
	window := p.Window
	if window == 0 {
		window = exitWindow
	}
	until := time.Now().Add(window)
	for ; ; time.Sleep(probeInterval) {
		conn, err := dialOnce(address, dial)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return false
		case err == nil && staysOpen(conn, until):
			return false
		}
		if !time.Now().Before(until) {
			return false
		}
	}
}

func dialOnce(address string, dial DialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	return dial(ctx, address)
}

// staysOpen reports whether the endpoint keeps a connection open until the given time.
func staysOpen(conn net.Conn, until time.Time) bool {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(until); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(conn, maxProbeBytes))
	var timeout net.Error
	return n == maxProbeBytes || errors.As(err, &timeout) && timeout.Timeout()
}
