package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// minRequests is how many different requests with a part must have been at crashes: those of a
	// single one are evidence against that request.
	minRequests = 2
	// requestLead is by how much more weight a part outranks a request that contains it: it must have
	// been at two crashes more. A request that crashes endpoints is always there with its parts.
	requestLead = 4
	// strongLead puts parts with strong evidence before all others: many requests contain some parts, which
	// are at more crashes than the cause.
	strongLead = 1000
	// A part that was answered before may be at some crashes by chance, as many requests contain it; so may a
	// request that many callers make. It must have been just starting at answeredStarted of them, or not yet running at answeredUnbegun
	// and at answeredShare of all crashes since.
	answeredStarted = 3
	answeredUnbegun = 4
	answeredShare   = 0.8
	answeredSpan    = 100 * time.Millisecond // from the first of these crashes to the last
	// A part that no endpoint ever answered, of manyRequests different requests at manyCrashes crashes, is there for
	// no other reason, however far these had come.
	manyRequests = 3
	manyCrashes  = 5
	// settleDelay is how long weak evidence must last before it counts, while endpoints answer: an
	// answer clears the part, and entries that know of one tell the others.
	settleDelay = 300 * time.Millisecond
	// learnFor is how long an entry must have seen answers to know most sound parts.
	learnFor = time.Second
	// silence is how long without an answer to this entry the endpoints count as not answering,
	// maxSettleDelay how long evidence must last then: an entry with few requests has few answers.
	silence        = 500 * time.Millisecond
	maxSettleDelay = 5 * time.Second
)

// strength is how sure it is that a suspect crashes endpoints.
type strength int

const (
	none   strength = iota
	weak            // other explanations are not unlikely
	strong          // endpoints crashed as they began to answer
)

// evidence is what the crashes of a suspect amount to.
type evidence struct {
	weight   int
	crashes  int
	started  int // crashes when it was just starting
	requests int // different requests
	// answered: endpoints of the same variant answered the part, or the request, before the crashes.
	answered bool
	first    time.Time // of the crashes
	latest   time.Time // of the crashes
	unbegun  int       // crashes when it was not yet running
	all      int       // all crashes since the first one, of whatever cause; only if answered
	learned  bool      // this entry has seen answers for long enough to know most sound parts
}

func (e evidence) strength(part bool) strength {
	switch {
	case e.weight < quarantineWeight, part && e.requests < minRequests, e.answered && !e.outweighsAnswers():
		return none
	case e.answered || !e.learned:
		return weak
	case e.started >= 2, e.requests >= manyRequests && e.crashes >= manyCrashes:
		return strong
	}
	return weak
}

// outweighsAnswers reports whether what was answered before may crash endpoints now. Endpoints that end at
// the same time do so for another reason.
func (e evidence) outweighsAnswers() bool {
	return e.latest.Sub(e.first) >= answeredSpan && (e.started >= answeredStarted || e.unbegun >= answeredUnbegun && float64(e.unbegun) >= answeredShare*float64(e.all))
}

// judgesLocked reports whether this entry has enough evidence of its own on a recorded part: with what is
// known since, it may be found to have been beside the cause.
func (t *Table) judgesLocked(f Fingerprint) bool {
	s := t.suspects.all[f]
	return s != nil && t.evidenceLocked(s, nil).strength(true) != none
}

// explanations are the causes of crashes found so far, by endpoint: parts, or requests.
type explanations map[fleet.EndpointID]explanation

type explanation struct {
	part     bool
	requests []Fingerprint
}

func (x explanations) add(ep fleet.EndpointID, part bool, members ...Fingerprint) {
	one := x[ep]
	one.part = one.part || part
	if !part {
		one.requests = append(one.requests, members...)
	}
	x[ep] = one
}

// covers reports whether a crash is explained for a suspect. That a request crashes endpoints does not speak for
// its own parts: one of them may be why.
func (x explanations) covers(s *suspect, ep fleet.EndpointID, c crash) bool {
	one, ok := x[ep]
	switch {
	case !ok:
		return false
	case !s.part || one.part:
		return true
	}
	return !slices.ContainsFunc(one.requests, s.isPartOf)
}

