package idem

import (
	"context"
	"errors"
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

// faultyKV is a KV whose calls can fail before or after taking effect.
type faultyKV struct {
	*memkv.Store
	down    bool // calls fail and do nothing
	lostAck bool // writes take effect and then fail
}

func (f *faultyKV) Get(ctx context.Context, k string, p bool) (kv.Revision, []kv.KeyValue, error) {
	if f.down {
		return 0, nil, kv.ErrUnavailable
	}
	return f.Store.Get(ctx, k, p)
}

func (f *faultyKV) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if f.down {
		return 0, kv.ErrUnavailable
	}
	return f.Store.Grant(ctx, ttl)
}

func (f *faultyKV) CompareAndPut(ctx context.Context, k string, e kv.Revision, v []byte, l kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	if f.down {
		return false, 0, nil, kv.ErrUnavailable
	}
	ok, rev, cur, err := f.Store.CompareAndPut(ctx, k, e, v, l)
	if f.lostAck {
		return false, 0, nil, kv.ErrUnavailable
	}
	return ok, rev, cur, err
}

func (f *faultyKV) CompareAndDelete(ctx context.Context, k string, e kv.Revision) (bool, error) {
	if f.down {
		return false, kv.ErrUnavailable
	}
	ok, err := f.Store.CompareAndDelete(ctx, k, e)
	if f.lostAck {
		return false, kv.ErrUnavailable
	}
	return ok, err
}

// TestLostAckThenOutageReleasesClaim covers invariants 6 and 7. It guards against a
// tenant reminder that is never sent although every retry is refused as a duplicate:
// a claim is written, its answer is lost, and the KV goes down before the claim can
// be read back, so the request is refused as not run and its claim must be released.
func TestLostAckThenOutageReleasesClaim(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := &faultyKV{Store: memkv.New(clockwork.NewFakeClock())}
	a, b := New(f, clockwork.NewFakeClock()), New(f, clockwork.NewFakeClock())
	is.NoErr(a.Claim(ctx, "c", "warm-up", "a-0")) // the lease is granted
	down := &lostAckThenDown{faultyKV: f}
	a.kv = down
	is.Equal(a.Claim(ctx, "c", "k", "a-1"), ErrUnconfirmed)
	a.Sweep(ctx) // the KV is still down: the claim stays queued
	is.Equal(a.Pending(), 1)
	f.down = false
	is.Equal(b.Claim(ctx, "c", "k", "b-0"), ErrDuplicate) // the claim was written
	a.Sweep(ctx)
	is.Equal(a.Pending(), 0)
	is.NoErr(b.Claim(ctx, "c", "k", "b-1")) // the retry now runs
	a.Sweep(ctx)
	is.Equal(b.Claim(ctx, "c", "k", "b-2"), ErrDuplicate) // and only once
}

// lostAckThenDown loses the answer to the first write and is down afterwards.
type lostAckThenDown struct{ *faultyKV }

func (d *lostAckThenDown) CompareAndPut(ctx context.Context, k string, e kv.Revision, v []byte, l kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	_, _, _, _ = d.faultyKV.CompareAndPut(ctx, k, e, v, l)
	d.faultyKV.down = true
	return false, 0, nil, kv.ErrUnavailable
}

// TestPropertyAKeyRunsAtMostOnce covers invariant 7: a pallet is never posted twice.
// Two entries claim a few keys in any order, with the KV down or losing answers and
// with releases of requests that did not run. Without compare-and-delete or the read
// back, two requests could both consider themselves holders of a key.
func TestPropertyAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		f := &faultyKV{Store: memkv.New(fc)}
		entries := []*Claims{New(f, fc), New(f, fc)}
		ran := map[string]int{}
		for i, n := 0, rapid.IntRange(1, 40).Draw(rt, "steps"); i < n; i++ {
			e := entries[rapid.IntRange(0, 1).Draw(rt, "entry")]
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(rt, "key")
			f.down = rapid.IntRange(0, 4).Draw(rt, "down") == 0
			f.lostAck = rapid.IntRange(0, 3).Draw(rt, "lost") == 0
			if rapid.Bool().Draw(rt, "sweep") {
				e.Sweep(ctx)
				continue
			}
			rid := fmt.Sprintf("r-%d", i)
			if e.Claim(ctx, "c", key, rid) != nil {
				continue
			}
			if rapid.Bool().Draw(rt, "has no capacity") {
				e.Release("c", key, rid)
				continue
			}
			if ran[key]++; ran[key] > 1 {
				rt.Fatalf("key %s ran %d times", key, ran[key])
			}
		}
	})
}

// Guards against a posting that runs twice because the KV lost its claim in a restore.
func TestClaimsAreWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	store := memkv.New(clockwork.NewFakeClock())
	claims := New(store, clockwork.NewFakeClock())
	backup := store.Backup()
	is.NoErr(claims.Claim(t.Context(), "c", "key", "r1"))
	store.Restore(backup)
	is.NoErr(claims.WriteAgain(t.Context()))
	other := New(store, clockwork.NewFakeClock())
	is.True(errors.Is(other.Claim(t.Context(), "c", "key", "r2"), ErrDuplicate))
	is.NoErr(claims.Claim(t.Context(), "c", "key2", "r3")) // under a lease that the KV has
}
