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

// Prefix is where duties live in the KV.
const Prefix = "/lovageweir/duty/"

// TTL is a duty's lease. A holder that dies is replaced that much later.
const TTL = 10 * time.Second

// margin is how long before the lease ends a holder stops: the time that an
// act already begun may take to arrive.
const margin = 2 * time.Second

// Duty is one process's side of a duty.
type Duty struct {
	kv    kv.Client
	clock clockwork.Clock
	key   string
	me    string

	renewing sync.Mutex // one Renew at a time

	mu    sync.Mutex // guards the fields below; never held across a call
	tries int
	lease kv.LeaseID
	fence kv.Revision
	until time.Time
}

// New returns the duty name for a process that calls itself me; me must be
// unique to this life of the process.
func New(c kv.Client, name, me string, clock clockwork.Clock) *Duty {
	return &Duty{kv: c, clock: clock, key: Prefix + name, me: me}
}

// Held returns the fencing number if the duty is held now. Callers ask right
// before each act, not once for many.
func (d *Duty) Held() (fence kv.Revision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.lease != 0 && d.clock.Now().Before(d.until)
}

// Renew renews the duty, or tries to take it. It is called every TTL/3.
func (d *Duty) Renew(ctx context.Context) error {
	d.renewing.Lock()
	defer d.renewing.Unlock()
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease == 0 {
		return d.take(ctx)
	}
	asked := d.clock.Now()
	ttl, err := d.kv.KeepAlive(ctx, lease)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		d.lose() // it lapsed: another may hold the duty
		return nil
	case err != nil:
		return err // until stands: the duty ends by itself if this goes on
	}
	d.mu.Lock()
	d.until = asked.Add(ttl - margin)
	d.mu.Unlock()
	return nil
}

func (d *Duty) take(ctx context.Context) error {
	asked := d.clock.Now()
	lease, err := d.kv.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.tries++
	value := fmt.Sprintf("%s/%d", d.me, d.tries) // tells this try from earlier ones
	d.mu.Unlock()
	ok, rev, _, err := d.kv.CompareAndPut(ctx, d.key, 0, []byte(value), lease)
	if err != nil {
		// It may have taken effect: the key tells.
		_, kvs, rerr := d.kv.Get(ctx, d.key, false)
		if rerr != nil || len(kvs) == 0 || string(kvs[0].Value) != value {
			return err // if it did, the lease lapses and the duty is free again
		}
		ok, rev = true, kvs[0].ModRevision
	}
	if !ok { // another holds it
		_ = d.kv.Revoke(ctx, lease)
		return nil
	}
	d.mu.Lock()
	d.lease, d.fence, d.until = lease, rev, asked.Add(TTL-margin)
	d.mu.Unlock()
	return nil
}

func (d *Duty) lose() {
	d.mu.Lock()
	d.lease, d.fence = 0, 0
	d.mu.Unlock()
}

// Resign gives the duty up at a planned stop, so that another takes it at
// once.
func (d *Duty) Resign(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	d.lose()
	if lease != 0 {
		_ = d.kv.Revoke(ctx, lease) // if it fails the lease lapses
	}
}
