package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
)

// Prefix is the KV prefix of duties.
const Prefix = "/lovageweir/duty/"

// TTL is the duration of a duty's lease. A holder that dies can be replaced once the
// lease has expired.
const TTL = 10 * time.Second

// safetyMargin is how long before the end of its lease a holder stops acting. It
// covers the time that an action already begun may take to arrive.
const safetyMargin = 2 * time.Second

// Duty is one process's handle on a duty.
type Duty struct {
	kv       kv.Client
	clock    clockwork.Clock
	key      string
	holderID string

	renewMu sync.Mutex // serializes Renew

	mu         sync.Mutex // guards the fields below; never held across a KV call
	attempts   int
	lease      kv.LeaseID
	fence      kv.Revision
	validUntil time.Time
}

// New returns the duty called name for the process identified by holderID, which
// must be unique to this incarnation of the process.
func New(c kv.Client, name, holderID string, clock clockwork.Clock) *Duty {
	return &Duty{kv: c, clock: clock, key: Prefix + name, holderID: holderID}
}

// Held reports whether the duty is held now and returns its fencing token. Callers
// must call it right before each action, not once for several.
func (d *Duty) Held() (fence kv.Revision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.lease != 0 && d.clock.Now().Before(d.validUntil)
}

// Renew renews the duty, or tries to acquire it. It should be called every TTL/3.
func (d *Duty) Renew(ctx context.Context) error {
	d.renewMu.Lock()
	defer d.renewMu.Unlock()
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease == 0 {
		return d.acquire(ctx)
	}
	requested := d.clock.Now()
	ttl, err := d.kv.KeepAlive(ctx, lease)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		d.markLost() // the lease expired: another process may hold the duty
		return nil
	case err != nil:
		return err // validUntil is unchanged: the duty ends by itself if renewals keep failing
	}
	if held, err := d.keyHeld(ctx, lease); err != nil || !held {
		if err == nil {
			d.markLost()
		}
		return err
	}
	d.mu.Lock()
	d.validUntil = requested.Add(ttl - safetyMargin)
	d.mu.Unlock()
	return nil
}

// keyHeld reports whether the duty's key is still that of the lease. A KV that was restored from a copy
// may have the lease without the key, which another process may have written since.
func (d *Duty) keyHeld(ctx context.Context, lease kv.LeaseID) (bool, error) {
	eras, ok := d.kv.(kv.EraReader)
	d.mu.Lock()
	fence := d.fence
	d.mu.Unlock()
	if !ok || eras.Era() == fence.Era() {
		return true, nil
	}
	_, kvs, err := d.kv.Get(ctx, d.key, false)
	if err != nil || len(kvs) == 0 || kvs[0].Lease != lease {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = kvs[0].ModRevision
	return true, nil
}

func (d *Duty) acquire(ctx context.Context) error {
	requested := d.clock.Now()
	lease, err := d.kv.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.attempts++
	value := fmt.Sprintf("%s/%d", d.holderID, d.attempts) // distinguishes this attempt from earlier ones
	d.mu.Unlock()
	ok, rev, _, err := d.kv.CompareAndPut(ctx, d.key, 0, []byte(value), lease)
	if err != nil {
		// The write may have taken effect; read the key back.
		_, kvs, readErr := d.kv.Get(ctx, d.key, false)
		if readErr != nil || len(kvs) == 0 || string(kvs[0].Value) != value {
			return err // if the write took effect, the key expires with the lease
		}
		ok, rev = true, kvs[0].ModRevision
	}
	if !ok { // another process holds it
		_ = d.kv.Revoke(ctx, lease)
		return nil
	}
	d.mu.Lock()
	d.lease, d.fence, d.validUntil = lease, rev, requested.Add(TTL-safetyMargin)
	d.mu.Unlock()
	return nil
}

func (d *Duty) markLost() {
	d.mu.Lock()
	d.lease, d.fence = 0, 0
	d.mu.Unlock()
}

// Resign releases the duty at a planned stop, so that another process can acquire
// it at once.
func (d *Duty) Resign(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	d.markLost()
	if lease != 0 {
		_ = d.kv.Revoke(ctx, lease) // if this fails the lease expires
	}
}
