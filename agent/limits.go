package agent

import (
	"context"
	"math"
	"time"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// limitUnit is in which parts of a request a second limits are told.
const limitUnit = 1000

// limits is the gossip of the limits that back ends name.
type limits struct{ known *ratelimit.Limits }

var _ peers.Topic = limits{}

// Fill implements peers.Topic.
func (l limits) Fill(d *peerpb.Digest, _ bool) {
	for _, t := range l.known.Tell() {
		d.Limits = append(d.Limits, &peerpb.Limit{Backend: t.Endpoint, Thousandths: uint32(math.Ceil(t.Limit * limitUnit)), AgeMs: uint32(t.Age.Milliseconds())})
	}
}

// Merge implements peers.Topic.
func (l limits) Merge(_ context.Context, d peers.Received) (news bool) {
	var told []ratelimit.Told
	for _, t := range d.Limits {
		told = append(told, ratelimit.Told{Endpoint: t.Backend, Limit: float64(t.Thousandths) / limitUnit, Age: time.Duration(t.AgeMs) * time.Millisecond})
	}
	return l.known.Learn(told)
}
