package ledger

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv/memkv"
)

// BenchmarkFlushPerRecord measures CPU time and stored bytes per billed request
// for several numbers of records per flush (one KV write each).
func BenchmarkFlushPerRecord(b *testing.B) {
	for _, batch := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			store := memkv.New(clockwork.NewFakeClock())
			l := newLedger(store, "entry-a", 1, always, clockwork.NewFakeClock())
			ctx := context.Background()
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				r := Record{RequestID: fmt.Sprintf("entry-a-%d", i), Customer: "customer-00042", Uses: []Use{{Model: "model-03", Version: "v2", Tokens: 260}}, Outcome: OutcomeOK}
				l.Open(r)
				l.Settle(ctx, r)
				if (i+1)%batch == 0 {
					if err := l.Flush(ctx); err != nil {
						b.Fatal(err)
					}
				}
			}
			st := store.Stats()
			if st.Keys > 0 {
				b.ReportMetric(float64(st.Bytes)/float64(st.Keys*batch), "B/record")
			}
		})
	}
}
