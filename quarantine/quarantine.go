package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// Deps are the dependencies of a Table.
type Deps struct {
	// Store records quarantined requests; nil: they are not recorded.
	Store kv.Client
	// View returns the known contents of the store; nil: none.
	View func() *fleet.View
	// Owns reports whether this entry is the one that probes a quarantined part; nil: none is probed.
	Owns  func(Fingerprint) bool
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope // nil: no metrics
}

// Table holds what an entry knows about requests that were in flight at endpoints when these
// crashed. It is safe for concurrent use; its lock is never held across a call to the store.
type Table struct {
	Deps

	mu       sync.Mutex
	suspects suspects
	// answered are the whole requests, cleared the parts that endpoints answered.
	answered, cleared clearances
	// quarantined are the causes by each of their members, pending the parts with weak evidence by
	// when it came.
	quarantined map[Fingerprint]*cause
	pending     map[Fingerprint]time.Time
	// firstAnswer and lastAnswer are when this entry saw an endpoint answer, answering since when without
	// silence.
	firstAnswer, lastAnswer, answering time.Time
	crashed                            crashedEndpoints
	// undecided are broken answers that may become evidence, undecidedCount how many.
	undecided      []brokenAnswer
	undecidedCount atomic.Int64
	// decidedBy is the view that they were last judged by.
	decidedBy *fleet.View
	// contested are parts whose answers other entries are to be told of, with the time until which.
	contested map[Fingerprint]time.Time
	// contestSignal is when others were last signalled for such a part.
	contestSignal time.Time
	// records are the store's records that quarantined was last computed from; recordedAt is when
	// each became known.
	records    recordSet
	recordedAt map[Fingerprint]time.Time
	// updates signals that other entries should be told immediately; its capacity is 1.
	updates chan struct{}
	// holds are the sends that can still be stopped.
	holds map[*Hold]struct{}
	// lastWrite is when this entry last tried to write the record of a request.
	lastWrite map[Fingerprint]time.Time
	// lostSince is when this entry learned that the store lost a record, by key.
	lostSince map[string]time.Time
}

// New returns an empty table.
func New(d Deps) *Table {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Table{Deps: d, suspects: newSuspects(), quarantined: map[Fingerprint]*cause{}, pending: map[Fingerprint]time.Time{}, contested: map[Fingerprint]time.Time{}, crashed: crashedEndpoints{},
		recordedAt: map[Fingerprint]time.Time{}, lastWrite: map[Fingerprint]time.Time{}, holds: map[*Hold]struct{}{}, updates: make(chan struct{}, 1)}
}

// Verdict is the status of a request.
type Verdict struct {
	// Suspect: an endpoint crashed, or may have crashed, while the request, or one with a part of its prompt that
	// was not answered since, was in flight there.
	Suspect bool
	// Quarantined: the request crashes endpoints and must not be sent to any for the
	// time in RetryAfter.
	Quarantined bool
	RetryAfter  time.Duration
	// Restricted: the request crashes endpoints of some variants only (Blocks).
	Restricted bool
}

// Check returns the status of a request.
func (t *Table) Check(s Subject) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncRecordsLocked()
	var v Verdict
	for _, c := range t.matchLocked(s) {
		v.Suspect = true
		restricted := c.part && t.answeredByAnyLocked(c)
		v.Restricted = v.Restricted || restricted
		v.Quarantined = v.Quarantined || !restricted
		v.RetryAfter = max(v.RetryAfter, time.Second, retention-t.Clock.Since(c.since))
	}
	v.Suspect = v.Suspect || t.suspectedLocked(s) || t.undecidedLocked(s)
	return v
}

// Blocks reports whether a request must not be sent to endpoints of a variant.
func (t *Table) Blocks(s Subject, v Variant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.matchLocked(s) {
		if !c.part || !t.answeredByLocked(c, v) {
			return true
		}
	}
	return false
}

// Refuses reports whether a request must not reach endpoints of a variant.
func (t *Table) Refuses(s Subject, v Variant) bool {
	verdict := t.Check(s)
	return verdict.Quarantined || verdict.Restricted && t.Blocks(s, v)
}

