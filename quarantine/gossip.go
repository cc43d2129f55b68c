package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// Exchange of suspects between entries.
const (
	// reportFor is how long after its latest crash a suspect is reported: several exchanges
	// of each entry, so that all receive it.
	reportFor = 4 * time.Second
	// contestPause is the least time between two signals for answers, but for those to a part that is refused.
	contestPause = 200 * time.Millisecond
	// urgentWeight is the weight from which a request is reported immediately: it had just
	// started to run at a crash, or was at two and not yet running at one of them.
	urgentWeight = 3
	// urgentCrashes is from how many crashes, when it was not yet running, what was answered before is passed on at once.
	urgentCrashes = 2
	// maxReported bounds the requests, the parts, those that were answered before, and the contested ones reported in
	// one exchange.
	maxReported = 32
)

// SuspectReport is a suspect as reported to other entries.
type SuspectReport struct {
	Fingerprint Fingerprint
	Part        bool
	Crashes     []CrashReport
	Answers     []AnswerReport
}

// CrashReport is a crash as reported to other entries.
type CrashReport struct {
	Endpoint fleet.EndpointID
	Stage    Stage
	Age      time.Duration
	// Request is that which contained a part, Variant what ran it; 0: an earlier build does not tell.
	Request Fingerprint
	Variant Variant
}

// AnswerReport says how long ago the latest answer of a variant to a request with a part began that got beyond a
// stage.
type AnswerReport struct {
	Variant Variant
	Stage   Stage
	Age     time.Duration
}

// Updates returns a channel that signals when other entries should be told immediately.
func (t *Table) Updates() <-chan struct{} { return t.updates }

func (t *Table) signalLocked() {
	select {
	case t.updates <- struct{}{}:
	default: // a signal is already pending
	}
}

// notifyLocked signals Updates if a suspect has become urgent. Many requests wait or run at
// an endpoint that crashes; these are left to the regular exchanges, and so are parts that
// endpoints have answered before, unless the endpoint crashed before it had begun to answer.
func (t *Table) notifyLocked(s *suspect, local bool) {
	e := t.evidenceLocked(s, nil)
	switch {
	case e.answered && e.started == 0 && e.unbegun < urgentCrashes && !local:
	case (s.part || e.answered) && t.worthReporting(e), !s.part && e.weight >= urgentWeight:
		t.signalLocked()
	}
}

// worthReporting reports whether the evidence against a part may be more than that of one that many
// requests contain.
func (t *Table) worthReporting(e evidence) bool {
	return e.weight > 0 && (!e.answered || e.unbegun > 0)
}

// Reports returns the suspects with a recent crash and those that are quarantined but not
// recorded, in descending order of weight, and parts whose answers other entries must know of.
func (t *Table) Reports() []SuspectReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	selected, answered := map[Fingerprint]ranked{}, map[Fingerprint]ranked{}
	for _, s := range t.suspects.since(now.Add(-reportFor)) {
		e := t.evidenceLocked(s, nil)
		switch {
		case now.Sub(s.latest) > reportFor || (s.part || e.answered) && !t.worthReporting(e):
		case e.answered && e.started == 0:
			answered[s.fingerprint] = newRanked(s, e.weight)
		default:
			selected[s.fingerprint] = newRanked(s, e.weight)
		}
	}
	for f := range t.quarantined {
		if s := t.suspects.all[f]; s != nil && !t.records.has(f) {
			selected[f] = newRanked(s, t.evidenceLocked(s, nil).weight)
			delete(answered, f)
		}
	}
	// Contested parts have places of their own: others refuse requests for them, but when many endpoints
	// crash at once they are many, and must not displace the cause. So do parts that were answered before.
	contested := map[Fingerprint]ranked{}
	for f, until := range t.contested {
		if s := t.suspects.all[f]; s != nil && now.Before(until) {
			contested[f] = newRanked(s, 0)
			delete(selected, f)
			delete(answered, f)
		}
	}
	var out []SuspectReport
	for _, chosen := range [][]ranked{heaviest(contested, true, maxReported), heaviest(contested, false, maxReported), heaviest(answered, true, maxReported),
		heaviest(answered, false, maxReported), heaviest(selected, true, maxReported), heaviest(selected, false, maxReported)} {
		for _, r := range chosen {
			out = append(out, t.reportLocked(r.suspect, now))
		}
	}
	return append(out, t.answerReportsLocked(now)...)
}

