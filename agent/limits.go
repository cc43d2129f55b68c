package agent

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// limitOwners asks other entries as owners of limits.
type limitOwners struct{ dial peers.Dial }

var _ ratelimit.Owners = limitOwners{}

// TakeLimit implements ratelimit.Owners.
func (o limitOwners) TakeLimit(ctx context.Context, owner fleet.Entry, ask ratelimit.Ask) (ratelimit.Verdict, error) {
	got, err := o.dial(owner.Address).TakeLimit(ctx, ask.Message())
	if err != nil {
		return ratelimit.Verdict{}, trace.Wrap(err, "owner %s at %s", owner.Instance, owner.Address)
	}
	return ratelimit.VerdictOf(got), nil
}

// TakeLimit answers another entry that takes this one for the owner of a limit.
func (s *peerServer) TakeLimit(_ context.Context, r *sharedpb.TakeLimitRequest) (*sharedpb.TakeLimitResponse, error) {
	return s.Limits.Grant(ratelimit.AskOf(r)).Message(), nil
}

// limitTopic gossips the rate limits that back ends report.
type limitTopic struct{ limits *ratelimit.Limits }

var _ peers.Topic = limitTopic{}

// Fill implements peers.Topic.
func (l limitTopic) Fill(d *peerpb.Digest, _ bool) { d.Limits = l.limits.Message() }

// Merge implements peers.Topic.
func (l limitTopic) Merge(_ context.Context, d peers.Received) (changed bool) {
	return l.limits.MergeMessage(d.Limits)
}
