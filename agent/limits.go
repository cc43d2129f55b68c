package agent

import (
	"context"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// limitTopic gossips the rate limits that back ends report.
type limitTopic struct{ limits *ratelimit.Limits }

var _ peers.Topic = limitTopic{}

// Fill implements peers.Topic.
func (l limitTopic) Fill(d *peerpb.Digest, _ bool) { d.Limits = l.limits.Message() }

// Merge implements peers.Topic.
func (l limitTopic) Merge(_ context.Context, d peers.Received) (changed bool) {
	return l.limits.MergeMessage(d.Limits)
}
