package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Exchange of suspects between entries.
const (
	// reportFor is how long after its latest crash a request is reported: several exchanges
	// of each entry, so that all receive it.
	reportFor = 4 * time.Second
	// urgentWeight is the weight from which a request is reported immediately: it had just
	// started to run at a crash, or was at two and not yet running at one of them.
	urgentWeight = 3
	// maxReported bounds the requests reported in one exchange.
	maxReported = 32
)

// SuspectReport is a suspect as reported to other entries.
type SuspectReport struct {
	Fingerprint Fingerprint
	Crashes     []CrashReport
}

// CrashReport is a crash as reported to other entries.
type CrashReport struct {
	Endpoint fleet.EndpointID
	Stage    Stage
	Age      time.Duration
}

// Updates returns a channel that signals when other entries should be told immediately.
func (t *Table) Updates() <-chan struct{} { return t.updates }

// notifyLocked signals Updates if a suspect has reached urgentWeight. Many requests wait or run at
// an endpoint that crashes; these are left to the regular exchanges.
func (t *Table) notifyLocked(s *suspect) {
	if s.weight(nil) < urgentWeight {
		return
	}
	select {
	case t.updates <- struct{}{}:
	default: // a signal is already pending
	}
}

// Reports returns the suspects with a recent crash and those that are quarantined but not
// recorded, in descending order of weight.
func (t *Table) Reports() []SuspectReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	recent := suspects{}
	for f, s := range t.suspects {
		_, quarantined := t.quarantined[f]
		if now.Sub(s.latest) <= reportFor || quarantined && !t.records.Has(uint64(f)) {
			recent[f] = s
		}
	}
	var out []SuspectReport
	for _, f := range recent.byWeight() {
		if len(out) == maxReported {
			break
		}
		r := SuspectReport{Fingerprint: f}
		for ep, c := range recent[f].crashes {
			r.Crashes = append(r.Crashes, CrashReport{Endpoint: ep, Stage: c.stage, Age: now.Sub(c.at)})
		}
		out = append(out, r)
	}
	return out
}

// Merge merges the suspects that another entry reported.
func (t *Table) Merge(reports []SuspectReport) {
	if len(reports) == 0 {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reevaluate := false
	for _, r := range reports {
		if t.served.has(r.Fingerprint) {
			continue
		}
		for _, c := range r.Crashes {
			stage := min(max(c.Stage, Waiting), Running)
			reevaluate = t.addCrashLocked(r.Fingerprint, c.Endpoint, crash{stage: stage, at: now.Add(-max(0, c.Age))}) || reevaluate
		}
	}
	if reevaluate {
		t.reevaluateLocked()
	}
}
