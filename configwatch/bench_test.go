package configwatch

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
)

var benchSizes = []synth.Size{
	{Customers: 200, Models: 9, VersionsPerModel: 2, Backends: 360, Domains: 13},
	{Customers: 700, Models: 9, VersionsPerModel: 2, Backends: 1200, Domains: 13},
	synth.Target,
}

// BenchmarkOffer measures what one configuration change costs an entry: it
// decodes the stored envelope, validates it, compiles the table and makes it
// current. doc-bytes is the size of the stored value, which each entry receives
// per change.
func BenchmarkOffer(b *testing.B) {
	for _, s := range benchSizes {
		env := config.Envelope{ApplyID: "bench", AppliedAt: time.Unix(0, 0), Document: *synth.Document(s)}
		raw, err := env.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("backends=%d/customers=%d", s.Backends, s.Customers), func(b *testing.B) {
			b.ReportAllocs()
			w := New(nil, clockwork.NewFakeClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
			for i := 0; i < b.N; i++ {
				if !w.Offer(kv.Revision(i+1), raw) {
					b.Fatal("Offer rejected a newer valid configuration")
				}
			}
			b.ReportMetric(float64(len(raw)), "doc-bytes")
		})
	}
}
