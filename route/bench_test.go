package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovageweir/lovageweir/internal/synth"
)

// benchSizes scale back ends and customers together to show the cost per back
// end and per customer; the last is the target size.
var benchSizes = []synth.Size{
	{Customers: 200, Models: 9, VersionsPerModel: 2, Backends: 360, Domains: 13},
	{Customers: 700, Models: 9, VersionsPerModel: 2, Backends: 1200, Domains: 13},
	synth.Target,
}

func sizeName(s synth.Size) string {
	return fmt.Sprintf("backends=%d/customers=%d", s.Backends, s.Customers)
}

// BenchmarkNewTable measures the CPU time of compiling one configuration
// revision, and (table-heap-B) the heap that the compiled table retains.
func BenchmarkNewTable(b *testing.B) {
	for _, s := range benchSizes {
		doc := synth.Document(s)
		b.Run(sizeName(s), func(b *testing.B) {
			b.ReportAllocs()
			var ms0, ms1 runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&ms0)
			keep := NewTable(1, doc)
			runtime.GC()
			runtime.ReadMemStats(&ms1)
			runtime.KeepAlive(keep)
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				_ = NewTable(1, doc)
			}
			// After the loop: ResetTimer deletes metrics reported before it.
			b.ReportMetric(float64(ms1.HeapAlloc-ms0.HeapAlloc), "table-heap-B")
		})
	}
}

type zeroLoads struct{}

func (zeroLoads) State(*BackendInfo) (int, bool) { return 0, true }

// BenchmarkDecide measures the routing decision of one request.
func BenchmarkDecide(b *testing.B) {
	for _, s := range benchSizes {
		t := NewTable(1, synth.Document(s))
		b.Run(sizeName(s), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				c := i % s.Customers
				r := Request{APIKey: synth.APIKey(c), Model: synth.ModelName(c % s.Models), Session: "s", AffinityKey: "prefix"}
				if _, ref := t.Decide(r, View{Domain: "fd-00", Endpoints: zeroLoads{}}); ref != nil {
					b.Fatal(ref)
				}
			}
		})
	}
}
