package gateway

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/route"
)

// Bounds of connections to back ends.
const (
	dialWait     = 2 * time.Second
	idlePerHost  = 16
	idleConnWait = 30 * time.Second
)

// keepAlive finds a connection whose far end, or something between, has
// forgotten it: within seconds rather than the two hours of the default.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// lines holds one connection pool per back end. When a call over one goes
// silent, all idle connections to that back end are suspect (whatever forgot
// one has often forgotten all), so the whole pool is dropped and the next
// call dials anew; a shared pool would hand out the next silent one.
//
// Calls that may not be repeated get a connection of their own: a kept one
// that the far end has just closed takes the request and fails, and nobody
// can then say whether it ran.
type lines struct {
	mu    sync.Mutex
	pools map[string]*http.Client
	kept  kv.Revision // the configuration the pools were last pruned to
	once  *http.Client
}

func newLines() *lines {
	return &lines{pools: map[string]*http.Client{}, once: newClient(true)}
}

func newClient(once bool) *http.Client {
	d := &net.Dialer{Timeout: dialWait, KeepAliveConfig: keepAlive}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: once,
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnWait}}
}

// client returns what to call a back end with; once is set for a call that
// may not be repeated.
func (l *lines) client(address string, once bool) *http.Client {
	if once {
		return l.once
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pools[address]
	if c == nil {
		c = newClient(false)
		l.pools[address] = c
	}
	return c
}

// keep gives up the pools of back ends that left the configuration, once for
// each revision.
func (l *lines) keep(t *route.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept == t.Revision {
		return
	}
	l.kept = t.Revision
	maps.DeleteFunc(l.pools, func(address string, c *http.Client) bool {
		gone := !t.HasAddress(address)
		if gone {
			c.CloseIdleConnections() // those in use close when their answer ends
		}
		return gone
	})
}

// drop gives up the pool of address.
func (l *lines) drop(address string) {
	l.mu.Lock()
	c := l.pools[address]
	delete(l.pools, address)
	l.mu.Unlock()
	if c != nil {
		c.CloseIdleConnections()
	}
}

// retryBudget bounds repeats to a share of requests, so that a pool in
// trouble is not buried under the repeats of its own failures.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// The budget: each request earns retryShare of a repeat, up to retryBurst.
const (
	retryShare = 0.2
	retryBurst = 20
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
	b.mu.Unlock()
}

// take spends one repeat if there is one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
