package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/synth"
)

// BenchmarkEnvelopeBytes varies one dimension at a time to show the stored size
// per back end and per customer separately (doc-bytes).
func BenchmarkEnvelopeBytes(b *testing.B) {
	base := synth.Size{Customers: 10, Models: 9, VersionsPerModel: 2, Backends: 10, Domains: 13}
	cases := []struct {
		name string
		size func(n int) synth.Size
	}{
		{"backends", func(n int) synth.Size { s := base; s.Backends = n; return s }},
		{"customers", func(n int) synth.Size { s := base; s.Customers = n; return s }},
	}
	for _, c := range cases {
		for _, n := range []int{100, 1000, 4000} {
			env := config.Envelope{ApplyID: "bench", AppliedAt: time.Unix(0, 0), Document: *synth.Document(c.size(n))}
			b.Run(fmt.Sprintf("%s=%d", c.name, n), func(b *testing.B) {
				var raw []byte
				for i := 0; i < b.N; i++ {
					raw, _ = env.Marshal()
				}
				b.ReportMetric(float64(len(raw)), "doc-bytes")
			})
		}
	}
}
