package rollout

import (
	"math"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
)

// The sequential test. A version that is well answers badly in okRate of
// cases or fewer (slow by chance, or an endpoint in trouble of its own); one
// in badRate or more is not worth serving. At threshold, a version that fails
// a third of its answers is found after about 20 of them, and one that fails
// okRate of them is halted once in thousands (TestHaltRates).
const (
	okRate    = 0.05
	badRate   = 0.30
	threshold = 6.0
	// fewestEndpoints must have answered badly, where the version has several:
	// one endpoint in trouble is no bad version.
	fewestEndpoints = 2
	// loneBad answers of a single endpoint count for nothing against the
	// version while others of it have answered well.
	wellEnough = 6
)

var (
	stepBad  = math.Log(badRate / okRate)
	stepGood = math.Log((1 - badRate) / (1 - okRate))
)

// Source is one entry's count for one endpoint under one order.
type Source struct {
	Instance string
	Boot     int64
	Service  string
	Ordered  kv.Revision
	Endpoint fleet.EndpointID
}

// Counts only ever rise.
type Counts struct{ Samples, Bad int64 }

// evidence pools the counts for one order.
type evidence struct {
	rows      map[Source]Counts
	statistic float64
	endpoints map[fleet.EndpointID]Counts
}

func newEvidence() *evidence {
	return &evidence{rows: map[Source]Counts{}, endpoints: map[fleet.EndpointID]Counts{}}
}

// take brings a source's counts up to date; older ones change nothing.
func (e *evidence) take(s Source, c Counts) (fresh bool) {
	old := e.rows[s]
	if c.Samples <= old.Samples || c.Bad < old.Bad {
		return false
	}
	e.rows[s] = c
	bad := c.Bad - old.Bad
	good := c.Samples - old.Samples - bad
	// Within one update the bad ones count as spread among the good: it may
	// bring the answers of a long time at once.
	e.statistic = math.Max(0, e.statistic+float64(good)*stepGood+float64(bad)*stepBad)
	total := e.endpoints[s.Endpoint]
	total.Samples += good + bad
	total.Bad += bad
	e.endpoints[s.Endpoint] = total
	return true
}

// bad reports whether the version is to be halted.
func (e *evidence) bad() bool {
	if e.statistic < threshold {
		return false
	}
	failing, well := 0, 0
	for _, c := range e.endpoints {
		switch {
		case float64(c.Bad) > badRate/2*float64(c.Samples):
			failing++
		case c.Samples >= wellEnough:
			well++
		}
	}
	return failing >= fewestEndpoints || well == 0
}

// totals sums the counts.
func (e *evidence) totals() Counts {
	var t Counts
	for _, c := range e.endpoints {
		t.Samples += c.Samples
		t.Bad += c.Bad
	}
	return t
}
