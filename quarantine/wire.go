package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// Message returns the result of Reports as a message to other entries.
func (t *Table) Message() []*sharedpb.Suspect {
	var out []*sharedpb.Suspect
	for _, r := range t.Reports() {
		s := &sharedpb.Suspect{Fingerprint: uint64(r.Fingerprint)}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, &sharedpb.Crash{Endpoint: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: uint32(c.Age.Milliseconds())})
		}
		out = append(out, s)
	}
	return out
}

// MergeMessage merges the suspects in another entry's message.
func (t *Table) MergeMessage(message []*sharedpb.Suspect) {
	reports := make([]SuspectReport, 0, len(message))
	for _, s := range message {
		r := SuspectReport{Fingerprint: Fingerprint(s.Fingerprint)}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, CrashReport{Endpoint: fleet.EndpointID(c.Endpoint), Stage: Stage(c.Stage), Age: time.Duration(c.AgeMs) * time.Millisecond})
		}
		reports = append(reports, r)
	}
	t.Merge(reports)
}