// beside reports whether the request that a crash of a part is known by was only beside a request that explains
// the crash.
func (x explanations) beside(ep fleet.EndpointID, c crash) bool {
	one, ok := x[ep]
	return ok && !slices.Contains(one.requests, c.request)
}

// evidenceLocked returns the evidence against a suspect from crashes that are neither explained nor
// older than an answer that got further, nor came as a part that was answered before was being answered.
func (t *Table) evidenceLocked(s *suspect, explained explanations) evidence {
	var e evidence
	var requests []Fingerprint
	for ep, c := range s.crashes {
		if explained.covers(s, ep, c) {
			continue
		}
		by := t.answersByLocked(s.fingerprint, s.part, c.variant)
		answered := !by.passed[Running].IsZero()
		if answered && (c.stage == Running || !c.at.After(by.passed[c.stage])) {
			continue
		}
		e.answered = e.answered || answered
		if e.weight == 0 || c.at.Before(e.first) {
			e.first = c.at
		}
		if c.at.After(e.latest) {
			e.latest = c.at
		}
		e.weight += s.weightOf(c.stage)
		e.crashes++
		if c.stage == Started {
			e.started++
		}
		if c.stage != Running {
			e.unbegun++
		}
		if !slices.Contains(requests, c.request) && !explained.beside(ep, c) {
			requests = append(requests, c.request)
		}
	}
	e.requests = len(requests)
	e.learned = !t.firstAnswer.IsZero() && t.Clock.Since(t.firstAnswer) >= learnFor
	if e.answered {
		e.all = t.crashed.since(e.first)
	}
	return e
}

// cause is a presumed cause of crashes.
type cause struct {
	// members are fingerprints that a request must contain all of; more than one if the evidence
	// against some parts is the same.
	members []Fingerprint
	part    bool
	since   time.Time
	probe   probe
}

func (c *cause) key() string { return joined(c.members) }

// findCausesLocked returns the presumed causes of the crashes, and the parts against which the
// evidence is weak and has not settled. Of what is not recorded, the suspect with the highest rank
// comes first, as a cause is at all the crashes that it causes while others are there by chance;
// crashes that it explains do not count against the rest.
func (t *Table) findCausesLocked(now time.Time) (causes []*cause, pending map[Fingerprint]time.Time) {
	explained := explanations{}
	known := map[Fingerprint]bool{}
	add := func(part bool, members ...Fingerprint) {
		causes = append(causes, &cause{members: members, part: part})
		for _, f := range members {
			known[f] = true
			if s := t.suspects.all[f]; s != nil {
				for ep := range s.crashes {
					explained.add(ep, part, members...)
				}
			}
		}
	}
	for _, r := range t.recordedLocked() {
		if r.part && t.judgesLocked(r.fingerprint) {
			continue
		}
		add(r.part, r.fingerprint)
		for _, ep := range r.endpoints {
			explained.add(ep, r.part, r.fingerprint)
		}
	}
	candidates, pending := t.candidatesLocked(known, now)
	for {
		found := t.heaviestLocked(candidates, explained)
		if len(found) == 0 {
			return causes, pending
		}
		for _, group := range t.firstGroupsLocked(groupByCrashes(found, explained), explained) {
			members := make([]Fingerprint, len(group))
			for i, s := range group {
				members[i] = s.fingerprint
				delete(candidates, s)
			}
			add(group[0].part, members...)
		}
	}
}

// candidatesLocked returns the suspects with enough evidence if none of their crashes is explained,
// and apart from them the parts against which it is weak and has not lasted for settleDelay.
func (t *Table) candidatesLocked(known map[Fingerprint]bool, now time.Time) (candidates map[*suspect]struct{}, pending map[Fingerprint]time.Time) {
	candidates, pending = map[*suspect]struct{}{}, map[Fingerprint]time.Time{}
	for f, s := range t.suspects.all {
		if len(s.crashes) < 2 || known[f] {
			continue
		}
		e := t.evidenceLocked(s, nil)
		strength := e.strength(s.part)
		if strength == none {
			continue
		}
		if (s.part || e.answered) && strength == weak && t.quarantined[f] == nil && !t.records.has(f) {
			since, ok := t.pending[f]
			if !ok {
				since = now
			}
			pending[f] = since
			if !t.settledLocked(e, since, now) {
				continue
			}
		}
		candidates[s] = struct{}{}
	}
	return candidates, pending
}

