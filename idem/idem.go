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

// Prefix is where claims live.
const Prefix = "/lovageweir/idem/"

// Window is for how long at least a key is remembered.
const Window = 24 * time.Hour

// leaseShare is how long one lease takes new claims: one grant per entry and
// hour rather than one per claim. A lease lives Window + leaseShare.
const leaseShare = time.Hour

// Errors from Claim.
var (
	// ErrDuplicate: another request already claimed the key.
	ErrDuplicate = errors.New("idem: the idempotency key was already used")
	// ErrUnconfirmed: the KV could not confirm the claim.
	ErrUnconfirmed = errors.New("idem: the claim could not be confirmed")
)

// Claims claims idempotency keys in the KV.
type Claims struct {
	kv    kv.Client
	clock clockwork.Clock

	mu         sync.Mutex // guards the fields below; never held across a KV call
	lease      kv.LeaseID
	leaseUntil time.Time
	release    map[held]bool // claims of requests that did not run
}

// held is one claim: the KV key and the request that took it.
type held struct{ key, rid string }

// New returns claims over c.
func New(c kv.Client, clock clockwork.Clock) *Claims {
	return &Claims{kv: c, clock: clock, release: map[held]bool{}}
}

func claimKey(customer, key string) string { return Prefix + customer + "/" + key }

// Claim takes key for customer on behalf of request rid. On ErrUnconfirmed
// the claim may have landed; it is then released by Sweep.
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
		return c.reread(ctx, k, rid)
	case ok:
		return nil
	case cur != nil && string(cur.Value) == rid:
		return nil
	}
	return ErrDuplicate
}

// reread settles a claim whose answer was lost.
func (c *Claims) reread(ctx context.Context, k, rid string) error {
	_, kvs, err := c.kv.Get(ctx, k, false)
	switch {
	case err == nil && len(kvs) == 1 && string(kvs[0].Value) == rid:
		return nil
	case err == nil && len(kvs) == 1:
		return ErrDuplicate
	}
	// Absent now, the write may still be on its way: release it later too.
	c.queue(k, rid)
	return ErrUnconfirmed
}

// Release gives back the claim of a request that provably did not run.
func (c *Claims) Release(customer, key, rid string) { c.queue(claimKey(customer, key), rid) }

func (c *Claims) queue(k, rid string) {
	c.mu.Lock()
	c.release[held{k, rid}] = true
	c.mu.Unlock()
}

// Pending is how many claims wait to be released.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.release)
}

// Sweep tries to release what is queued; what the KV does not confirm stays
// queued for the next Sweep.
func (c *Claims) Sweep(ctx context.Context) {
	c.mu.Lock()
	todo := slices.Collect(maps.Keys(c.release))
	c.mu.Unlock()
	for _, h := range todo {
		if !c.releaseOne(ctx, h) {
			continue
		}
		c.mu.Lock()
		delete(c.release, h)
		c.mu.Unlock()
	}
}

// releaseOne reports whether h surely holds its key no longer.
func (c *Claims) releaseOne(ctx context.Context, h held) bool {
	_, kvs, err := c.kv.Get(ctx, h.key, false)
	if err != nil {
		return false
	}
	if len(kvs) == 0 || string(kvs[0].Value) != h.rid {
		return true
	}
	_, err = c.kv.CompareAndDelete(ctx, h.key, kvs[0].ModRevision)
	return err == nil
}

// currentLease returns the lease that new claims hang on.
func (c *Claims) currentLease(ctx context.Context) (kv.LeaseID, error) {
	c.mu.Lock()
	id, until := c.lease, c.leaseUntil
	c.mu.Unlock()
	now := c.clock.Now()
	if id != 0 && now.Before(until) {
		return id, nil
	}
	id, err := c.kv.Grant(ctx, Window+leaseShare)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	c.lease, c.leaseUntil = id, now.Add(leaseShare)
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