// matchLocked returns the causes that a request contains.
func (t *Table) matchLocked(s Subject) []*cause {
	if len(t.quarantined) == 0 {
		return nil
	}
	var out []*cause
	match := func(f Fingerprint) {
		if c := t.quarantined[f]; c != nil && s.has(c.members) && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	match(s.Request)
	for _, part := range s.Parts {
		match(part)
	}
	return out
}

// answeredByLocked reports whether a variant answered all parts of a cause and did not crash since.
func (t *Table) answeredByLocked(c *cause, v Variant) bool {
	for _, f := range c.members {
		at, ok := t.cleared.at(f, v)
		if !ok || !at.After(t.recordedAt[f]) {
			return false
		}
		s := t.suspects.all[f]
		if s == nil {
			continue
		}
		for _, crash := range s.crashes {
			if crash.variant == v && crash.at.After(at) {
				return false
			}
		}
	}
	return true
}

func (t *Table) answeredByAnyLocked(c *cause) bool {
	return slices.ContainsFunc(t.cleared.of(c.members[0]), func(one clearance) bool { return t.answeredByLocked(c, one.variant) })
}

// suspectedLocked reports whether there is evidence against a request or a part of its prompt.
func (t *Table) suspectedLocked(s Subject) bool {
	if t.suspects.all[s.Request] != nil {
		return true
	}
	return slices.ContainsFunc(s.Parts, func(f Fingerprint) bool {
		suspect := t.suspects.all[f]
		return suspect != nil && t.evidenceLocked(suspect, nil).weight > 0
	})
}

// Crashed records that an endpoint of a variant crashed while a request was in flight there.
func (t *Table) Crashed(s Subject, ep fleet.EndpointID, v Variant, stage Stage) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.addCrashesLocked(brokenAnswer{subject: s, endpoint: fleet.Endpoint{ID: ep}, variant: v, stage: stage, at: now}) {
		t.reevaluateLocked()
	}
	t.decideLocked(now)
}

// addCrashesLocked adds a crash that this entry observed to a request and its parts, and reports whether that may
// change the set of quarantined requests.
func (t *Table) addCrashesLocked(b brokenAnswer) (reevaluate bool) {
	c := crash{stage: b.stage, at: b.at, local: true, request: b.subject.Request, variant: b.variant}
	reevaluate = t.addCrashLocked(b.subject.Request, false, b.endpoint.ID, c, "")
	for _, part := range b.subject.Parts {
		reevaluate = t.addCrashLocked(part, true, b.endpoint.ID, c, "") || reevaluate
	}
	return reevaluate
}

// addCrashLocked adds a crash, which another entry reported unless from is empty, to a suspect. It reports
// whether that may change the set of quarantined requests.
func (t *Table) addCrashLocked(f Fingerprint, part bool, ep fleet.EndpointID, c crash, from string) bool {
	s := t.suspects.getOrAdd(f, part)
	if s.part != part || !s.addCrash(ep, c) {
		return false
	}
	now := t.Clock.Now()
	s.from = from
	t.suspects.touch(s, now)
	if t.crashed.add(ep, c.at, now) {
		t.Log.Info("quarantine: learned that an endpoint crashed.", "endpoint", ep, "from", from, "age_ms", now.Sub(c.at).Milliseconds(), "fingerprint", f, "part", part)
	}
	t.notifyLocked(s, c.local)
	return t.quarantined[f] != nil || len(s.crashes) > 1 && t.evidenceLocked(s, nil).strength(part) != none
}

// Served records that a request was answered completely, by an answer that began at a time: then, neither it nor a
// part of its prompt crashed endpoints of the variant.
func (t *Table) Served(s Subject, v Variant, begun time.Time) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reevaluate := t.clearLocked(s.Parts, v, begun, now)
	if t.clearRequestLocked(s.Request, passedAt(v, Running, begun), now) || reevaluate {
		t.reevaluateLocked()
	}
}

// clearRequestLocked clears a whole request of crashes before an answer to it began, and reports whether that may
// change the set of quarantined requests. Others are told only of one that they may refuse.
func (t *Table) clearRequestLocked(f Fingerprint, by clearance, now time.Time) (reevaluate bool) {
	known := t.suspects.all[f]
	contested := t.quarantined[f] != nil || known != nil && t.evidenceLocked(known, nil).weight >= quarantineWeight
	t.answered.add(f, by, now)
	if known != nil && !known.latest.After(by.passed[Running]) {
		t.suspects.remove(known)
	}
	if contested {
		t.contestLocked(f, now)
	}
	return contested
}

// Answering records that a variant has answered a request for SoundAfter, since a time: then, no part of its prompt
// crashed endpoints of the variant.
func (t *Table) Answering(s Subject, v Variant, begun time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clearLocked(s.Parts, v, begun, t.Clock.Now()) {
		t.reevaluateLocked()
	}
}

// Passed records that an answer, which began at a time, got beyond a stage: then, neither the request nor a part
// of its prompt crashed endpoints of the variant in that stage.
func (t *Table) Passed(s Subject, v Variant, stage Stage, begun time.Time) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	by := passedAt(v, stage, begun)
	reevaluate := false
	if t.suspects.all[s.Request] != nil { // else there is nothing to clear
		reevaluate = t.clearRequestLocked(s.Request, by, now)
	}
	for _, f := range s.Parts {
		if suspect := t.suspects.all[f]; suspect != nil && (t.quarantined[f] != nil || t.evidenceLocked(suspect, nil).weight >= quarantineWeight) {
			reevaluate = t.clearPartLocked(f, by, now) || reevaluate
		} else if suspect != nil {
			t.cleared.add(f, by, now)
		}
	}
	if reevaluate {
		t.reevaluateLocked()
	}
}

