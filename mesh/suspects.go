package mesh

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// suspects are the requests that were at endpoints which crashed, as told in an exchange.
func (m *Mesh) suspects() []*meshpb.Suspect {
	var out []*meshpb.Suspect
	for _, row := range m.Quarantine.Tell() {
		s := &meshpb.Suspect{Fingerprint: uint64(row.Fingerprint)}
		for _, c := range row.Crashes {
			s.Crashes = append(s.Crashes, &meshpb.Crash{Endpoint: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: uint32(c.Age.Milliseconds())})
		}
		out = append(out, s)
	}
	return out
}

func (m *Mesh) hearSuspects(told []*meshpb.Suspect) {
	rows := make([]quarantine.Row, 0, len(told))
	for _, s := range told {
		row := quarantine.Row{Fingerprint: quarantine.Fingerprint(s.Fingerprint)}
		for _, c := range s.Crashes {
			row.Crashes = append(row.Crashes, quarantine.Crash{Endpoint: fleet.EndpointID(c.Endpoint), Stage: quarantine.Stage(c.Stage), Age: time.Duration(c.AgeMs) * time.Millisecond})
		}
		rows = append(rows, row)
	}
	m.Quarantine.Hear(rows)
}
