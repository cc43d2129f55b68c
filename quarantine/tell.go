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
	// newsWeight against a request is told at once: it had just begun to run at a crash, or
	// was at two.
	newsWeight = 3
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

// News tells when others should hear at once of what is known.
func (t *Table) News() <-chan struct{} { return t.news }

// newsLocked signs that there is much against a request. Many requests wait at an endpoint
// that crashes, or are under way there, and of these the regular exchanges tell.
func (t *Table) newsLocked(s *suspect) {
	if s.weight(nil) < newsWeight {
		return
	}
	select {
	case t.news <- struct{}{}:
	default: // others are about to be told
	}
}

// Tell returns the suspects of late, and those that are guilty and not recorded, those
// with the most against them first.
func (t *Table) Tell() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	fresh := suspects{}
	for f, s := range t.suspects {
		_, guilty := t.guilty[f]
		if now.Sub(s.latest) <= tellFor || guilty && !t.records.Has(uint64(f)) {
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
	judge := false
	for _, r := range rows {
		if t.served.has(r.Fingerprint) {
			continue
		}
		for _, c := range r.Crashes {
			stage := min(max(c.Stage, Waiting), Running)
			judge = t.noteLocked(r.Fingerprint, c.Endpoint, crash{stage: stage, at: now.Add(-max(0, c.Age))}) || judge
		}
	}
	if judge {
		t.judgeLocked()
	}
}
