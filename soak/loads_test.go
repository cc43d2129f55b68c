package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/soak"
)

// runLoad runs a short soak and reports its findings.
func runLoad(t *testing.T, o soak.Options) *soak.Report {
	t.Helper()
	is := is.New(t)
	o.EdgePath, o.CtlPath = buildPrograms(t)
	o.Dir, o.Entries, o.Engines, o.Callers = t.TempDir(), 3, 4, 24
	r, err := soak.Run(o)
	is.NoErr(err)
	t.Logf("seed %d: %d requests, %d faults, %v of other customers' served while one surged and %v else, %d MB used at most: %v", r.Seed, r.Requests, len(r.Faults), r.Surged, r.Calm, r.PeakMB, r.Answered)
	for _, f := range r.Findings {
		t.Errorf("seed %d: %s", r.Seed, f)
	}
	is.True(r.Requests > 0)
	return r
}

// Guards against answers without end filling an entry's memory, holding requests, or being taken for answers.
func TestSeededSoakOfAnswersWithoutEnd(t *testing.T) {
	r := runLoad(t, soak.Options{Seed: 1, FaultDuration: 4 * time.Second, Endless: true})
	is.New(t).True(r.PeakMB > 0)
}

// Guards against callers that read slowly filling an entry's memory, or getting streams with gaps.
func TestSeededSoakOfSlowReaders(t *testing.T) {
	r := runLoad(t, soak.Options{Seed: 1, FaultDuration: 4 * time.Second, SlowReaders: true})
	is.New(t).True(r.PeakMB > 0)
}

// Guards against promises that hold only while all engines are equally fast.
func TestSeededSoakOfUnequalEngines(t *testing.T) {
	runLoad(t, soak.Options{Seed: 1, FaultDuration: 4 * time.Second, Unequal: true})
}

// Guards against a customer at six times its usual demand costing others their answers.
func TestSeededSoakOfASurge(t *testing.T) {
	r := runLoad(t, soak.Options{Seed: 1, FaultDuration: 6 * time.Second, Surge: true})
	is.New(t).True(r.Surged.Sent() > 0)
}
