package agent

import (
	"context"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// suspectTopic gossips the requests during which back ends crashed.
type suspectTopic struct{ table *quarantine.Table }

var _ peers.Topic = suspectTopic{}

// Fill implements peers.Topic.
func (s suspectTopic) Fill(d *peerpb.Digest, _ bool) { d.Suspects, d.SuspectParts = s.table.Message() }

// Merge implements peers.Topic. It always returns false, as forwardUpdates
// propagates new suspects.
func (s suspectTopic) Merge(_ context.Context, d peers.Received) (changed bool) {
	s.table.MergeMessage("peer", d.Suspects, d.SuspectParts)
	return false
}

// forwardUpdates triggers a spread whenever the table has updates to share at once.
func (s suspectTopic) forwardUpdates(ctx context.Context, triggerSpread func()) {
	for {
		select {
		case <-s.table.Updates():
			triggerSpread()
		case <-ctx.Done():
			return
		}
	}
}
