package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// What entries tell each other.
const (
	// tellFor is how long after its last crash a request is told of: several exchanges
	// of each entry, so that all have heard of it.
	tellFor = 4 * time.Second
	// mostTold bounds the requests told in one exchange.
	mostTold = 32
)

// Row is a request that was at crashes, as entries tell of it.
type Row struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Crash is an endpoint's crash, as entries tell of it.
type Crash struct {
	Endpoint fleet.EndpointID
	Stage    Stage
	Age      time.Duration
}

// Tell returns the suspects of late, those with the most against them first.
func (t *Table) Tell() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	fresh := suspects{}
	for f, s := range t.suspects {
		if now.Sub(s.latest) <= tellFor {
			fresh[f] = s
		}
	}
	var out []Row
	for _, f := range fresh.byWeight() {
		if len(out) == mostTold {
			break
		}
		r := Row{Fingerprint: f}
		for ep, c := range fresh[f].crashes {
			r.Crashes = append(r.Crashes, Crash{Endpoint: ep, Stage: c.stage, Age: now.Sub(c.at)})
		}
		out = append(out, r)
	}
	return out
}

// Hear takes what another entry told.
func (t *Table) Hear(rows []Row) {
	if len(rows) == 0 {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, r := range rows {
		if t.served.has(r.Fingerprint) {
			continue
		}
		s := t.suspects.of(r.Fingerprint)
		for _, c := range r.Crashes {
			stage := min(max(c.Stage, Waiting), Running)
			news = s.note(c.Endpoint, crash{stage: stage, at: now.Add(-max(0, c.Age))}) || news
		}
	}
	if news {
		t.judgeLocked()
	}
}
