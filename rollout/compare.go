package rollout

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// A version may be a few times slower than the one before. How much time an
// answer takes depends on how busy its engine is, so that no fixed time, and no
// factor of the usual, tells a slow version from a loaded one, nor a slow one on
// nearly empty endpoints from a good one on busy ones.
//
// While a version has its first share, as many endpoints of the old version get
// an equal share of the requests (control.go). They serve the same routes at the
// same time under the same load, and are the control group. The times of both
// groups, as logarithms in parts of the usual, are averaged over all entries, and
// the difference of the two means says by which factor the version is slower,
// whatever the load.
//
// Of a stream a short pause between events is taken, in which the engine read no
// prompt: it varies far less than the mean pause, by which good versions would be
// halted.
//
// Answers of plain services are not among them: beside.go counts the slow ones.
const (
	// comparedFrom is when answers begin to count, in shares of the order's time:
	// before, the control group's endpoints still have their earlier load, and
	// a version's none.
	comparedFrom = 0.08
	// tolerated is how many times as long as the control group's the answers may
	// take.
	tolerated = 1.45
	// unlike is by which factor the endpoints of one version may be of unlike speed:
	// of either group the middle of the two halves is compared, up to that. The
	// quicker half alone would not tell a version that slows some of its answers.
	unlike = 1.3
	// firstSpread is the standard deviation of the logarithm of a first event in
	// parts of what is expected, pauseSpread that of a pause between events, as
	// far as known before answers of the control group tell: spreadWeight is for
	// how many of these it stands.
	firstSpread  = 1.2
	pauseSpread  = 0.4
	spreadWeight = 4
	// alike: answers of one endpoint at the same time vary together, so that means
	// vary by so much more than those of independent answers.
	alike = 1.15
	// mostLog bounds the logarithm of one first event: one that waited for a prompt
	// of a minute does not outweigh all others.
	mostLog = 3.0
	// logScale is what logarithms are counted in: hundredths.
	logScale = 100
	// comparedNeeds answers of either group are the least to judge by. How little
	// few answers say is in the deviation of their mean.
	comparedNeeds = 4
	// halfNeeds answers of a half of the endpoints tell of it: few, as one endpoint
	// may get most requests.
	halfNeeds = 3
	// alone times as many answers of one half as of the other: it has the only
	// endpoint that is chosen.
	alone = 6
	// lowerOfTwo: the lower of two means varies as a mean of so many times the
	// answers of each, pi/(pi-1).
	lowerOfTwo = 1.47
	// slowerFirst standard deviations are a slow version at first, when the answers
	// are few and of few seconds, slowerMiddle when it should move on. wellFirst is
	// the most with which it moves on then. Up to slowerBy of the order's time that
	// rises to slowerMiddle: a version held in doubt for longer gives more bad
	// answers than the operators allow.
	slowerFirst  = 3.5
	slowerMiddle = -0.8
	wellFirst    = -3.0
	slowerBy     = 0.65
	// goodStands is where a version as good stands at the most when there were
	// enough answers to halt one that was not shown to be. Otherwise, as with a few
	// answers a second, a version is halted from slowerSurely on, and gives few bad
	// answers in doubt.
	goodStands   = -3.0
	slowerSurely = 1.5
	// proofNeeds bad answers are what operators take as proof, spoiledPart is the part
	// of its answers that a bad version is taken to spoil: one that spoils more is
	// found sooner. decideWithin of the time that operators allow after the proof
	// is used, as answers come some tenths of a second apart.
	proofNeeds   = 50
	spoiledPart  = 0.5
	decideWithin = 0.85
	// decisionNeeds answers and copies tell how fast they come.
	decisionNeeds = 12
)

// The kinds of times that are compared.
const (
	firstEvents = iota
	pauses
	timeKinds
)

// The groups that are compared.
const (
	controlGroup = iota
	newGroup
	comparedGroups
)

// comparedRoutes are where logarithms are counted: by kind, group, and half of
// the group's endpoints.
var comparedRoutes = [timeKinds][comparedGroups][2]string{
	{{"(first control 1)", "(first control 2)"}, {"(first new 1)", "(first new 2)"}},
	{{"(pace control 1)", "(pace control 2)"}, {"(pace new 1)", "(pace new 2)"}},
}

var isComparedRoute = func() map[string]bool {
	routes := map[string]bool{}
	for _, groups := range comparedRoutes {
		for _, halves := range groups {
			routes[halves[0]], routes[halves[1]] = true, true
		}
	}
	return routes
}()

// compareLocked counts the time of an answer if its endpoint is of one of the
// groups.
func (c *Controller) compareLocked(t *track, u *usual, a Answer) {
	now := c.Clock.Now()
	if a.plain() || a.Failed || a.Took <= 0 || !t.movedOn.IsZero() || !u.known() ||
		progress(now.Sub(t.seen), a.Group.Rollout.Duration) < comparedFrom {
		return
	}
	kind := firstEvents
	if a.Pace {
		kind = pauses
	}
	// What was sent to an endpoint that was lost waits at the others, but hardly
	// slows what they generate.
	if kind == firstEvents && now.Before(t.lostTill) {
		return
	}
	group, half, ok := t.trialOrderLocked(a.Group).memberOf(a.Endpoint)
	if !ok {
		return
	}
	log := a.log(u)
	if kind == firstEvents {
		log = within(log, mostLog)
	}
	if group == controlGroup {
		t.evidence.spreads[kind].add(log)
	}
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered,
		Route: comparedRoutes[kind][group][half]}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.LogTime += int64(math.Round(log * logScale))
	t.evidence.take(src, counts, now)
}

