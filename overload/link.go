package overload

import (
	"net"
	"sync"
	"time"
)

const (
	// linkShare is the share of the link that callers' requests and their answers may use. The rest is for
	// other entries, the store and headers.
	linkShare = 0.6
	// linkBurst is how long callers may use the link in full after a pause.
	linkBurst = 100 * time.Millisecond
	// meanWeight is the weight of one more connection in the mean of their bytes, each counted up to
	// maxConnectionBytes.
	meanWeight         = 0.05
	maxConnectionBytes = 64 << 10
	// queueWindow is the time over which the fastest connect tells how long packets wait for the link.
	queueWindow = 100 * time.Millisecond
	// baseWindow is the time over which the fastest connect is one that did not wait.
	baseWindow = 30 * time.Second
	// minWait is the wait from which it counts. Most shorter ones, at entries with a tenth of a core, are stalls of the
	// process and not of the link.
	minWait = 60 * time.Millisecond
	// chokedFrom is the wait from which no request can be served in time.
	chokedFrom = 300 * time.Millisecond
	// A wait is remembered for waitFactor times as long, beside minRemembered, but for maxRemembered at most.
	waitFactor    = 2
	minRemembered = 100 * time.Millisecond
	maxRemembered = time.Second
)

// Link measures what callers use of the instance's network link, and how long packets wait for it. Each byte
// from or to a caller passes the link in the other direction as well, from or to an endpoint. A wait shows in
// the time that connects take: if even the fastest of them to any endpoint is slow, it is this instance's link
// that they have in common. It is safe for concurrent use; a nil Link is never busy.
type Link struct {
	now  func() time.Time
	rate float64 // bytes a second that callers may use; 0: not known

	mu       sync.Mutex
	room     float64 // bytes that may be used now; negative: the link's queue holds so many
	filledAt time.Time
	mean     float64 // bytes of a connection
	recent   fastest // of queueWindow
	base     fastest // of baseWindow
	wait     time.Duration
	waitedAt time.Time // when a connect last told of wait
}

// NewLink returns a Link of a bandwidth in Mbit/s; 0: not known.
func NewLink(mbps float64) *Link {
	l := &Link{now: time.Now, rate: linkShare * mbps * 1e6 / 8, recent: newFastest(queueWindow), base: newFastest(baseWindow)}
	l.room, l.filledAt = l.burst(), l.now()
	return l
}

func (l *Link) burst() float64 { return l.rate * linkBurst.Seconds() }

// Connected records how long a connect to an endpoint or to another entry took, at least.
func (l *Link) Connected(took time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.recent.add(now, took)
	l.base.add(now, took)
	recent, _ := l.recent.get(now)
	base, _ := l.base.get(now)
	l.wait, l.waitedAt = recent-base, now
}

// Wait returns how long packets wait for the link, as connects tell; 0: not long.
func (l *Link) Wait() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitLocked(l.now())
}

// Full reports whether callers use their share of the link, with what the connections that were just accepted
// are about to send.
func (l *Link) Full() bool {
	if l == nil || l.rate == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fillLocked(l.now())
	return l.room < 0
}

// Choked reports whether packets wait so long that no request can be served in time.
func (l *Link) Choked() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitLocked(l.now()) >= chokedFrom
}

// waitLocked returns the wait that connects told of, 0 if it is short or too long ago.
func (l *Link) waitLocked(now time.Time) time.Duration {
	if l.wait < minWait || now.Sub(l.waitedAt) > min(minRemembered+waitFactor*l.wait, maxRemembered) {
		return 0
	}
	return l.wait
}

func (l *Link) fillLocked(now time.Time) {
	l.room = min(l.room+l.rate*now.Sub(l.filledAt).Seconds(), l.burst())
	l.filledAt = now
}

// Meter returns a connection with a caller whose bytes are recorded. The mean of earlier ones is taken from the
// link's room at once, as callers send before anything of it can be measured.
func (l *Link) Meter(c net.Conn) net.Conn {
	if l == nil || l.rate == 0 {
		return c
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fillLocked(l.now())
	l.room -= l.mean
	return &meteredConn{Conn: c, link: l, prepaid: l.mean}
}

// meteredConn is a connection whose bytes are recorded.
type meteredConn struct {
	net.Conn
	link *Link

	// Guarded by the link's lock:
	prepaid float64 // bytes that were taken from the link's room already
	used    float64
	closed  bool
}

func (c *meteredConn) use(bytes int) {
	if bytes <= 0 {
		return
	}
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(bytes)
	c.used += n
	paid := min(n, c.prepaid)
	c.prepaid -= paid
	l.room -= n - paid
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.use(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.use(n)
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	l := c.link
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		l.room += c.prepaid
		l.mean += meanWeight * (min(c.used, maxConnectionBytes) - l.mean)
		c.prepaid = 0
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// fastest is the least duration of about the last window: that of the current half of it and of the one before.
type fastest struct {
	window      time.Duration
	begun       time.Time     // of the current half
	now, before time.Duration // negative: none
}

func newFastest(window time.Duration) fastest { return fastest{window: window, now: -1, before: -1} }

func (f *fastest) add(now time.Time, d time.Duration) {
	f.turn(now)
	if f.now < 0 || d < f.now {
		f.now = d
	}
}

// get returns the least duration; ok is false if there is none.
func (f *fastest) get(now time.Time) (d time.Duration, ok bool) {
	f.turn(now)
	switch {
	case f.now < 0:
		return f.before, f.before >= 0
	case f.before < 0:
		return f.now, true
	}
	return min(f.now, f.before), true
}

// turn begins a new half if the current one is over.
func (f *fastest) turn(now time.Time) {
	half := f.window / 2
	switch age := now.Sub(f.begun); {
	case age < half:
		return
	case age < 2*half:
		f.before = f.now
	default:
		f.before = -1
	}
	f.now, f.begun = -1, now
}
