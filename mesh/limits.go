package mesh

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// limitUnit is in which parts of a request a second limits are told.
const limitUnit = 1000

// thousandths is a limit as it is told: no limit is told as none.
func thousandths(limit float64) uint32 {
	return uint32(min(math.MaxUint32, math.Ceil(limit*limitUnit)))
}

// limits are those that endpoints name, as told in an exchange.
func (m *Mesh) limits() []*meshpb.Limit {
	var out []*meshpb.Limit
	for _, t := range m.Limits.Tell() {
		out = append(out, &meshpb.Limit{Endpoint: t.Endpoint, Thousandths: thousandths(t.Limit), AgeMs: uint32(t.Age.Milliseconds())})
	}
	return out
}

func (m *Mesh) learnLimits(told []*meshpb.Limit) {
	limits := make([]ratelimit.Told, 0, len(told))
	for _, t := range told {
		limits = append(limits, ratelimit.Told{Endpoint: t.Endpoint, Limit: float64(t.Thousandths) / limitUnit, Age: time.Duration(t.AgeMs) * time.Millisecond})
	}
	m.Limits.Learn(limits)
}