// clearLocked clears parts that this entry saw answered of crashes before the answer began, and reports whether
// that may change the set of quarantined requests.
func (t *Table) clearLocked(parts []Fingerprint, v Variant, begun, now time.Time) (reevaluate bool) {
	t.noteAnswerLocked(now)
	for _, f := range parts {
		reevaluate = t.clearPartLocked(f, passedAt(v, Running, begun), now) || reevaluate
	}
	return reevaluate
}

// clearPartLocked does so for one part.
func (t *Table) clearPartLocked(f Fingerprint, by clearance, now time.Time) (reevaluate bool) {
	suspect := t.suspects.all[f]
	contested := suspect != nil && t.evidenceLocked(suspect, nil).weight > 0
	t.cleared.add(f, by, now)
	if !contested && t.quarantined[f] == nil {
		return false
	}
	t.contestLocked(f, now)
	return true
}

// clearancesOf returns the answers to parts or to whole requests.
func (t *Table) clearancesOf(part bool) *clearances {
	if part {
		return &t.cleared
	}
	return &t.answered
}

// answersByLocked returns how a variant last answered a part, or a request. Earlier builds do not tell which
// variant ran a request: 0.
func (t *Table) answersByLocked(f Fingerprint, part bool, v Variant) clearance {
	if !part && v == 0 {
		return t.answered.byAny(f)
	}
	by, _ := t.clearancesOf(part).by(f, v)
	return by
}

// contestLocked makes other entries learn of the answers to a part.
func (t *Table) contestLocked(f Fingerprint, now time.Time) {
	if _, known := t.contested[f]; !known && t.quarantined[f] != nil || now.Sub(t.contestSignal) >= contestPause {
		t.contestSignal = now
		t.signalLocked()
	}
	t.contested[f] = now.Add(reportFor)
}

// syncRecordsLocked reevaluates the requests when the store's records have changed.
func (t *Table) syncRecordsLocked() {
	if t.View == nil {
		return
	}
	v := t.View()
	if v != t.decidedBy {
		t.decidedBy = v
		t.findReplacedLocked(t.undecided)
		t.decideLocked(t.Clock.Now())
	}
	current := recordSet{v.Quarantine, v.QuarantinedParts}
	if current == t.records {
		return
	}
	t.records = current
	now := t.Clock.Now()
	for f := range t.recordedAt {
		if !current.has(f) {
			delete(t.recordedAt, f)
		}
	}
	for _, r := range current.all() {
		if _, known := t.recordedAt[r.fingerprint]; !known {
			t.recordedAt[r.fingerprint] = now
		}
	}
	t.reevaluateLocked()
}

// reevaluateLocked updates the set of quarantined requests from all that is known.
func (t *Table) reevaluateLocked() {
	now := t.Clock.Now()
	causes, pending := t.findCausesLocked(now)
	t.pending = pending
	before := t.quarantined
	t.quarantined = map[Fingerprint]*cause{}
	for _, c := range causes {
		t.adoptLocked(c, before, now)
	}
	for f := range before {
		if t.quarantined[f] == nil {
			t.Log.Info("quarantine: request is let through again.", "fingerprint", f, "part", before[f].part)
		}
	}
}

// adoptLocked quarantines a cause, which may be known already.
func (t *Table) adoptLocked(c *cause, before map[Fingerprint]*cause, now time.Time) {
	for _, f := range c.members {
		if known := before[f]; known != nil && known.key() == c.key() {
			t.quarantined[f] = known
			c = known
			continue
		}
		t.quarantined[f] = c
	}
	if !c.since.IsZero() {
		return
	}
	c.since, c.probe = now, probe{at: now.Add(firstProbe), interval: firstProbe}
	t.stopLocked(c)
	attrs := []any{"fingerprint", c.key(), "part", c.part, "recorded", t.records.has(c.members[0])}
	if s := t.suspects.all[c.members[0]]; s != nil {
		e := t.evidenceLocked(s, nil)
		attrs = append(attrs, "endpoints", s.endpoints(), "weight", e.weight, "requests", e.requests, "answered", e.answered,
			"first_ms", now.Sub(e.first).Milliseconds(), "latest_ms", now.Sub(s.latest).Milliseconds(), "from", s.from)
	}
	t.Log.Warn("quarantine: request crashes endpoints; no endpoint gets it.", attrs...)
}

// State is the table's part of the state dump.
type State struct {
	Suspects    int      `json:"suspects"`
	Recorded    int      `json:"recorded"`
	Quarantined []string `json:"quarantined,omitempty"`
	// Parts are the quarantined parts of prompts.
	Parts []string `json:"parts,omitempty"`
}

// State returns the current dump.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncRecordsLocked()
	s := State{Suspects: len(t.suspects.all) + t.undecidedRequestsLocked(), Recorded: t.records.len()}
	for f, c := range t.quarantined {
		if c.part {
			s.Parts = append(s.Parts, f.String())
		} else {
			s.Quarantined = append(s.Quarantined, f.String())
		}
	}
	return s
}