// log is the logarithm of the time to compare. Of a pause it is that of the short
// one, which says how fast the engine generates; the mean one also says how many
// prompts it read in between. A first event is taken in parts of the usual, as
// routes differ; a pause is not, as what is usual varies by entry and moment more
// than short pauses do.
func (a Answer) log(u *usual) float64 {
	took := parts(a.net(), a.Expected)
	switch {
	case a.ShortPause > 0:
		took = parts(a.ShortPause, 0)
	case !a.Pace:
		took /= u.mean
	}
	return math.Log(took)
}

// within bounds a logarithm, so that one answer does not outweigh all others.
func within(log, most float64) float64 { return max(-most, min(most, log)) }

// spread estimates the standard deviation of logarithms.
type spread struct{ n, sum, squares float64 }

func (s *spread) add(log float64) {
	s.n++
	s.sum += log
	s.squares += log * log
}

// deviation is the estimate, where earlier knowledge stands for spreadWeight of
// the values.
func (s spread) deviation(earlier float64) float64 {
	if s.n == 0 {
		return earlier
	}
	around := max(0, s.squares-s.sum*s.sum/s.n)
	return math.Sqrt((around + spreadWeight*earlier*earlier) / (s.n + spreadWeight))
}

// comparison is what the answers say of a version.
type comparison struct {
	// by is by how many standard deviations it is slower than is tolerated, good
	// what a version that is as good as the old one has on average.
	by, good float64
}

// decides reports whether there were enough answers to tell a version as good
// from one at the tolerated limit.
func (c comparison) decides() bool { return c.good <= goodStands }

// slower compares the version's pauses, or these and its first events together.
// First events alone say little where there are pauses to go by: the new
// endpoints' caches hold no prompts yet. It is not ok where too few answers were
// compared.
func (e *evidence) slower() (c comparison, ok bool) {
	first, firstOK := e.slowerIn(firstEvents, firstSpread)
	pause, pauseOK := e.slowerIn(pauses, pauseSpread)
	if !pauseOK {
		return first, firstOK
	}
	if firstOK {
		pause.by = max(pause.by, (first.by+pause.by)/math.Sqrt2)
	}
	return pause, true
}

// slowerIn is slower for one kind of times, where either group has enough.
func (e *evidence) slowerIn(kind int, earlier float64) (c comparison, ok bool) {
	old, oldN := e.middle(comparedRoutes[kind][controlGroup])
	newer, newN := e.middle(comparedRoutes[kind][newGroup])
	if min(oldN, newN) < comparedNeeds {
		return comparison{}, false
	}
	deviation := alike * e.spreads[kind].deviation(earlier) * math.Sqrt(1/oldN+1/newN)
	good := -math.Log(tolerated) / deviation
	return comparison{by: (newer-old)/deviation + good, good: good}, true
}

// middle is the mean logarithm of a group, and of how many answers a mean varies
// as much. One endpoint in trouble is no slow group, so that the better half of the
// endpoints counts, and the other half only as far as endpoints may be unlike. Where
// few answers came from one half, the group is judged only if the other has so many
// that it has the only endpoint.
func (e *evidence) middle(halves [2]string) (mean, n float64) {
	one, two := e.sums[halves[0]], e.sums[halves[1]]
	if one.Samples < two.Samples {
		one, two = two, one
	}
	if two.Samples < halfNeeds {
		if one.Samples < alone*(two.Samples+1) {
			return 0, 0
		}
		return one.meanLog(), float64(one.Samples)
	}
	if two.meanLog() < one.meanLog() {
		one, two = two, one
	}
	worse := two.meanLog() - one.meanLog()
	return one.meanLog() + min(worse, math.Log(unlike))/2, lowerOfTwo * float64(one.Samples)
}

// meanLog is the mean of the logarithms counted.
func (c Counts) meanLog() float64 { return float64(c.LogTime) / float64(c.Samples) / logScale }

// slowerLimits are by how much a version must be slower to be halted when so much
// of the order's time has passed, and by how much it may be to move on.
func slowerLimits(p float64) (halted, well float64) {
	early := min(1, p/canaryUntil)
	halted = slowerMiddle + (slowerFirst-slowerMiddle)*(1-early*early)
	late := max(0, min(1, (p-canaryUntil)/(slowerBy-canaryUntil)))
	well = wellFirst + (slowerMiddle-wellFirst)*late
	return halted, well
}

// decisionTimeLocked is how far the order's time is along for the comparison. Copies for
// the trial under load are answered badly too, so that a bad version may be proven
// bad before its callers alone would have shown it; the limits then reach their
// last values sooner, when operators want it halted.
func (c *Controller) decisionTimeLocked(t *track, r *fleet.Rollout) float64 {
	age := c.Clock.Since(t.seen)
	p := progress(age, r.Duration)
	exposed := float64(t.evidence.totals().Samples) + float64(t.copies*max(1, len(c.View().Entries)))
	if exposed < decisionNeeds || age <= 0 {
		return p
	}
	proven := time.Duration(float64(age) * proofNeeds / (spoiledPart * exposed))
	by := progress(proven+time.Duration(decideWithin*float64(c.haltWithin())), r.Duration)
	return p * max(1, slowerBy/by)
}

// tooSlow reports whether the comparison halts the version.
func (e *evidence) tooSlow(p float64) bool {
	c, ok := e.slower()
	limit, _ := slowerLimits(p)
	if !c.decides() {
		limit = max(limit, slowerSurely)
	}
	return ok && c.by >= limit
}

// maybeSlower reports whether the comparison speaks against moving on.
func (e *evidence) maybeSlower(p float64) bool {
	c, ok := e.slower()
	_, limit := slowerLimits(p)
	return ok && c.by >= limit
}
