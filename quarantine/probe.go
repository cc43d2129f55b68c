package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// A quarantined part is let through again in single requests, so that one that was found by mistake is
// cleared. Only one entry sends them.
const (
	// firstProbe is the time to the first such request, probeBackoff by how much the next comes later.
	firstProbe   = time.Minute
	probeBackoff = 4
)

// probe is when the next request with a quarantined part is let through.
type probe struct {
	at       time.Time
	interval time.Duration
}

// take reports whether a probe is due, and schedules the next one.
func (p *probe) take(now time.Time) bool {
	if now.Before(p.at) {
		return false
	}
	p.interval *= probeBackoff
	p.at = now.Add(p.interval)
	return true
}

// TakeProbe reports whether a quarantined request is to be sent once, without repeats, to learn whether
// its prompt still crashes endpoints.
func (t *Table) TakeProbe(s Subject) bool {
	if t.Owns == nil {
		return false
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	causes := t.matchLocked(s)
	if len(causes) != 1 || !causes[0].part || !t.Owns(causes[0].members[0]) || !causes[0].probe.take(now) {
		return false
	}
	t.Log.Info("quarantine: request with a quarantined part is let through as a probe.", "fingerprint", s.Request, "parts", causes[0].key())
	return true
}

// Owner returns the instance among entries that probes a part: all entries choose the same.
func Owner(f Fingerprint, entries []fleet.Entry) string {
	owner, highest := "", uint64(0)
	for _, e := range entries {
		if rank := hash(f.String(), e.Instance); rank >= highest {
			owner, highest = e.Instance, rank
		}
	}
	return owner
}
