package listen

import (
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/internal/membudget"
)

// Memory of a connection in bytes.
const (
	// connectionCost is for an idle connection: its buffers, its goroutine and its state.
	connectionCost = 16 << 10
	// requestCost is for a request in progress beside its head and body: its goroutines, and the buffers of its
	// connection to an endpoint.
	requestCost = 44 << 10
)

const (
	// largeHead is the memory from which heads leave a part of the memory for heads to smaller ones.
	largeHead      = 32 << 10
	largeHeadShare = 0.75
	// minStall is how long a client must have held up its request for its connection to yield to others.
	minStall = 500 * time.Millisecond
	// longStall is how long, for it to yield before idle ones.
	longStall = 2 * time.Second
	// lingerTime is how long the last answer of a connection may take to be read before the connection yields.
	lingerTime = 50 * time.Millisecond
	// minRate is the rate in bytes a second above which a client does not hold up its request.
	minRate = 16 << 10
	// A reservation is tried again roomRounds times, each after roomWait, in which a connection that was closed
	// gives back its memory.
	roomRounds = 5
	roomWait   = 10 * time.Millisecond
)

// Reasons for which a Pool closes connections.
const (
	closedIdle    = "idle"
	closedStalled = "stalled"
)

// PoolSettings are the bounds of a Pool; zero values are unlimited.
type PoolSettings struct {
	// MaxDescriptors bounds the descriptors of all connections. One that serves requests counts twice, as a
	// request may need a connection to an endpoint.
	MaxDescriptors int
	// Memory is the budget of connections and of what clients send.
	Memory *membudget.Budget
	// Heads is the part of Memory for heads of requests.
	Heads *membudget.Budget
	// OnClosed is called for each connection that is closed to make room, with the reason; may be nil. It must
	// not block.
	OnClosed func(reason string)
}

// Pool bounds the connections of all addresses of a process, and the memory of the heads that their clients send.
// Connections yield to new ones: those whose clients hold up their requests for long, then those that are idle, the
// longest first, and then all whose clients hold up their requests. It is safe for concurrent use. Its lock is taken before those of its connections.
type Pool struct {
	PoolSettings

	mu          sync.Mutex
	conns       map[*conn]struct{}
	open        map[*Listener]int
	descriptors int
}

// need is what a connection is closed for.
type need int

const (
	needConnection need = iota // idle connections yield too, after those that stall for longStall
	needRequest                // those whose clients hold up their requests
	needMemory                 // the same, if they hold memory
)

// NewPool returns an empty pool.
func NewPool(s PoolSettings) *Pool {
	return &Pool{PoolSettings: s, conns: map[*conn]struct{}{}, open: map[*Listener]int{}}
}

// add adds a connection, or returns why there is no room for it. Others may have been closed for it.
func (p *Pool) add(c *conn) (reason string) {
	if !p.Memory.Reserve(connectionCost) && !(p.closeOne(nil, needConnection) && p.Memory.Reserve(connectionCost)) {
		return noMemory
	}
	for {
		p.mu.Lock()
		if p.MaxDescriptors == 0 || p.descriptors+c.listener.descriptors() <= p.MaxDescriptors {
			p.descriptors += c.listener.descriptors()
			p.conns[c] = struct{}{}
			p.open[c.listener]++
			p.mu.Unlock()
			return ""
		}
		p.mu.Unlock()
		if !p.closeOne(c.listener, needConnection) && !p.closeOne(nil, needConnection) {
			p.Memory.Release(connectionCost)
			return noDescriptors
		}
	}
}

// remove removes a connection whose descriptor is closed. Its memory is released when its goroutine has ended.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.conns[c]; ok {
		delete(p.conns, c)
		p.open[c.listener]--
		p.descriptors -= c.listener.descriptors()
	}
}

// count returns how many connections of a listener are open.
func (p *Pool) count(l *Listener) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[l]
}

// closeOne closes the connection of a listener, nil: of any, that yields first to a need. It reports whether one did.
func (p *Pool) closeOne(l *Listener, n need) bool {
	now := time.Now()
	p.mu.Lock()
	var idlest, stalled *conn
	var idle time.Duration
	stall := minStall
	for c := range p.conns {
		if l != nil && c.listener != l {
			continue
		}
		if d, ok := c.idleFor(now); ok {
			if n == needConnection && (idlest == nil || d > idle) {
				idlest, idle = c, d
			}
		} else if d := c.stalledFor(now); d >= stall && (n != needMemory || c.holdsMemory()) {
			stalled, stall = c, d
		}
	}
	p.mu.Unlock()
	switch {
	case stalled != nil && (idlest == nil || stall >= longStall):
		p.close(stalled, closedStalled)
	case idlest != nil:
		p.close(idlest, closedIdle)
	default:
		return false
	}
	return true
}

func (p *Pool) close(c *conn, reason string) {
	if p.OnClosed != nil {
		p.OnClosed(reason)
	}
	_ = c.Close() // net/http reports its end
}

// Reserve calls take until it reports that there was room for a reservation of what a client sends. Meanwhile it
// closes connections whose clients hold up their requests, and reports false if there are none.
func (p *Pool) Reserve(take func() bool) bool { return p.reserve(needMemory, take) }

func (p *Pool) reserve(n need, take func() bool) bool {
	for range roomRounds {
		if take() {
			return true
		}
		if !p.closeOne(nil, n) {
			return false
		}
		time.Sleep(roomWait)
	}
	return take()
}

// reserveRequest reserves memory for a request beside its head.
func (p *Pool) reserveRequest() bool {
	return p.reserve(needConnection, func() bool { return p.Memory.Reserve(requestCost) })
}

// reserveHead reserves memory for a head that has own bytes already. Large ones leave room for small ones.
func (p *Pool) reserveHead(n, own int64) bool {
	share := 1.0
	if own+n > largeHead {
		share = largeHeadShare
	}
	return p.Reserve(func() bool { return p.Heads.ReserveWithin(n, own, share) })
}
