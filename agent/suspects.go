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
func (s suspectTopic) Fill(d *peerpb.Digest, _ bool) { d.Suspects = s.table.Message() }

// Merge implements peers.Topic. It always returns false, as forwardNews starts the
// rounds for new suspects.
func (s suspectTopic) Merge(_ context.Context, d peers.Received) (news bool) {
	s.table.MergeMessage(d.Suspects)
	return false
}

// forwardNews starts a round of gossip whenever the table has news to share at once.
func (s suspectTopic) forwardNews(ctx context.Context, rumour func()) {
	for {
		select {
		case <-s.table.Updates():
			rumour()
		case <-ctx.Done():
			return
		}
	}
}
