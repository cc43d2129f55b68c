package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
)

// TestPausedHolderIsFenced: symptom: two processes give orders at once.
// Sequence: a holder is paused past its lease, another takes the duty, the
// first resumes. Cause, if it went by what it last heard: it would still
// call itself the holder. By its own clock its time is over; and should an
// act of it be under way, its fencing number is the lower.
func TestPausedHolderIsFenced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	store := memkv.New(fc)
	a, b := New(store, "orders/fd-1", "a", fc), New(store, "orders/fd-1", "b", fc)
	is.NoErr(a.Renew(ctx))
	old, ok := a.Held()
	is.True(ok)
	is.NoErr(b.Renew(ctx))
	_, ok = b.Held()
	is.True(!ok)
	fc.Advance(TTL + time.Second) // a is paused
	is.NoErr(b.Renew(ctx))
	fence, ok := b.Held()
	is.True(ok)
	is.True(fence > old)
	_, ok = a.Held() // a resumes
	is.True(!ok)
	is.NoErr(a.Renew(ctx)) // and learns that its lease is gone
	is.NoErr(a.Renew(ctx)) // it may apply again, in vain
	_, ok = a.Held()
	is.True(!ok)
	b.Resign(ctx)
	is.NoErr(a.Renew(ctx))
	_, ok = a.Held()
	is.True(ok)
}

// unsteady is a KV that may fail before or after a call took effect.
type unsteady struct {
	*memkv.Store
	mode string
}

func (u *unsteady) before() error {
	if u.mode == "down" {
		return kv.ErrUnavailable
	}
	return nil
}

func (u *unsteady) after(err error) error {
	if u.mode == "lost" {
		return kv.ErrUnavailable
	}
	return err
}

func (u *unsteady) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := u.before(); err != nil {
		return 0, err
	}
	id, err := u.Store.Grant(ctx, ttl)
	return id, u.after(err)
}

func (u *unsteady) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := u.before(); err != nil {
		return 0, err
	}
	ttl, err := u.Store.KeepAlive(ctx, id)
	return ttl, u.after(err)
}

func (u *unsteady) CompareAndPut(ctx context.Context, k string, e kv.Revision, v []byte, l kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	if err := u.before(); err != nil {
		return false, 0, nil, err
	}
	ok, rev, cur, err := u.Store.CompareAndPut(ctx, k, e, v, l)
	return ok, rev, cur, u.after(err)
}

// TestPropertyOneHolderAndRisingFences: whatever the KV does and however
// long processes are paused, no two hold the duty at once, and fencing
// numbers only rise from holder to holder.
func TestPropertyOneHolderAndRisingFences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := &unsteady{Store: memkv.New(fc)}
		var ds []*Duty
		for i := range 3 {
			ds = append(ds, New(store, "x", fmt.Sprintf("p%d", i), fc))
		}
		last, lastFence := -1, kv.Revision(0)
		for i, n := 0, rapid.IntRange(1, 60).Draw(rt, "steps"); i < n; i++ {
			store.mode = rapid.SampledFrom([]string{"", "", "", "down", "lost"}).Draw(rt, "kv")
			who := rapid.IntRange(0, 2).Draw(rt, "who")
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				ds[who].Resign(ctx)
			case 1, 2, 3:
				fc.Advance(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds")) * time.Second)
			default:
				_ = ds[who].Renew(ctx)
			}
			holders := 0
			for w, d := range ds {
				fence, ok := d.Held()
				if !ok {
					continue
				}
				holders++
				if w != last && fence <= lastFence || fence < lastFence {
					rt.Fatalf("p%d holds with fence %d after p%d had %d", w, fence, last, lastFence)
				}
				last, lastFence = w, fence
			}
			if holders > 1 {
				rt.Fatalf("%d holders", holders)
			}
		}
	})
}
