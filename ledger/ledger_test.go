package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

func yes() bool { return true }
func no() bool  { return false }

func newLedger(c kv.KV, instance string, life int64, holder func() bool, clock clockwork.Clock) *Ledger {
	return New(c, instance, life, holder, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func ok(rid string, tokens int) Record {
	return Record{RequestID: rid, Customer: "c", Uses: []Use{{Model: "m", Version: "v", Tokens: tokens}}, Outcome: OutcomeOK}
}

// served opens and settles one request.
func served(l *Ledger, rid string, tokens int) {
	l.Open(ok(rid, 0))
	l.Settle(context.Background(), ok(rid, tokens))
}

func standin(t *testing.T) (*kvserver.Server, kv.KV) {
	srv := kvserver.New(clockwork.NewFakeClock())
	hs := httptest.NewServer(srv.Handler())
	t.Cleanup(hs.Close)
	return srv, etcdv3.New(hs.URL, nil)
}

// TestLostAckBillsOnce: symptom: a customer billed twice for one request.
// Sequence: the entry flushes a batch; the KV applies it and the answer is
// lost; the entry flushes again. Cause, if the retry made a new batch: the
// same records would land under two keys. Here the retry rewrites the same
// key create-only, so the KV holds the records once.
func TestLostAckBillsOnce(t *testing.T) {
	is := is.New(t)
	srv, c := standin(t)
	l := newLedger(c, "entry-a", 1, yes, clockwork.NewFakeClock())
	ctx := context.Background()
	for i := range 10 {
		served(l, fmt.Sprintf("r%d", i), 5)
	}
	srv.SetFaults(kvserver.Faults{DropAcks: true})
	is.True(l.Flush(ctx) != nil) // outcome unknown: the write took effect, the answer was lost
	is.True(l.Flush(ctx) != nil) // again
	srv.SetFaults(kvserver.Faults{})
	served(l, "r10", 5)
	is.NoErr(l.Flush(ctx)) // the pending batch is confirmed
	is.NoErr(l.Flush(ctx)) // then the new record
	totals, dropped, err := totalsOf(ctx, c)
	is.NoErr(err)
	is.Equal(dropped, 0)
	is.Equal(totals["c"], 55) // 11 requests x 5 tokens, each once
	is.Equal(l.Waiting(), 0)
}

// TestKVDownKeepsRecords: symptom: requests served during a KV outage are
// never billed. Sequence: the KV is down for several flushes, then returns.
// Cause, if a failed flush dropped its batch: those records are gone. Here
// the batch stays pending until a flush is confirmed.
func TestKVDownKeepsRecords(t *testing.T) {
	is := is.New(t)
	srv, c := standin(t)
	l := newLedger(c, "entry-a", 1, yes, clockwork.NewFakeClock())
	ctx := context.Background()
	srv.SetFaults(kvserver.Faults{Down: true})
	for i := range 3 {
		served(l, fmt.Sprintf("r%d", i), 1)
		is.True(l.Flush(ctx) != nil)
	}
	srv.SetFaults(kvserver.Faults{})
	is.NoErr(l.FlushAll(ctx))
	totals, _, err := totalsOf(ctx, c)
	is.NoErr(err)
	is.Equal(totals["c"], 3)
}

// carry does one copy call from owner to holder; lose says where it breaks.
func carry(owner, holder *Ledger, lose string) {
	target := fmt.Sprintf("%s/%d", holder.instance, holder.life)
	req, mark := owner.request(target)
	if lose == "request" {
		owner.lost()
		return
	}
	resp := holder.Keep(req)
	if lose == "answer" {
		owner.lost()
		return
	}
	owner.confirmed(target, mark, resp.Durable)
}

// TestEntryCrashBillsWhatItServed: invariant 4. Symptom: answers given in
// the last seconds before an entry crashed are never billed. Sequence: an
// entry ends one request and has another in flight; both are copied to the
// holder; the entry crashes before its flush. Cause, without copies: the
// records lived in the crashed process only.
func TestEntryCrashBillsWhatItServed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	owner := newLedger(store, "a", 1, no, clockwork.NewFakeClock())
	holder := newLedger(store, "b", 1, yes, clockwork.NewFakeClock())
	owner.Open(ok("in-flight", 0))
	owner.Open(ok("not-run", 0))
	served(owner, "ended", 7)
	carry(owner, holder, "")
	owner.Drop("not-run") // refused by every back end: must not be billed
	carry(owner, holder, "")
	holder.TakeOver(func(string, int64) bool { return false }) // a crashed
	is.NoErr(holder.FlushAll(ctx))
	recs, dropped, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(dropped, 0)
	is.Equal(len(recs), 2)
	is.Equal(recs["ended"].Tokens(), 7)
	is.Equal(recs["in-flight"].Outcome, OutcomeUnknown)
}

// TestPropertyEachRequestIsBilledOnce: invariant 4 under any order of
// requests, copies that break before or after they arrive, flushes that
// fail or lose their answer, a change of holder, a holder crash, and an
// owner that was taken for dead and goes on. Symptom guarded against: a
// request billed twice, never, or for less than it used.
func TestPropertyEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := &flakyKV{Store: memkv.New(fc)}
		owner := newLedger(store, "a", 1, no, fc)
		holders := []*Ledger{newLedger(store, "b", 1, yes, fc), newLedger(store, "c", 1, yes, fc)}
		want, open := map[string]int{}, []string{}
		for i, n := 0, rapid.IntRange(1, 60).Draw(rt, "steps"); i < n; i++ {
			h := rapid.IntRange(0, 1).Draw(rt, "holder")
			store.mode = rapid.SampledFrom([]string{"", "", "down", "lost"}).Draw(rt, "kv")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				rid := fmt.Sprintf("r%d", i)
				owner.Open(ok(rid, 0))
				open = append(open, rid)
			case 1:
				if len(open) > 0 {
					tokens := rapid.IntRange(1, 9).Draw(rt, "tokens")
					want[open[0]] = tokens
					owner.lost() // no second entry to wait for in this test
					owner.Settle(ctx, ok(open[0], tokens))
					open = open[1:]
				}
			case 2:
				carry(owner, holders[h], rapid.SampledFrom([]string{"", "request", "answer"}).Draw(rt, "lose"))
			case 3:
				_ = holders[h].Flush(ctx)
			case 4: // the holder takes the paused owner for dead
				holders[h].TakeOver(func(string, int64) bool { return false })
			case 5: // the holder crashes and is replaced
				holders[h] = newLedger(store, holders[h].instance, holders[h].life+1, yes, fc)
			case 6:
				fc.Advance(ownAfter)
				_ = owner.Flush(ctx)
			}
		}
		store.mode = ""
		for _, rid := range open { // what is still open ends
			want[rid] = 1
			owner.lost()
			owner.Settle(ctx, ok(rid, 1))
		}
		for _, l := range []*Ledger{owner, holders[0], holders[1]} {
			if err := l.FlushAll(ctx); err != nil {
				rt.Fatal(err)
			}
		}
		got, _, err := Read(ctx, store)
		if err != nil || len(got) != len(want) {
			rt.Fatalf("billed %d requests, want %d (%v)", len(got), len(want), err)
		}
		for rid, tokens := range want {
			if got[rid].Tokens() != tokens {
				rt.Fatalf("%s billed for %d tokens, used %d", rid, got[rid].Tokens(), tokens)
			}
		}
	})
}

