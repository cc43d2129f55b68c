package idem

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
)

// Prefix is the KV prefix of claims.
const Prefix = "/lovageweir/idem/"

// Window is the minimum time for which a key is remembered.
const Window = 24 * time.Hour

// leaseRotation is how long a lease is used for new claims, so that an entry needs
// one grant per hour rather than one per claim. A lease lasts Window + leaseRotation.
const leaseRotation = time.Hour

// Errors from Claim.
var (
	// ErrDuplicate means that another request already claimed the key.
	ErrDuplicate = errors.New("idem: the idempotency key was already used")
	// ErrUnconfirmed means that the KV could not confirm the claim.
	ErrUnconfirmed = errors.New("idem: the claim could not be confirmed")
)

// Claims claims idempotency keys in the KV.
type Claims struct {
	kv    kv.Client
	clock clockwork.Clock

	mu             sync.Mutex // guards the fields below; never held across a KV call
	lease          kv.LeaseID
	leaseUntil     time.Time
	pendingRelease map[claimRef]bool // claims of requests that did not run
	// recent are confirmed claims by when that was: a KV that is restored from a copy loses
	// those made since.
	recent map[claimRef]time.Time
}

// keepRecent is how long confirmed claims are kept to be written again; a copy is some seconds old.
const keepRecent = time.Minute

// claimRef identifies a claim: its KV key and the request that holds it.
type claimRef struct{ key, requestID string }

// New returns a Claims that uses c.
func New(c kv.Client, clock clockwork.Clock) *Claims {
	return &Claims{kv: c, clock: clock, pendingRelease: map[claimRef]bool{}, recent: map[claimRef]time.Time{}}
}

func claimKey(customer, key string) string { return Prefix + customer + "/" + key }

// Claim claims key of customer for request rid. On ErrUnconfirmed the claim may
// have been written; Sweep then releases it.
func (c *Claims) Claim(ctx context.Context, customer, key, rid string) error {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return ErrUnconfirmed
	}
	k := claimKey(customer, key)
	ok, _, cur, err := c.kv.CompareAndPut(ctx, k, 0, []byte(rid), lease)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		c.forgetLease(lease) // nothing was written
		return ErrUnconfirmed
	case err != nil:
		return c.resolve(ctx, k, rid)
	case ok, cur != nil && string(cur.Value) == rid:
		c.remember(claimRef{k, rid})
		return nil
	}
	return ErrDuplicate
}

func (c *Claims) remember(ref claimRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent[ref] = c.clock.Now()
}

// WriteAgain writes the recent claims again to a KV that was restored from a copy, under a new lease:
// the one before may be gone. The KV keeps claims that it still has.
func (c *Claims) WriteAgain(ctx context.Context) error {
	c.mu.Lock()
	c.lease = 0
	refs := slices.Collect(maps.Keys(c.recent))
	c.mu.Unlock()
	if len(refs) == 0 {
		return nil
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return err
	}
	for _, ref := range refs {
		if _, _, _, err := c.kv.CompareAndPut(ctx, ref.key, 0, []byte(ref.requestID), lease); err != nil {
			return err
		}
	}
	return nil
}

// resolve reads back a claim whose answer was lost.
func (c *Claims) resolve(ctx context.Context, k, rid string) error {
	_, kvs, err := c.kv.Get(ctx, k, false)
	switch {
	case err == nil && len(kvs) == 1 && string(kvs[0].Value) == rid:
		c.remember(claimRef{k, rid})
		return nil
	case err == nil && len(kvs) == 1:
		return ErrDuplicate
	}
	// The KV did not answer, or the key is absent and the write may still arrive:
	// release it later.
	c.queueRelease(k, rid)
	return ErrUnconfirmed
}

// Release queues the release of the claim of a request that provably did not run.
func (c *Claims) Release(customer, key, rid string) { c.queueRelease(claimKey(customer, key), rid) }

func (c *Claims) queueRelease(k, rid string) {
	c.mu.Lock()
	c.pendingRelease[claimRef{k, rid}] = true
	delete(c.recent, claimRef{k, rid})
	c.mu.Unlock()
}

// Pending returns the number of claims queued for release.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingRelease)
}

// Sweep tries to release the queued claims. Those that the KV does not confirm stay
// queued for the next Sweep.
func (c *Claims) Sweep(ctx context.Context) {
	c.mu.Lock()
	queued := slices.Collect(maps.Keys(c.pendingRelease))
	for ref, at := range c.recent {
		if c.clock.Since(at) > keepRecent {
			delete(c.recent, ref)
		}
	}
	c.mu.Unlock()
	for _, ref := range queued {
		if !c.releaseOne(ctx, ref) {
			continue
		}
		c.mu.Lock()
		delete(c.pendingRelease, ref)
		c.mu.Unlock()
	}
}

// releaseOne tries to release a claim and reports whether the KV has confirmed that it
// no longer exists.
func (c *Claims) releaseOne(ctx context.Context, ref claimRef) bool {
	_, kvs, err := c.kv.Get(ctx, ref.key, false)
	if err != nil {
		return false
	}
	if len(kvs) == 0 || string(kvs[0].Value) != ref.requestID {
		return true
	}
	_, err = c.kv.CompareAndDelete(ctx, ref.key, kvs[0].ModRevision)
	return err == nil
}

// currentLease returns the lease for new claims.
func (c *Claims) currentLease(ctx context.Context) (kv.LeaseID, error) {
	c.mu.Lock()
	id, until := c.lease, c.leaseUntil
	c.mu.Unlock()
	now := c.clock.Now()
	if id != 0 && now.Before(until) {
		return id, nil
	}
	id, err := c.kv.Grant(ctx, Window+leaseRotation)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.lease, c.leaseUntil = id, now.Add(leaseRotation)
	c.mu.Unlock()
	return id, nil
}

func (c *Claims) forgetLease(id kv.LeaseID) {
	c.mu.Lock()
	if c.lease == id {
		c.lease = 0
	}
	c.mu.Unlock()
}
