package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
)

// endsWithin is how long a process that is ending may still accept connections.
const endsWithin = 30 * time.Millisecond

// probeEvery paces the probes of an endpoint that loses them.
const probeEvery = time.Millisecond

// Probes tells whether endpoints whose connections broke have ended. All that ask of one
// at the same time share a connection. The zero value is ready.
type Probes struct {
	// Within is how long an endpoint that accepts a connection is watched for its end;
	// 0: endsWithin.
	Within  time.Duration
	running singleflight.Group
}

// Ended reports whether nothing listens at an address any more. An endpoint that only lost
// a connection accepts another and keeps it; one that is cut off answers nothing, and may
// be well.
func (p *Probes) Ended(address string) bool {
	ended, _, _ := p.running.Do(address, func() (any, error) { return p.probe(address), nil })
	return ended.(bool)
}

// probe connects until the endpoint refuses or keeps a connection: when a process ends, its
// connections are closed before its listener.
func (p *Probes) probe(address string) bool {
	within := p.Within
	if within == 0 {
		within = endsWithin
	}
	until := time.Now().Add(within)
	for ; ; time.Sleep(probeEvery) {
		conn, err := dialer.Dial("tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return false
		case err == nil && keeps(conn, until):
			return false
		}
		if !time.Now().Before(until) {
			return false
		}
	}
}

// keeps reports whether the endpoint keeps a connection until then.
func keeps(conn net.Conn, until time.Time) bool {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(until); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
