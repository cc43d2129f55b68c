package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
)

// subject is a request with the crashing part and one of its own.
func subject(n int) Subject {
	return Subject{Request: Fingerprint(n), Parts: []Fingerprint{deadlyPart, middlePart + Fingerprint(n)}}
}

func crashTwice(t *Table) {
	t.Crashed(subject(1), endpoint(1), 1, Started)
	t.Crashed(subject(2), endpoint(2), 1, Started)
}

// Guards against accusing the parts of one request that crashes endpoints by itself.
func TestPartsOfASingleRequestAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	for n := range 3 {
		e.Crashed(subject(1), endpoint(n), 1, Started)
	}
	is.True(e.Check(subject(1)).Quarantined)
	is.True(!e.Check(subject(2)).Quarantined)
}

// Guards against refusing sound requests with a part that was beside the crashing one each time.
func TestPartsWithTheSameEvidenceAreRefusedOnlyTogether(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	both := func(n int) Subject {
		return Subject{Request: Fingerprint(n), Parts: []Fingerprint{deadlyPart, middlePart}}
	}
	e.Crashed(both(1), endpoint(1), 1, Started)
	e.Crashed(both(2), endpoint(2), 1, Started)
	is.True(e.Check(both(3)).Quarantined)
	beside := Subject{Request: 4, Parts: []Fingerprint{middlePart}}
	is.True(!e.Check(beside).Quarantined)
	e.Served(beside, 1, e.Clock.Now())
	is.True(e.Check(Subject{Request: 5, Parts: []Fingerprint{deadlyPart}}).Quarantined)
	is.True(!e.Check(beside).Quarantined)
}

// Guards against refusing a part that was beside the crashing one at one crash and beside a request that crashes
// endpoints at another: most crashes of the crashing part count for a quarantined request with it, so that both
// parts have the same rank.
func TestPartBesideTheCrashingOneIsNotRefusedForASharedCrash(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	crashed := func(request, endpointNumber int, parts ...Fingerprint) {
		e.Crashed(Subject{Request: Fingerprint(request), Parts: parts}, endpoint(endpointNumber), 1, Started)
	}
	crashed(1, 1, firstPart, deadlyPart)
	crashed(1, 2, firstPart, deadlyPart)
	e.clock.Advance(settleTime)
	e.Tick(context.Background())
	e.sync() // the request is recorded
	crashed(2, 3, firstPart, deadlyPart)
	crashed(3, 4, firstPart+1, middlePart) // by itself
	crashed(4, 5, firstPart+1, deadlyPart)
	is.True(e.Check(Subject{Request: 5, Parts: []Fingerprint{firstPart + 2, deadlyPart}}).Quarantined)
	is.True(!e.Check(Subject{Request: 6, Parts: []Fingerprint{firstPart + 1, middlePart + 1}}).Quarantined)
	is.True(!e.Check(Subject{Request: 7, Parts: []Fingerprint{firstPart, middlePart + 1}}).Quarantined)
}

// Guards against a part that one version answers all the time, and that crashes another, being sent there.
func TestPartIsBlockedForTheVersionThatItCrashes(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	crashTwice(e.Table)
	e.Answering(subject(3), 2, e.Clock.Now())
	v := e.Check(subject(4))
	is.True(!v.Quarantined && v.Restricted)
	is.True(e.Blocks(subject(4), 1))
	is.True(!e.Blocks(subject(4), 2))
	is.True(e.Blocks(subject(4), 3)) // not answered by it
}

// Guards against a part that was found by mistake staying refused at entries that did not see it answered.
func TestAnswerReleasesAPartAtAllEntries(t *testing.T) {
	is := is.New(t)
	a, b := newIsolatedEntry(t), newIsolatedEntry(t)
	a.learn()
	b.learn()
	crashTwice(a.Table)
	b.Merge("other", a.Reports())
	is.True(b.Check(subject(3)).Quarantined)
	a.clock.Advance(time.Second)
	a.Answering(subject(4), 1, a.Clock.Now()) // it was under way
	is.True(!a.Check(subject(3)).Quarantined)
	select {
	case <-a.Updates():
	default:
		t.Fatal("others are not told at once")
	}
	b.clock.Advance(time.Second)
	b.Merge("other", a.Reports())
	is.True(!b.Check(subject(3)).Quarantined)
}

// Guards against accusing a part because an entry that does not see it answered hears only of crashes.
func TestEntriesThatSawAnAnswerTellThoseThatSuspectThePart(t *testing.T) {
	is := is.New(t)
	a, b := newIsolatedEntry(t), newIsolatedEntry(t)
	a.learn()
	b.learn()
	for n := range 3 {
		a.Crashed(subject(n), endpoint(n), 1, Waiting)
	}
	is.True(!a.Check(subject(9)).Quarantined) // the evidence is weak and has not settled
	b.clock.Advance(time.Millisecond)
	a.clock.Advance(time.Millisecond)
	b.Answering(subject(7), 1, b.Clock.Now())
	b.Merge("other", a.Reports())
	a.Merge("other", b.Reports())
	a.clock.Advance(maxSettleDelay)
	a.Tick(context.Background())
	is.True(!a.Check(subject(9)).Quarantined)
}

