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

// TestPausedHolderIsFenced guards against two processes acting at once: a holder is
// paused past its lease, another acquires the duty, and the first resumes. Going by
// its last renewal alone it would still consider itself the holder. Its own clock
// ends its tenure, and an action already under way carries the lower fencing token.
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
	is.NoErr(a.Renew(ctx)) // and learns that its lease has expired
	is.NoErr(a.Renew(ctx)) // trying to acquire the duty again fails
	_, ok = a.Held()
	is.True(!ok)
	b.Resign(ctx)
	is.NoErr(a.Renew(ctx))
	_, ok = a.Held()
	is.True(ok)
}

// faultyKV is a KV whose calls can fail before or after taking effect.
type faultyKV struct {
	*memkv.Store
	mode string // "", "down", "lost"
}

func (f *faultyKV) before() error {
	if f.mode == "down" {
		return kv.ErrUnavailable
	}
	return nil
}

func (f *faultyKV) after(err error) error {
	if f.mode == "lost" {
		return kv.ErrUnavailable
	}
	return err
}

func (f *faultyKV) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := f.before(); err != nil {
		return 0, err
	}
	id, err := f.Store.Grant(ctx, ttl)
	return id, f.after(err)
}

func (f *faultyKV) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := f.before(); err != nil {
		return 0, err
	}
	ttl, err := f.Store.KeepAlive(ctx, id)
	return ttl, f.after(err)
}

func (f *faultyKV) CompareAndPut(ctx context.Context, k string, e kv.Revision, v []byte, l kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	if err := f.before(); err != nil {
		return false, 0, nil, err
	}
	ok, rev, cur, err := f.Store.CompareAndPut(ctx, k, e, v, l)
	return ok, rev, cur, f.after(err)
}

// TestPropertyOneHolderAndIncreasingFencingTokens checks that, whatever faults the KV
// has and however long processes are paused, no two hold the duty at once and
// fencing tokens only increase from holder to holder.
func TestPropertyOneHolderAndIncreasingFencingTokens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := &faultyKV{Store: memkv.New(fc)}
		var processes []*Duty
		for i := range 3 {
			processes = append(processes, New(store, "x", fmt.Sprintf("p%d", i), fc))
		}
		last, lastFence := -1, kv.Revision(0)
		for i, n := 0, rapid.IntRange(1, 60).Draw(rt, "steps"); i < n; i++ {
			store.mode = rapid.SampledFrom([]string{"", "", "", "down", "lost"}).Draw(rt, "kv")
			process := rapid.IntRange(0, 2).Draw(rt, "who")
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				processes[process].Resign(ctx)
			case 1, 2, 3:
				fc.Advance(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds")) * time.Second)
			default:
				_ = processes[process].Renew(ctx)
			}
			holders := 0
			for p, d := range processes {
				fence, ok := d.Held()
				if !ok {
					continue
				}
				holders++
				if p != last && fence <= lastFence || fence < lastFence {
					rt.Fatalf("p%d holds the duty with fencing token %d after p%d had %d", p, fence, last, lastFence)
				}
				last, lastFence = p, fence
			}
			if holders > 1 {
				rt.Fatalf("%d holders at once", holders)
			}
		}
	})
}

// Guards against two holders after the store was restored from a copy that has the lease but not the duty's key.
func TestADutyIsLostWithItsKey(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	store := &grantHook{Store: memkv.New(fc)}
	a, b := New(store, "orders/fd-1", "a", fc), New(store, "orders/fd-1", "b", fc)
	var backup *memkv.Backup
	store.granted = func() { backup = store.Backup() }
	is.NoErr(a.Renew(ctx))
	old, ok := a.Held()
	is.True(ok)
	store.granted = func() {}
	store.Restore(backup)
	is.NoErr(b.Renew(ctx))
	fence, ok := b.Held()
	is.True(ok)
	is.True(fence > old)
	is.NoErr(a.Renew(ctx))
	_, ok = a.Held()
	is.True(!ok)
}

// grantHook calls a function after each grant of a lease.
type grantHook struct {
	*memkv.Store
	granted func()
}

func (s *grantHook) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	id, err := s.Store.Grant(ctx, ttl)
	s.granted()
	return id, err
}
