package ratelimit

import (
	"fmt"
	"testing"

	"github.com/lovageweir/lovageweir/fleet"
)

// BenchmarkWait measures the cost per candidate that announces a limit, by the number of entries.
func BenchmarkWait(b *testing.B) {
	for _, n := range []int{8, 72, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newGroup(n, 1).all[0]
			l.Observe(ep, 2)
			for b.Loop() {
				l.Wait(ep, 0)
			}
		})
	}
}

// BenchmarkWaitWithoutLimits measures the cost per candidate where no endpoint announces a limit.
func BenchmarkWaitWithoutLimits(b *testing.B) {
	l := newGroup(8, 1).all[0]
	for b.Loop() {
		l.Wait(fleet.Endpoint{ID: "e"}, 0)
	}
}