// flakyKV is a KV that can be down or lose the answers of writes.
type flakyKV struct {
	*memkv.Store
	mode string // "", "down", "lost"
}

func (f *flakyKV) CompareAndPut(ctx context.Context, k string, e kv.Revision, v []byte, l kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	if f.mode == "down" {
		return false, 0, nil, kv.ErrUnavailable
	}
	done, rev, cur, err := f.Store.CompareAndPut(ctx, k, e, v, l)
	if f.mode == "lost" {
		return false, 0, nil, kv.ErrUnavailable
	}
	return done, rev, cur, err
}

// TestDropSurvivesALostCopy: invariant 4. Symptom: a caller that was told
// "not run" is billed. Sequence: a request is opened and copied, refused by
// every back end, the copy that says so is lost, and the entry dies. Cause,
// if only changes were ever copied: the holder bills the request. Here a
// request that did not run is never
// billed by the holder, even when the copy that said so was lost.
func TestDropSurvivesALostCopy(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	owner := newLedger(store, "a", 1, no, clockwork.NewFakeClock())
	holder := newLedger(store, "b", 1, yes, clockwork.NewFakeClock())
	owner.Open(ok("not-run", 0))
	carry(owner, holder, "")
	owner.Drop("not-run")
	carry(owner, holder, "request")
	carry(owner, holder, "") // a whole copy
	holder.TakeOver(func(string, int64) bool { return false })
	is.NoErr(holder.FlushAll(ctx))
	recs, _, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(len(recs), 0)
	is.Equal(holder.Keep(&peerpb.ShadowRequest{Owner: "a", Life: 1}).Durable, nil)
}

// totalsOf sums Read's records: tokens per customer.
func totalsOf(ctx context.Context, c kv.KV) (map[string]int, int, error) {
	recs, dropped, err := Read(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	out := map[string]int{}
	for _, r := range recs {
		out[r.Customer] += r.Tokens()
	}
	return out, dropped, nil
}