// settledLocked reports whether weak evidence that came at a time has lasted long enough. While
// endpoints do not answer, it counts only if the part was not yet running at most of the crashes since.
func (t *Table) settledLocked(e evidence, since, now time.Time) bool {
	if now.Sub(since) >= maxSettleDelay {
		return true
	}
	if now.Sub(t.lastAnswer) >= silence {
		return now.Sub(since) >= settleDelay && 2*e.unbegun > t.crashed.since(e.first)
	}
	if t.answering.After(since) {
		since = t.answering
	}
	return now.Sub(since) >= settleDelay
}

// noteAnswerLocked records that an endpoint answers.
func (t *Table) noteAnswerLocked(now time.Time) {
	if now.Sub(t.lastAnswer) >= silence {
		t.answering = now
	}
	if t.firstAnswer.IsZero() {
		t.firstAnswer = now
	}
	t.lastAnswer = now
}

// heaviestLocked returns the candidates with the highest rank among those with enough evidence.
func (t *Table) heaviestLocked(candidates map[*suspect]struct{}, explained explanations) []*suspect {
	var out []*suspect
	highest := 0
	for s := range candidates {
		e := t.evidenceLocked(s, explained)
		rank := e.weight
		switch strength := e.strength(s.part); {
		case strength == none:
			continue
		case !s.part:
			rank += requestLead
		case strength == strong:
			rank += strongLead
		}
		if rank < highest {
			continue
		}
		if rank > highest {
			highest, out = rank, nil
		}
		out = append(out, s)
	}
	return out
}

// firstGroupsLocked returns the groups of one rank, without those that share an unexplained crash with a
// group that has more evidence in all. Of the crashes of a part that crashes endpoints, some may be
// explained by a recorded request with it, so that its rank is no higher than that of a part that was
// beside it once.
func (t *Table) firstGroupsLocked(groups [][]*suspect, explained explanations) [][]*suspect {
	if len(groups) == 1 {
		return groups
	}
	total := func(group []*suspect) int {
		weight := t.evidenceLocked(group[0], nil).weight
		if !group[0].part {
			weight += requestLead
		}
		return weight
	}
	slices.SortStableFunc(groups, func(a, b []*suspect) int { return total(b) - total(a) })
	heaviest := map[fleet.EndpointID]int{} // weight of the first group with a crash
	var out [][]*suspect
	for _, group := range groups {
		weight := total(group)
		if slices.ContainsFunc(group[0].endpoints(), func(ep fleet.EndpointID) bool { return heaviest[ep] > weight }) {
			continue
		}
		out = append(out, group)
		for ep, c := range group[0].crashes {
			if !explained.covers(group[0], ep, c) {
				heaviest[ep] = max(heaviest[ep], weight)
			}
		}
	}
	return out
}

// groupByCrashes groups parts that were at the same unexplained crashes; requests stay alone.
func groupByCrashes(found []*suspect, explained explanations) [][]*suspect {
	var out [][]*suspect
	byCrashes := map[string]int{} // index into out
	slices.SortFunc(found, func(a, b *suspect) int { return strings.Compare(a.fingerprint.String(), b.fingerprint.String()) })
	for _, s := range found {
		if !s.part {
			out = append(out, []*suspect{s})
			continue
		}
		var b strings.Builder
		for _, ep := range s.endpoints() {
			if !explained.covers(s, ep, s.crashes[ep]) {
				b.WriteString(string(ep))
				b.WriteByte(0)
			}
		}
		i, ok := byCrashes[b.String()]
		if !ok {
			i = len(out)
			byCrashes[b.String()] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], s)
	}
	return out
}
