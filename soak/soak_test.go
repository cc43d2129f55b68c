package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/soak"
)

func buildPrograms(t *testing.T) (edge, ctl string) { return soak.BuildPrograms(t) }

// A short seeded soak; docs/SOAK.md lists the longer ones. Seeds that have failed
// before run here as well, each with its cause.
func TestSeededSoak(t *testing.T) {
	edge, ctl := buildPrograms(t)
	seeds := []uint64{
		1,
		// A stream with a gap: the proxy went on forwarding on a connection after it
		// had dropped bytes, which no network does.
		150,
		// A request that arrived 3.54 s into a stop with a grace of 4 s ran and got no
		// response: an entry with requests in flight accepted calls until its process
		// ended.
		402,
	}
	for _, seed := range seeds {
		is := is.New(t)
		r, err := soak.Run(soak.Options{Seed: seed, FaultDuration: 4 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 3, Engines: 4, Callers: 12})
		is.NoErr(err)
		t.Logf("seed %d: %d requests, %d faults: %v", r.Seed, r.Requests, len(r.Faults), r.Answered)
		for _, f := range r.Findings {
			t.Errorf("seed %d: %s", seed, f)
		}
		is.True(r.Requests > 0)
		is.True(len(r.Faults) > 0)
	}
}

// Guards against connections that close without a response although an endpoint ran the
// request: a stopping entry with requests in flight accepted calls until its process
// ended. More than half of the entries stop at a time, long streams keep them running
// until the end of the grace, callers keep sending to them on existing and new
// connections, and the configuration changes.
func TestSeededSoakOfPlannedStops(t *testing.T) {
	is := is.New(t)
	edge, ctl := buildPrograms(t)
	r, err := soak.Run(soak.Options{Seed: 1, FaultDuration: 3 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 5, Engines: 4, Callers: 24, Series: true})
	is.NoErr(err)
	t.Logf("seed %d: %d requests, %d planned stops, %d faults: %v", r.Seed, r.Requests, r.Stops, len(r.Faults), r.Answered)
	for _, f := range r.Findings {
		t.Errorf("seed %d: %s", r.Seed, f)
	}
	is.True(r.Requests > 0)
	is.True(r.Stops > 2) // over half of the entries
}

// Guards against too many crashes by a request that crashes engines, and too many requests
// to an engine that reports a limit, while entries and links have faults.
func TestSeededSoakOfAFragileService(t *testing.T) {
	edge, ctl := buildPrograms(t)
	is := is.New(t)
	r, err := soak.Run(soak.Options{Seed: 9001, FaultDuration: 6 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 3, Engines: 4, Callers: 12, Fragile: true})
	is.NoErr(err)
	t.Logf("%d requests, %d faults, %d engines crashed: %v", r.Requests, len(r.Faults), r.Crashes, r.Answered)
	for _, f := range r.Findings {
		t.Error(f)
	}
	is.True(r.Crashes > 0)
}

// Guards against refusing callers of entries that are cut off, or running their requests twice.
func TestSeededSoakOfEntriesThatAreCutOff(t *testing.T) {
	edge, ctl := buildPrograms(t)
	for _, seed := range []uint64{
		2,
		// Entries through which others connected were avoided for half a second because resets had made
		// them doubt their own links for a moment.
		5,
	} {
		is := is.New(t)
		r, err := soak.Run(soak.Options{Seed: seed, FaultDuration: 13 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 5, Engines: 4, Callers: 24, Cuts: true})
		is.NoErr(err)
		t.Logf("seed %d: %d requests, %d faults, %v served at entries that were cut off, %v at others: %v", seed, r.Requests, len(r.Faults), r.Cut, r.Others, r.Answered)
		for _, f := range r.Findings {
			t.Errorf("seed %d: %s", seed, f)
		}
		is.True(r.Requests > 0)
	}
}

// Guards against an entry that reads more than it can serve while most new connections come to it, or that exceeds its memory.
func TestSeededSoakOfSkewedConnections(t *testing.T) {
	edge, ctl := buildPrograms(t)
	is := is.New(t)
	r, err := soak.Run(soak.Options{Seed: 1, FaultDuration: 17 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 4, Engines: 4, Skew: true, IgnoreNotices: true})
	is.NoErr(err)
	t.Logf("%d requests, %d faults, %v served while connections were skewed, %v else", r.Requests, len(r.Faults), r.Skewed, r.Even)
	for _, f := range r.Findings {
		t.Error(f)
	}
	is.True(r.Requests > 0)
}

// Guards against callers that are left unread by one entry after the other.
func TestWhatAnEntryLeavesUnreadIsReadAtTheNextTry(t *testing.T) {
	edge, ctl := buildPrograms(t)
	is := is.New(t)
	r, err := soak.Run(soak.Options{Seed: 1, FaultDuration: 17 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 4, Engines: 4, Skew: true, IgnoreNotices: true})
	is.NoErr(err)
	is.Equal(r.UnreadFinding(), "")
}

// Guards against old configurations, revoked keys and leaving engines in use after the store came back from a copy.
func TestSeededSoakOfAStoreThatComesBackFromCopies(t *testing.T) {
	edge, ctl := buildPrograms(t)
	for _, run := range []struct {
		seed  uint64
		alone bool
	}{{1, false}, {3, false}, {1, true}} {
		is := is.New(t)
		seed := run.seed
		r, err := soak.Run(soak.Options{Seed: seed, FaultDuration: 25 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 5, Engines: 4, Callers: 24, Restores: true, Alone: run.alone})
		is.NoErr(err)
		t.Logf("seed %d: %d requests, %d faults, %d restores, %v served around them and %v else: %v", seed, r.Requests, len(r.Faults), r.Restores, r.Restored, r.Unrestored, r.Answered)
		for _, f := range r.Findings {
			t.Errorf("seed %d: %s", seed, f)
		}
		is.True(r.Restores > 1)
	}
}

// Guards against entries that exceed their memory, or break a promise to other callers, for clients that misbehave.
func TestSeededSoakOfMisbehavingClients(t *testing.T) {
	is := is.New(t)
	edge, ctl := buildPrograms(t)
	r, err := soak.Run(soak.Options{Seed: 1, FaultDuration: 6 * time.Second, EdgePath: edge, CtlPath: ctl, Dir: t.TempDir(), Entries: 3, Engines: 4, Callers: 12, Misbehaving: true})
	is.NoErr(err)
	t.Logf("seed %d: %d requests, %d faults, %d MB at most: %v", r.Seed, r.Requests, len(r.Faults), r.PeakMB, r.Answered)
	for _, f := range r.Findings {
		t.Errorf("seed %d: %s", r.Seed, f)
	}
	is.True(r.Requests > 0)
}
