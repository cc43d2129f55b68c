package gateway

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/upstream"
)

// Limits on connections to back ends.
const (
	dialTimeout     = 2 * time.Second
	maxIdlePerHost  = 16
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10 // of an answer
)

// keepAlive detects connections that the peer or a middlebox has dropped without
// a reset within seconds, rather than the two hours of the default.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// connPools holds one connection pool per back end. When a call times out, all
// idle connections to that back end are suspect, since whatever dropped one
// without a reset has often dropped all. The whole pool is then discarded and the
// next call dials anew; otherwise it would get the next dead connection.
//
// Calls that may not be repeated use a new connection each. A reused one that the
// peer has just closed accepts the request and fails, and it is then unknown
// whether the request ran.
type connPools struct {
	mu             sync.Mutex
	pools          map[string]*http.Client
	prunedRevision kv.Revision // the revision the pools were last pruned to
	singleUse      *http.Client
}

func newConnPools() *connPools {
	return &connPools{pools: map[string]*http.Client{}, singleUse: newClient(true)}
}

func newClient(singleUse bool) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &http.Client{Transport: upstream.ValidateAnswers(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: singleUse,
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes})}
}

// client returns the client for calls to address; singleUse is set for a call that may
// not be repeated.
func (p *connPools) client(address string, singleUse bool) *http.Client {
	if singleUse {
		return p.singleUse
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.pools[address]
	if c == nil {
		c = newClient(false)
		p.pools[address] = c
	}
	return c
}

// prune discards the pools of back ends that are no longer in the configuration,
// once per revision.
func (p *connPools) prune(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prunedRevision == t.Revision {
		return
	}
	p.prunedRevision = t.Revision
	maps.DeleteFunc(p.pools, func(address string, c *http.Client) bool {
		gone := !t.HasAddress(address)
		if gone {
			c.CloseIdleConnections() // connections in use close when their answer ends
		}
		return gone
	})
}

// drop discards the pool of address.
func (p *connPools) drop(address string) {
	p.mu.Lock()
	c := p.pools[address]
	delete(p.pools, address)
	p.mu.Unlock()
	if c != nil {
		c.CloseIdleConnections()
	}
}

// retryBudget limits retries to a share of requests, so that failures of a pool
// are not amplified by the load of their retries.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Each request deposits retryRatio of a retry, up to a balance of retryBurst.
const (
	retryRatio = 0.2
	retryBurst = 20
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
	b.mu.Unlock()
}

// tryWithdraw spends one retry if the balance allows it.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
