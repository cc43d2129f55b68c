package agent

import (
	"context"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// suspects is the gossip of requests under which back ends crashed.
type suspects struct{ table *quarantine.Table }

var _ peers.Topic = suspects{}

// Fill implements peers.Topic.
func (s suspects) Fill(d *peerpb.Digest, _ bool) { d.Suspects = s.table.Message() }

// Merge implements peers.Topic. What is news is passed on by the table's own sign.
func (s suspects) Merge(_ context.Context, d peers.Received) (news bool) {
	s.table.HearMessage(d.Suspects)
	return false
}

// pass starts a round of gossip whenever others should hear at once.
func (s suspects) pass(ctx context.Context, rumour func()) {
	for {
		select {
		case <-s.table.News():
			rumour()
		case <-ctx.Done():
			return
		}
	}
}
