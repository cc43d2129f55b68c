package ledger

import (
	"context"
	"encoding/json"
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

func always() bool { return true }
func never() bool  { return false }

func newLedger(c kv.KV, instance string, incarnation int64, isHolder func() bool, clock clockwork.Clock) *Ledger {
	return New(c, instance, incarnation, isHolder, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func okRecord(rid string, tokens int) Record {
	return Record{RequestID: rid, Customer: "c", Uses: []Use{{Model: "m", Version: "v", Tokens: tokens}}, Outcome: OutcomeOK}
}

// serve opens and settles one request.
func serve(l *Ledger, rid string, tokens int) {
	l.Open(okRecord(rid, 0))
	l.Settle(context.Background(), okRecord(rid, tokens))
}

func newKVServer(t *testing.T) (*kvserver.Server, kv.KV) {
	srv := kvserver.New(clockwork.NewFakeClock())
	hs := httptest.NewServer(srv.Handler())
	t.Cleanup(hs.Close)
	return srv, etcdv3.New(hs.URL, nil)
}

// TestLostAckBillsOnce guards against billing a customer twice for one request:
// the KV applies a batch, its answer is lost, and the entry flushes again. If the
// retry made a new batch, the records would be stored under two keys; it rewrites
// the same key create-only instead.
func TestLostAckBillsOnce(t *testing.T) {
	is := is.New(t)
	srv, c := newKVServer(t)
	l := newLedger(c, "entry-a", 1, always, clockwork.NewFakeClock())
	ctx := context.Background()
	for i := range 10 {
		serve(l, fmt.Sprintf("r%d", i), 5)
	}
	srv.SetFaults(kvserver.Faults{DropAcks: true})
	is.True(l.Flush(ctx) != nil) // outcome unknown: the write was applied, its answer lost
	is.True(l.Flush(ctx) != nil) // the retry as well
	srv.SetFaults(kvserver.Faults{})
	serve(l, "r10", 5)
	is.NoErr(l.Flush(ctx)) // the unconfirmed batch is confirmed
	is.NoErr(l.Flush(ctx)) // then the new record is written
	totals, dropped, err := customerTotals(ctx, c)
	is.NoErr(err)
	is.Equal(dropped, 0)
	is.Equal(totals["c"], 55) // 11 requests x 5 tokens, each once
	is.Equal(l.Waiting(), 0)
}

// TestKVDownKeepsRecords guards against requests served during a KV outage never
// being billed: the KV is down for several flushes. If a failed flush dropped its
// batch the records would be gone; the batch is kept until a flush is confirmed.
func TestKVDownKeepsRecords(t *testing.T) {
	is := is.New(t)
	srv, c := newKVServer(t)
	l := newLedger(c, "entry-a", 1, always, clockwork.NewFakeClock())
	ctx := context.Background()
	srv.SetFaults(kvserver.Faults{Down: true})
	for i := range 3 {
		serve(l, fmt.Sprintf("r%d", i), 1)
		is.True(l.Flush(ctx) != nil)
	}
	srv.SetFaults(kvserver.Faults{})
	is.NoErr(l.FlushAll(ctx))
	totals, _, err := customerTotals(ctx, c)
	is.NoErr(err)
	is.Equal(totals["c"], 3)
}

// replicate makes one copy call from owner to holder; lost is the message that is
// lost: "request", "answer" or none.
func replicate(owner, holder *Ledger, lost string) {
	target := fmt.Sprintf("%s/%d", holder.instance, holder.incarnation)
	req, changeSeq := owner.buildRequest(target)
	if lost == "request" {
		owner.resetHolder()
		return
	}
	resp := holder.StoreCopies(req)
	if lost == "answer" {
		owner.resetHolder()
		return
	}
	owner.markAcked(target, changeSeq, resp.Durable)
}

// TestEntryCrashBillsWhatItServed covers invariant 4. It guards against requests
// answered in the last seconds before an entry crashed never being billed: one
// request has ended and another is in flight when the entry crashes before its
// flush. Without the copies at the holder their records would exist only in the
// crashed process.
func TestEntryCrashBillsWhatItServed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	owner := newLedger(store, "a", 1, never, clockwork.NewFakeClock())
	holder := newLedger(store, "b", 1, always, clockwork.NewFakeClock())
	owner.Open(okRecord("in-flight", 0))
	owner.Open(okRecord("not-run", 0))
	serve(owner, "ended", 7)
	replicate(owner, holder, "")
	owner.Drop("not-run") // refused by every back end: not billed
	replicate(owner, holder, "")
	holder.TakeOver(func(string, int64) bool { return false }) // a crashed
	is.NoErr(holder.FlushAll(ctx))
	recs, dropped, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(dropped, 0)
	is.Equal(len(recs), 2)
	is.Equal(recs["ended"].Tokens(), 7)
	is.Equal(recs["in-flight"].Outcome, OutcomeUnknown)
}

// TestPropertyEachRequestIsBilledOnce checks invariant 4: no request is billed
// twice, never, or for less than it used. It runs any order of requests, copy calls
// lost before or after they arrive, flushes that fail or lose their answer, changes
// and crashes of the holder, and an owner that is considered dead and goes on.
func TestPropertyEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		fc := clockwork.NewFakeClock()
		store := &flakyKV{Store: memkv.New(fc)}
		owner := newLedger(store, "a", 1, never, fc)
		holders := []*Ledger{newLedger(store, "b", 1, always, fc), newLedger(store, "c", 1, always, fc)}
		want, open := map[string]int{}, []string{}
		for i, n := 0, rapid.IntRange(1, 60).Draw(rt, "steps"); i < n; i++ {
			h := rapid.IntRange(0, 1).Draw(rt, "holder")
			store.mode = rapid.SampledFrom([]string{"", "", "down", "lost"}).Draw(rt, "kv")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				rid := fmt.Sprintf("r%d", i)
				owner.Open(okRecord(rid, 0))
				open = append(open, rid)
			case 1:
				if len(open) > 0 {
					tokens := rapid.IntRange(1, 9).Draw(rt, "tokens")
					want[open[0]] = tokens
					owner.resetHolder() // so that Settle does not wait for a copy
					owner.Settle(ctx, okRecord(open[0], tokens))
					open = open[1:]
				}
			case 2:
				replicate(owner, holders[h], rapid.SampledFrom([]string{"", "request", "answer"}).Draw(rt, "lose"))
			case 3:
				_ = holders[h].Flush(ctx)
			case 4: // the holder considers the paused owner dead
				holders[h].TakeOver(func(string, int64) bool { return false })
			case 5: // the holder crashes and is replaced
				holders[h] = newLedger(store, holders[h].instance, holders[h].incarnation+1, always, fc)
			case 6:
				fc.Advance(selfWriteDelay)
				_ = owner.Flush(ctx)
			}
		}
		store.mode = ""
		for _, rid := range open { // end the requests that are still open
			want[rid] = 1
			owner.resetHolder()
			owner.Settle(ctx, okRecord(rid, 1))
		}
		for _, l := range []*Ledger{owner, holders[0], holders[1]} {
			if err := l.FlushAll(ctx); err != nil {
				rt.Fatal(err)
			}
		}
		got, _, err := Read(ctx, store)
		if err != nil || len(got) != len(want) {
			rt.Fatalf("billed %d requests, want %d (error: %v)", len(got), len(want), err)
		}
		for rid, tokens := range want {
			if got[rid].Tokens() != tokens {
				rt.Fatalf("request %s billed for %d tokens, want %d", rid, got[rid].Tokens(), tokens)
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

// TestDropSurvivesALostCopy covers invariant 4. It guards against billing a caller
// that was told "not run": a request is opened and copied, refused by every back
// end, the copy that drops it is lost, and the entry dies. If only changes were
// copied the holder would bill it; the full copy that follows a lost one drops it.
func TestDropSurvivesALostCopy(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := memkv.New(clockwork.NewFakeClock())
	owner := newLedger(store, "a", 1, never, clockwork.NewFakeClock())
	holder := newLedger(store, "b", 1, always, clockwork.NewFakeClock())
	owner.Open(okRecord("not-run", 0))
	replicate(owner, holder, "")
	owner.Drop("not-run")
	replicate(owner, holder, "request")
	replicate(owner, holder, "") // a full copy
	holder.TakeOver(func(string, int64) bool { return false })
	is.NoErr(holder.FlushAll(ctx))
	recs, _, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(len(recs), 0)
	is.Equal(holder.StoreCopies(&peerpb.ShadowRequest{Owner: "a", Life: 1}).Durable, nil)
}

// customerTotals returns the billed tokens per customer and the number of
// duplicates that Read dropped.
func customerTotals(ctx context.Context, c kv.KV) (map[string]int, int, error) {
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

// Guards against requests that are not billed because the KV lost their batch in a restore, or that are billed twice.
func TestBatchesAreWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	store := memkv.New(clockwork.NewFakeClock())
	l := newLedger(store, "i1", 1, func() bool { return true }, clockwork.NewFakeClock())
	settle := func(id string) {
		t.Helper()
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // there is no holder to wait for
		l.Settle(ctx, Record{RequestID: id})
		is.NoErr(l.Flush(t.Context()))
	}
	settle("r1")
	backup := store.Backup()
	settle("r2")
	store.Restore(backup)
	settle("r3")
	is.NoErr(l.WriteAgain(t.Context()))
	_, batches, err := store.Get(t.Context(), Prefix, true)
	is.NoErr(err)
	billed := map[string]int{}
	for _, b := range batches {
		var records []Record
		is.NoErr(json.Unmarshal(b.Value, &records))
		for _, r := range records {
			billed[r.RequestID]++
		}
	}
	is.Equal(billed, map[string]int{"r1": 1, "r2": 1, "r3": 1})
}