// ranked is a suspect with its rank among those to be reported: by weight, then at random, so that of
// many with the same weight all are reported in turn.
type ranked struct {
	suspect *suspect
	weight  int
	tie     uint32
}

func newRanked(s *suspect, weight int) ranked { return ranked{s, weight, rand.Uint32()} }

// heaviest returns the requests or parts of the highest rank.
func heaviest(selected map[Fingerprint]ranked, part bool, most int) []ranked {
	var out []ranked
	for _, r := range selected {
		if r.suspect.part == part {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.tie, b.tie)) })
	return out[:min(len(out), most)]
}

func (t *Table) reportLocked(s *suspect, now time.Time) SuspectReport {
	r := SuspectReport{Fingerprint: s.fingerprint, Part: s.part}
	for ep, c := range s.crashes {
		r.Crashes = append(r.Crashes, CrashReport{Endpoint: ep, Stage: c.stage, Age: now.Sub(c.at), Request: c.request, Variant: c.variant})
	}
	r.Answers = t.answersLocked(s.fingerprint, s.part, now)
	return r
}

func (t *Table) answersLocked(f Fingerprint, part bool, now time.Time) []AnswerReport {
	var out []AnswerReport
	for _, one := range t.clearancesOf(part).of(f) {
		for stage, at := range one.passed {
			if further := one.passed[min(stage+1, int(Running))]; !at.IsZero() && (Stage(stage) == Running || at.After(further)) {
				out = append(out, AnswerReport{Variant: one.variant, Stage: Stage(stage), Age: now.Sub(at) + one.tellingMargin()})
			}
		}
	}
	return out
}

// answerReportsLocked reports the answers to contested parts that are no suspects here: only their
// record is known.
func (t *Table) answerReportsLocked(now time.Time) []SuspectReport {
	var out []SuspectReport
	for f, until := range t.contested {
		if t.suspects.all[f] == nil && now.Before(until) && len(out) < maxReported {
			part := len(t.answered.of(f)) == 0
			out = append(out, SuspectReport{Fingerprint: f, Part: part, Answers: t.answersLocked(f, part, now)})
		}
	}
	return out
}

// Merge merges the suspects that another entry reported.
func (t *Table) Merge(from string, reports []SuspectReport) {
	if len(reports) == 0 {
		return
	}
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reevaluate := false
	for _, r := range reports {
		reevaluate = t.mergeAnswersLocked(r, now) || reevaluate
		for _, c := range r.Crashes {
			stage := min(max(c.Stage, Waiting), Running)
			merged := crash{stage: stage, at: now.Add(-max(0, c.Age)), request: c.Request, variant: c.Variant}
			reevaluate = t.addCrashLocked(r.Fingerprint, r.Part, c.Endpoint, merged, from) || reevaluate
		}
		t.answerBackLocked(r, now)
	}
	if reevaluate {
		t.reevaluateLocked()
	}
	t.decideLocked(now)
}

// mergeAnswersLocked merges the answers in a report, and passes them on at once if they clear
// evidence. It reports whether they may change the set of quarantined requests.
func (t *Table) mergeAnswersLocked(r SuspectReport, now time.Time) (reevaluate bool) {
	f := r.Fingerprint
	weight := func() int {
		if s := t.suspects.all[f]; s != nil {
			return t.evidenceLocked(s, nil).weight
		}
		return 0
	}
	before := weight()
	for _, a := range r.Answers {
		heard := passedAt(a.Variant, min(max(a.Stage, Waiting), Running), now.Add(-max(0, a.Age)))
		heard.local = false
		t.clearancesOf(r.Part).add(f, heard, now)
	}
	if weight() < before || len(r.Answers) > 0 && t.quarantined[f] != nil {
		if weight() < before {
			t.contestLocked(f, now)
		}
		return true
	}
	return false
}

// answerBackLocked makes the others learn of answers that they do not know of and that clear crashes
// that they reported.
func (t *Table) answerBackLocked(r SuspectReport, now time.Time) {
	for _, c := range r.Crashes {
		stage := min(max(c.Stage, Waiting), Running)
		at := t.answersByLocked(r.Fingerprint, r.Part, c.Variant).passed[stage]
		known := false
		for _, a := range r.Answers {
			known = known || a.Variant == c.Variant && a.Stage == stage && a.Age <= c.Age
		}
		if !known && at.After(now.Add(-max(0, c.Age))) && now.Add(reportFor/2).After(t.contested[r.Fingerprint]) {
			t.contestLocked(r.Fingerprint, now)
			return
		}
	}
}
