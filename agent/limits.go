package agent

import (
	"context"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// limits is the gossip of the limits that back ends name.
type limits struct{ known *ratelimit.Limits }

var _ peers.Topic = limits{}

// Fill implements peers.Topic.
func (l limits) Fill(d *peerpb.Digest, _ bool) { d.Limits = l.known.Message() }

// Merge implements peers.Topic.
func (l limits) Merge(_ context.Context, d peers.Received) (news bool) {
	return l.known.LearnMessage(d.Limits)
}
