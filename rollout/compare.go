package rollout

import (
	"math"
	"sort"

	"github.com/lovageweir/lovageweir/fleet"
)

// A version may be a few times slower than the one before. How much time an
// answer takes depends on how busy the engines are, so that no fixed time, and
// no factor of a mean, tells a slow version from a loaded one: of versions four
// and five times as slow under a tenth of the answers were later than any such
// limit at the first share, and in 26 of 36 roll-outs they got more requests
// than the operators allow a bad one, up to all.
//
// While a version has its first share the old one serves the same routes under
// the same load, and is the control group: each answer of the new version is
// ranked among the latest of the old one to the same model, and the mean rank
// says which is slower, whatever the load. Good versions came to 0.34 at the
// most (27 roll-outs at three deployments, with crashes and bursts beside), as
// their few endpoints are a little emptier; versions four and five times as slow
// to 0.54 at the least (18 roll-outs; a pause was tolerated 1.3 times as long).
//
// Where the first endpoints are much emptier than the old ones, a slow version
// ranks as a good one does, and is not found by this.
const (
	// controlSize answers of the old version are the control group: a quarter of
	// a minute's of one entry, by model.
	controlSize = 48
	// controlNeeds makes a rank mean something.
	controlNeeds = 6
	// tolerated is how many times as long a first event may take, toleratedPace
	// a pause between events, which varies less and is shorter on the emptier
	// endpoints of the first share.
	tolerated     = 1.2
	toleratedPace = 1.1
	// evenRank is the mean rank that a version may have, evenPace that of its
	// pauses.
	evenRank = 0.5
	evenPace = 0.6
	// rankSpread is the standard deviation of a rank.
	rankSpread = 0.289
	// rankScale is what ranks are counted in: hundredths.
	rankScale = 100
	// comparedNeeds ranks are the least to judge by.
	comparedNeeds = 12
	// halfNeeds ranks tell whether a half of the endpoints is slow.
	halfNeeds = 6
	// pauseNeeds ranks of pauses are enough to go by them.
	pauseNeeds = 6
	// slowerFirst standard deviations of the mean are a slow version at first,
	// when the ranks are few and of few seconds, slowerLast when it should move
	// on. At the end of the first share good versions came to -3.7 at the most
	// (120 roll-outs, three quarters of them beside crashes), versions three and four
	// times as slow to 1.5 at the least in 59 of 60.
	slowerFirst = 5.0
	slowerLast  = 0.5
	// slowerDoubt is a reason not to move on: that a version was not found slow
	// does not make it as good.
	slowerDoubt = -2.0
)

// control are the latest answers of the version in force.
type control struct {
	ring [controlSize]float64
	n    int
}

func (c *control) add(v float64) {
	c.ring[c.n%controlSize] = v
	c.n++
}

// rank is the share of the control group that is lower than v, from 0 to 1.
func (c *control) rank(v float64) (float64, bool) {
	known := min(c.n, controlSize)
	if known < controlNeeds {
		return 0, false
	}
	below := 0.0
	for _, w := range c.ring[:known] {
		switch {
		case w < v:
			below++
		case w == v:
			below += 0.5
		}
	}
	return (below + 0.5) / float64(known+1), true
}

// rankRoutes are where ranks are counted: of first events and of pauses, and of
// either half of the version's endpoints.
var rankRoutes = [2][2]string{{"(rank 1)", "(rank 2)"}, {"(rank pace 1)", "(rank pace 2)"}}

func rankRoute(route string) bool {
	for _, halves := range rankRoutes {
		if route == halves[0] || route == halves[1] {
			return true
		}
	}
	return false
}

// compareLocked ranks an answer of a version that has its first share, and
// counts the rank.
func (c *Controller) compareLocked(t *track, u *usual, a Answer) {
	factor, kind := tolerated, 0
	if a.Pace {
		factor, kind = toleratedPace, 1
	}
	rank, ok := u.control.rank(parts(a.net(), a.Expected) / factor)
	if !ok {
		return
	}
	src := Source{Instance: c.Instance, Boot: c.Boot, Service: a.Group.Rollout.Service, Ordered: a.Group.Rollout.Ordered,
		Route: rankRoutes[kind][half(a.Group, a.Endpoint)]}
	counts := t.evidence.rows[src]
	counts.Samples++
	counts.Rank += int64(math.Round(rank * rankScale))
	t.evidence.take(src, counts, c.Clock.Now())
}

// half is which half of the version's endpoints one belongs to: a version is
// slow if both are, and one endpoint that is slow by itself is none.
func half(g *fleet.Group, ep fleet.Endpoint) int {
	_, newer := split(g.Ready, g.Rollout.Target)
	newer = inTrialOrder(newer, g.Rollout.Ordered)
	at := sort.Search(len(newer), func(i int) bool {
		return !trialLess(newer[i].ID, ep.ID, g.Rollout.Ordered)
	})
	return at % 2
}

// slower is by how many standard deviations the version is slower than is
// tolerated: in its pauses, or in them and its first events together. First
// events alone say little where there are pauses to go by: the new endpoints'
// caches hold no prompts yet. It is not ok where too few answers were ranked.
func (e *evidence) slower() (by float64, ok bool) {
	firsts, first := e.rankedSlower(0, evenRank)
	pauses, pace := e.rankedSlower(1, evenPace)
	switch {
	case firsts+pauses < comparedNeeds:
		return 0, false
	case pauses < pauseNeeds:
		return first / math.Sqrt2, true
	}
	return max(pace, (first+pace)/math.Sqrt2), true
}

// slowerLimit is by how much a version must be slower to be halted when so much
// of the order's time has passed.
func slowerLimit(p float64) float64 {
	left := 1 - min(1, p/canaryUntil)
	return slowerLast + left*(slowerFirst-slowerLast)
}

// maybeSlower reports whether the comparison speaks against moving on.
func (e *evidence) maybeSlower() bool {
	by, ok := e.slower()
	return ok && by > slowerDoubt
}

// rankedSlower returns how many answers of a kind were ranked, and by how many
// standard deviations their mean rank exceeds an even one: that of the better
// half of the endpoints, if that is the lower.
func (e *evidence) rankedSlower(kind int, even float64) (n int64, by float64) {
	var sum int64
	least := math.Inf(1)
	for _, route := range rankRoutes[kind] {
		c := e.ranked[route]
		if c.Samples == 0 {
			continue
		}
		n += c.Samples
		sum += c.Rank
		if c.Samples >= halfNeeds {
			least = min(least, float64(c.Rank)/float64(c.Samples)/rankScale-even)
		}
	}
	if n == 0 {
		return 0, 0
	}
	excess := min(float64(sum)/float64(n)/rankScale-even, max(least, -even))
	return n, excess * math.Sqrt(float64(n)) / rankSpread
}
