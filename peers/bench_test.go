package peers

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

func protoSize(m proto.Message) int { return proto.Size(m) }

// BenchmarkGossipSecond measures one second of gossip in a whole fleet: CPU
// time, messages and bytes per entry, at several fleet sizes with 13 failure
// domains, as at the target size.
func BenchmarkGossipSecond(b *testing.B) {
	for _, per := range []int{2, 8, 25} {
		b.Run(fmt.Sprintf("entries=%d", 13*per), func(b *testing.B) {
			net := newNetwork(13, per)
			net.run(30)
			net.calls, net.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				net.tick()
			}
			entries := float64(b.N * len(net.nodes))
			b.ReportMetric(float64(b.Elapsed().Microseconds())/entries, "us/entry/s")
			b.ReportMetric(float64(net.calls)/entries, "exchanges/entry/s")
			// The bytes of each exchange count at both sides.
			b.ReportMetric(2*float64(net.bytes)/entries, "B/entry/s")
		})
	}
}

// BenchmarkSpread measures how many seconds a change takes to reach every
// entry.
func BenchmarkSpread(b *testing.B) {
	for _, per := range []int{2, 8, 25} {
		b.Run(fmt.Sprintf("entries=%d", 13*per), func(b *testing.B) {
			net := newNetwork(13, per)
			net.run(30)
			seconds, worst := 0, 0
			for i := range b.N {
				rev := int64(i + 1)
				net.nodes["e-0-0"].rev = rev
				net.nodes["e-0-0"].TriggerSpread()
				n := 0
				for net.behind(rev) > 0 {
					net.tick()
					n++
				}
				seconds, worst = seconds+n, max(worst, n)
			}
			b.ReportMetric(float64(seconds)/float64(b.N), "s/change")
			b.ReportMetric(float64(worst), "worst-s")
		})
	}
}

// BenchmarkHolds measures one IsResponsible call, which is made once per second for
// each back end to divide load polling among the entries.
func BenchmarkHolds(b *testing.B) {
	net := newNetwork(13, 25)
	net.run(30)
	t := net.nodes["e-0-0"].table
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		t.IsResponsible(fmt.Sprintf("engine-%05d", i%277), 1)
	}
}

var _ peerpb.Peer = link{}
