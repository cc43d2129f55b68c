package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a soak that overlooks requests sent to an evacuated failure domain.
func TestRunsInAnEvacuatedDomainAreDetected(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	r := &runLog{domainOf: map[string]string{"e0": "d0", "e1": "d1"}, runs: []run{
		{id: "soon", engine: "e0", at: t0.Add(evacuationBound)},
		{id: "late", engine: "e0", at: t0.Add(evacuationBound + time.Millisecond)},
		{id: "other", engine: "e1", at: t0.Add(evacuationBound + time.Millisecond)},
		{id: "taken back", engine: "e0", at: t0.Add(evacuationTime)},
	}}
	all := []evacuation{{interval{t0, t0.Add(evacuationTime)}, "d0"}}
	is.Equal(r.checkEvacuations(all, nil), []string{"late: ran at e0 2.001s after d0 was evacuated"})
	is.Equal(len(r.checkEvacuations(all, []interval{{t0, t0.Add(time.Second)}})), 0) // an entry was disconnected
}

// Guards against a soak that overlooks that a cold engine gets more than it bears.
func TestTooManyRequestsToAColdEngineAreDetected(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	r := &runLog{coldUntil: map[string]time.Time{"cold": t0.Add(coldTime)}}
	send := func(engine string, n int, at time.Time) {
		for range n {
			r.runs = append(r.runs, run{engine: engine, at: at})
		}
	}
	const allowed = coldTolerance*coldPerSecond + coldBurst
	send("cold", allowed, t0)
	send("cold", allowed, t0.Add(time.Second))
	send("cold", 10*allowed, t0.Add(coldTime))
	send("warm", 10*allowed, t0)
	is.Equal(len(r.checkCold()), 0)
	send("cold", 1, t0.Add(999*time.Millisecond))
	is.Equal(len(r.checkCold()), 1)
}
