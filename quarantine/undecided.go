package quarantine

import (
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// undecidedFor is how long a broken answer may become evidence: an endpoint that crashed is registered again
	// after some seconds.
	undecidedFor = 15 * time.Second
	// maxUndecided bounds the broken answers kept; the oldest are dropped first.
	maxUndecided = 1024
	// sameCrash is how far apart two entries may observe one crash.
	sameCrash = time.Second
)

// brokenAnswer is an answer that broke off at an endpoint of which nobody could tell whether it had crashed: this
// entry has no link to the endpoints, or no endpoint accepts connections.
type brokenAnswer struct {
	subject  Subject
	endpoint fleet.Endpoint
	variant  Variant
	stage    Stage
	at       time.Time
	// replaced: another incarnation has the endpoint's address.
	replaced bool
}

// BrokeOff records that an answer broke off at an endpoint that may have crashed. It becomes evidence once
// another entry saw that crash, or another incarnation has the endpoint's address.
func (t *Table) BrokeOff(s Subject, ep fleet.Endpoint, v Variant, stage Stage) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.undecided) >= maxUndecided {
		t.undecided = slices.Delete(t.undecided, 0, 1)
	}
	t.undecided = append(t.undecided, brokenAnswer{subject: s, endpoint: ep, variant: v, stage: stage, at: now})
	t.undecidedCount.Store(int64(len(t.undecided)))
	t.findReplacedLocked(t.undecided[len(t.undecided)-1:])
	t.decideLocked(now)
}

// Answers records that an endpoint answers: it had not crashed when answers broke off before.
func (t *Table) Answers(ep fleet.EndpointID) {
	if t.undecidedCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.undecided = slices.DeleteFunc(t.undecided, func(b brokenAnswer) bool { return b.endpoint.ID == ep })
	t.undecidedCount.Store(int64(len(t.undecided)))
}

// decideLocked makes evidence of the broken answers whose endpoints are known to have crashed by now, and
// drops those that are too old.
func (t *Table) decideLocked(now time.Time) {
	if len(t.undecided) == 0 {
		return
	}
	var crashes []brokenAnswer
	t.undecided = slices.DeleteFunc(t.undecided, func(b brokenAnswer) bool {
		crashed := t.crashedLocked(b)
		if crashed {
			crashes = append(crashes, b)
		}
		return crashed || now.Sub(b.at) > undecidedFor
	})
	t.undecidedCount.Store(int64(len(t.undecided)))
	for _, b := range crashes {
		t.Log.Info("quarantine: endpoint of a broken answer had crashed.", "fingerprint", b.subject.Request, "parts", b.subject.PartsString(), "endpoint", b.endpoint.ID, "stage", b.stage.String(), "age_ms", now.Sub(b.at).Milliseconds())
	}
	reevaluate := false
	for _, b := range crashes {
		reevaluate = t.addCrashesLocked(b) || reevaluate
	}
	if reevaluate {
		t.reevaluateLocked()
	}
}

// crashedLocked reports whether the endpoint of a broken answer had crashed.
func (t *Table) crashedLocked(b brokenAnswer) bool {
	at, ok := t.crashed[b.endpoint.ID]
	return b.replaced || ok && b.at.Sub(at).Abs() <= sameCrash
}

// undecidedLocked reports whether answers to a request, or to others with a part of its prompt, broke off at
// endpoints that may have crashed.
func (t *Table) undecidedLocked(s Subject) bool {
	return slices.ContainsFunc(t.undecided, func(b brokenAnswer) bool {
		return b.subject.Request == s.Request || slices.ContainsFunc(b.subject.Parts, s.hasPart)
	})
}

// undecidedRequestsLocked returns how many different requests with such answers are no suspects yet.
func (t *Table) undecidedRequestsLocked() int {
	requests := map[Fingerprint]bool{}
	for _, b := range t.undecided {
		if t.suspects.all[b.subject.Request] == nil {
			requests[b.subject.Request] = true
		}
	}
	return len(requests)
}

// findReplacedLocked marks the broken answers whose endpoints' addresses other incarnations have by now.
func (t *Table) findReplacedLocked(answers []brokenAnswer) {
	if t.View == nil || len(answers) == 0 {
		return
	}
	at := map[string][]*brokenAnswer{}
	for i := range answers {
		b := &answers[i]
		at[b.endpoint.Address] = append(at[b.endpoint.Address], b)
	}
	for _, g := range t.View().Groups() {
		for _, ep := range g.Ready {
			for _, b := range at[ep.Address] {
				b.replaced = b.replaced || ep.ID != b.endpoint.ID
			}
		}
	}
}