// Guards against a quarantined part staying refused for ever, and against many entries probing it.
func TestQuarantinedPartIsProbedByOneEntry(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	entries := []fleet.Entry{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
	probes, owner := 0, ""
	for _, self := range entries {
		table := New(Deps{Clock: clock, Log: discardLog, Owns: func(f Fingerprint) bool { return Owner(f, entries) == self.Instance }})
		table.Answering(Subject{}, 0, table.Clock.Now())
		clock.Advance(learnFor)
		crashTwice(table)
		is.True(!table.TakeProbe(subject(3))) // too early
		clock.Advance(firstProbe)
		for n := range 5 {
			if table.TakeProbe(subject(10 + n)) {
				probes, owner = probes+1, self.Instance
			}
		}
	}
	is.Equal(probes, 1)
	is.Equal(owner, Owner(deadlyPart, entries))
}

// Guards against entries that start later sending a crashing part, and against records outliving an answer.
func TestPartIsRecordedUntilItIsAnswered(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := memkv.New(clock)
	a := newEntry(t, clock, store)
	a.learn()
	crashTwice(a.Table)
	clock.Advance(settleTime)
	a.Tick(context.Background())
	b := newEntry(t, clock, store)
	b.sync()
	is.True(b.Check(subject(3)).Quarantined)
	kind, _ := platform.Values{}.Classify(fleet.Quarantined{Fingerprint: deadlyPart.String(), Part: true}.Key())
	is.Equal(kind, fleet.ItemQuarantinedPart)
	clock.Advance(time.Second)
	b.Answering(subject(4), 1, b.Clock.Now()) // a probe
	b.Tick(context.Background())
	c := newEntry(t, clock, store)
	c.sync()
	is.True(!c.Check(subject(3)).Quarantined)
}

// Guards against memory and exchanges that grow with the number of parts.
func TestPartsAndTheirReportsAreBounded(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	for n := range 2 * maxSuspects {
		e.Crashed(Subject{Request: Fingerprint(n), Parts: []Fingerprint{middlePart + Fingerprint(n)}}, endpoint(n), 1, Started)
	}
	for n := range 4 * maxCleared {
		e.Answering(Subject{Parts: []Fingerprint{firstPart + Fingerprint(n)}}, 1, e.Clock.Now())
	}
	is.True(e.State().Suspects <= maxSuspects)
	is.True(len(e.cleared.current)+len(e.cleared.previous) <= 2*maxCleared)
	is.True(len(e.crashed) <= maxCrashedEndpoints)
	is.True(len(e.Reports()) <= 2*maxReported)
	crashTwice(e.Table) // a part that is found is told among thousands of suspects
	requests, parts := e.Message()
	size := 0
	found := false
	for _, p := range parts {
		found = found || p.Fingerprint == uint64(deadlyPart)
		size += len(p.String())
	}
	is.True(found)
	is.True(len(requests) <= maxReported && size < 32<<10)
}

// Guards against other entries not learning of the cause while many parts were cleared after crashes of many endpoints.
func TestContestedPartsDoNotDisplaceTheCauseInReports(t *testing.T) {
	is := is.New(t)
	e, other := newIsolatedEntry(t), newIsolatedEntry(t)
	e.learn()
	other.learn()
	for n := range 4 * maxReported {
		beside := Subject{Request: Fingerprint(100 + n), Parts: []Fingerprint{middlePart + Fingerprint(100+n)}}
		e.Crashed(beside, endpoint(100+n), 1, Waiting)
		e.Answering(Subject{Parts: beside.Parts}, 1, e.Clock.Now())
	}
	crashTwice(e.Table)
	requests, parts := e.Message()
	other.MergeMessage("other", requests, parts)
	is.True(other.Check(subject(9)).Quarantined)
}

// Guards against refusing a part that was recorded as the cause before the true cause was found.
func TestRecordedPartIsReleasedWhenTheCauseIsFound(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	beside := Subject{Request: 9, Parts: []Fingerprint{middlePart}}
	e.Crashed(Subject{Request: 1, Parts: []Fingerprint{middlePart, deadlyPart}}, endpoint(1), 1, Started)
	e.Crashed(Subject{Request: 2, Parts: []Fingerprint{middlePart}}, endpoint(2), 1, Started)
	is.True(e.Check(beside).Quarantined)
	e.clock.Advance(settleTime)
	e.Tick(context.Background())
	e.sync()
	is.True(e.fleet.View().QuarantinedParts.Has(uint64(middlePart)))
	e.Crashed(Subject{Request: 3, Parts: []Fingerprint{deadlyPart}}, endpoint(2), 1, Started)
	e.Crashed(Subject{Request: 4, Parts: []Fingerprint{deadlyPart}}, endpoint(3), 1, Started)
	is.True(!e.Check(beside).Quarantined)
	is.True(e.Check(Subject{Request: 5, Parts: []Fingerprint{deadlyPart}}).Quarantined)
	e.clock.Advance(recordRetry)
	e.Tick(context.Background())
	e.sync()
	is.True(!e.fleet.View().QuarantinedParts.Has(uint64(middlePart)))
}

// Guards against letting the cause through again because a part that many requests contain was at more crashes.
func TestPopularPartDoesNotExplainTheCrashesOfTheCause(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	popular := Subject{Request: 50, Parts: []Fingerprint{firstPart}}
	e.Answering(popular, 1, e.Clock.Now())
	e.clock.Advance(time.Millisecond)
	crashTwice(e.Table)
	for n := range 12 {
		e.Crashed(Subject{Request: Fingerprint(100 + n), Parts: []Fingerprint{firstPart}}, endpoint(1+n), 1, []Stage{Waiting, Running, Started}[n%3])
	}
	e.clock.Advance(maxSettleDelay)
	e.Tick(context.Background())
	is.True(e.Check(subject(9)).Quarantined)
}
