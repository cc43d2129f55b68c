package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// Message is what Tell returns, as entries send it.
func (t *Table) Message() []*sharedpb.Suspect {
	var out []*sharedpb.Suspect
	for _, row := range t.Tell() {
		s := &sharedpb.Suspect{Fingerprint: uint64(row.Fingerprint)}
		for _, c := range row.Crashes {
			s.Crashes = append(s.Crashes, &sharedpb.Crash{Endpoint: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: uint32(c.Age.Milliseconds())})
		}
		out = append(out, s)
	}
	return out
}

// HearMessage takes what another entry sent.
func (t *Table) HearMessage(told []*sharedpb.Suspect) {
	rows := make([]Row, 0, len(told))
	for _, s := range told {
		row := Row{Fingerprint: Fingerprint(s.Fingerprint)}
		for _, c := range s.Crashes {
			row.Crashes = append(row.Crashes, Crash{Endpoint: fleet.EndpointID(c.Endpoint), Stage: Stage(c.Stage), Age: time.Duration(c.AgeMs) * time.Millisecond})
		}
		rows = append(rows, row)
	}
	t.Hear(rows)
}
