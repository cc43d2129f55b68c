package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/kv/etcdv3"
	"github.com/lovageweir/lovageweir/standin/kvserver"
)

// TestLostAckBillsOnce: symptom: a customer billed twice for one request.
// Sequence: the entry flushes a batch; the KV applies it and the answer is
// lost; the entry flushes again. Cause, if the retry made a new batch: the
// same records would land under two keys. Here the retry rewrites the same
// key create-only, so the KV holds the records once.
func TestLostAckBillsOnce(t *testing.T) {
	is := is.New(t)
	srv := kvserver.New(clockwork.NewFakeClock())
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	c := etcdv3.New(hs.URL, nil)
	l := New(c, "entry-a", time.Unix(1, 0), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx := context.Background()
	for i := 0; i < 10; i++ {
		l.Add(Record{RequestID: fmt.Sprintf("r%d", i), Customer: "c", Tokens: 5, Outcome: "ok"})
	}
	srv.SetFaults(kvserver.Faults{DropAcks: true})
	is.True(l.Flush(ctx) != nil) // outcome unknown: the write took effect, the answer was lost
	is.True(l.Flush(ctx) != nil) // again
	srv.SetFaults(kvserver.Faults{})
	l.Add(Record{RequestID: "r10", Customer: "c", Tokens: 5, Outcome: "ok"})
	is.NoErr(l.Flush(ctx)) // the pending batch is confirmed
	is.NoErr(l.Flush(ctx)) // then the new record
	totals, dups, err := Totals(ctx, c)
	is.NoErr(err)
	is.Equal(dups, 0)
	is.Equal(totals["c"], 55) // 11 requests x 5 tokens, each once
	is.Equal(l.Buffered(), 0)
}

// TestKVDownKeepsRecords: symptom: requests served during a KV outage are
// never billed. Sequence: the KV is down for several flushes, then returns.
// Cause, if a failed flush dropped its batch: those records are gone. Here
// the batch stays pending until a flush is confirmed.
func TestKVDownKeepsRecords(t *testing.T) {
	is := is.New(t)
	srv := kvserver.New(clockwork.NewFakeClock())
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	c := etcdv3.New(hs.URL, nil)
	l := New(c, "entry-a", time.Unix(1, 0), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx := context.Background()
	srv.SetFaults(kvserver.Faults{Down: true})
	for i := 0; i < 3; i++ {
		l.Add(Record{RequestID: fmt.Sprintf("r%d", i), Customer: "c", Tokens: 1})
		is.True(l.Flush(ctx) != nil)
	}
	srv.SetFaults(kvserver.Faults{})
	for l.Buffered() > 0 {
		is.NoErr(l.Flush(ctx))
	}
	totals, _, err := Totals(ctx, c)
	is.NoErr(err)
	is.Equal(totals["c"], 3)
}
