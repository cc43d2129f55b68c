package agent

import (
	"context"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// suspects is the gossip of requests under which back ends crashed.
type suspects struct{ table *quarantine.Table }

var _ peers.Topic = suspects{}

// Fill implements peers.Topic.
func (s suspects) Fill(d *peerpb.Digest, _ bool) {
	for _, row := range s.table.Tell() {
		out := &peerpb.Suspect{Fingerprint: uint64(row.Fingerprint)}
		for _, c := range row.Crashes {
			out.Crashes = append(out.Crashes, &peerpb.Crash{Backend: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: uint32(c.Age.Milliseconds())})
		}
		d.Suspects = append(d.Suspects, out)
	}
}

// Merge implements peers.Topic.
func (s suspects) Merge(_ context.Context, d peers.Received) (news bool) {
	var rows []quarantine.Row
	for _, told := range d.Suspects {
		row := quarantine.Row{Fingerprint: quarantine.Fingerprint(told.Fingerprint)}
		for _, c := range told.Crashes {
			row.Crashes = append(row.Crashes, quarantine.Crash{Endpoint: fleet.EndpointID(c.Backend), Stage: quarantine.Stage(c.Stage), Age: time.Duration(c.AgeMs) * time.Millisecond})
		}
		rows = append(rows, row)
	}
	s.table.Hear(rows)
	return false // what is news is passed on by the table's own sign
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
