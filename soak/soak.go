package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"time"
)

// Options of a soak.
type Options struct {
	Seed          uint64
	FaultDuration time.Duration // how long faults are injected
	// EdgePath and CtlPath are the lovageweir and lovagectl programs.
	EdgePath, CtlPath string
	// Dir receives the processes' logs; it must exist.
	Dir              string
	Entries, Engines int
	Callers          int
	// Series: entries get planned stops that overlap, instead of single faults of
	// every kind.
	Series bool
	// Fragile: most requests go to the fragile service, one kind of them crashes its engines,
	// and its first engine reports a rate limit.
	Fragile bool
	// Cold: in fragile runs, requests that crash engines come from the first moment on.
	Cold bool
	// Cuts: entries are cut off from all engines in turn.
	Cuts bool
	// Skew: entries have a bounded share of a core, and most new connections go to one after the other.
	Skew bool
	// Restores: the store comes back from copies, again and again.
	Restores bool
	// Alone: with Restores, there are no other faults, but engines are replaced, and requests must be
	// served around restores as at other times.
	Alone bool
	// Surge: one customer sends six times its usual demand, again and again, to engines that hold a bounded
	// number of requests.
	Surge bool
	// Unequal: engines differ in speed, are slow at times, and report that.
	Unequal bool
	// SlowReaders: some callers read slowly, and engines cut off streams that are not read.
	SlowReaders bool
	// Endless: engines answer some requests with bytes without end.
	Endless bool
	// Misbehaving: clients send heads of very many lines, bodies that never come and the like to all entries.
	Misbehaving bool
	// IgnoreNotices: requests after an engine said that it leaves or rests are no finding, as some
	// entries are of a build that does not read that.
	IgnoreNotices bool
	// IgnoreEvacuations: requests to evacuated failure domains, and too many to cold engines, are no
	// finding, as some entries are of a build that knows of neither.
	IgnoreEvacuations bool
}

// Report is the result of a soak.
type Report struct {
	Seed     uint64
	Requests int
	Answered map[string]int // by kind and status
	Stops    int            // planned stops of entries
	Crashes  int            // engine crashes caused by a request
	// Skewed and Even count the requests while most new connections went to one entry, and else.
	Skewed, Even attemptCount
	// Cut and Others count the requests at entries that were cut off, and at others meanwhile.
	Cut, Others attemptCount
	// Restored and Unrestored count the requests around restores of the store, and the others.
	Restored, Unrestored attemptCount
	Restores             int
	// Surged and Calm count the requests of other customers while one surged, and else.
	Surged, Calm attemptCount
	// PeakMB is the most memory that an entry used, where that is checked.
	PeakMB int64
	// EraTime is the longest time from the store's return until an entry without a fault was in its
	// new era.
	EraTime  time.Duration
	Faults   []string
	Findings []string
}

// Failed reports whether a guarantee was violated.
func (r *Report) Failed() bool { return len(r.Findings) > 0 }

// evacuates reports whether failure domains are evacuated. Where entries are cut off, that is so in
// one seed of three: requests during evacuations are not compared.
func (o Options) evacuates() bool {
	return !o.Alone && !o.Skew && !o.Surge && (!o.Cuts || o.Seed%3 == 0)
}

// settle is how long the cluster runs without faults before they start, and at the
// end, so that requests in flight can finish.
const settle = 1500 * time.Millisecond

// Run runs one soak.
func Run(o Options) (*Report, error) {
	if _, err := os.Stat(o.Dir); err != nil {
		return nil, err
	}
	c, err := newCluster(o)
	if err != nil {
		if c != nil {
			c.stop()
		}
		return nil, err
	}
	defer c.stop()
	time.Sleep(settle)
	s := &callers{c: c, seed: o.Seed, series: o.Series, fragile: o.Fragile, cold: o.Cold, notices: !o.IgnoreNotices, slowStart: !o.IgnoreEvacuations, restores: o.Restores, alone: o.Alone, slow: o.SlowReaders, surge: surge{on: o.Surge, lasts: min(surgeFor, o.FaultDuration/surgeParts)}, served: map[string]servedVersion{}}
	f := &faultInjector{c: c, rng: rand.New(rand.NewPCG(o.Seed, 0)), series: o.Series, skew: o.Skew, spareEntries: o.Skew && o.Seed%3 != 0, faulted: map[string][]interval{}, interrupted: map[string][]interval{}, linkFaults: map[string][]interval{}}
	engineCtx, stopEngines := context.WithCancel(context.Background())
	defer stopEngines()
	sup := &supervisor{c: c, f: f}
	if o.Fragile {
		sup.run(engineCtx, fragileEngines)
		time.Sleep(settle)
	}
	faultCtx, stopFaults := context.WithTimeout(context.Background(), o.FaultDuration)
	defer stopFaults()
	callerCtx, stopCalls := context.WithCancel(context.Background())
	callersDone := make(chan struct{})
	skewed := &skewedCallers{s: s, b: newBalancer(c)}
	go func() {
		defer close(callersDone)
		if o.Skew {
			skewed.run(callerCtx, o.Seed)
			return
		}
		s.run(callerCtx, o.Callers)
	}()
	balancerDone := make(chan struct{})
	go func() {
		defer close(balancerDone)
		if o.Skew {
			c.throttleEntries(engineCtx)
			skewed.b.run(faultCtx, o.Seed)
		}
	}()
	stopsDone := make(chan struct{})
	go func() { defer close(stopsDone); f.stopEntriesInSeries(faultCtx, o.Seed) }()
	cutsDone := make(chan struct{})
	go func() {
		defer close(cutsDone)
		if o.Cuts {
			f.cutEntriesInTurn(faultCtx, o.Seed)
		}
	}()
	misbehaviorDone := make(chan struct{})
	go func() {
		defer close(misbehaviorDone)
		if o.Misbehaving {
			c.misbehave(faultCtx, o.Seed)
		}
	}()
	evacuationsDone := make(chan struct{})
	go func() {
		defer close(evacuationsDone)
		if o.evacuates() {
			f.evacuateInTurn(faultCtx, o.Seed)
		}
	}()
	restoresDone := make(chan struct{})
	go func() {
		defer close(restoresDone)
		if o.Restores {
			f.restoreInTurn(faultCtx, o.Seed)
		}
	}()
	if !o.Alone {
		f.run(faultCtx)
	}
	<-restoresDone
	<-stopsDone
	<-evacuationsDone
	<-cutsDone
	<-misbehaviorDone
	<-balancerDone
	time.Sleep(settle)
	stopCalls()
	<-callersDone
	stopEngines()
	sup.wg.Wait()
	return s.report(f, skewed)
}

// report makes the checks that need the engines' runs and returns the report of the soak.
func (s *callers) report(f *faultInjector, skewed *skewedCallers) (*Report, error) {
	engineRuns, err := s.c.engineRuns()
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: s.seed, Requests: len(s.results), Answered: map[string]int{}, Stops: len(f.stops), Faults: f.injected}
	for _, q := range s.results {
		r.Answered[fmt.Sprintf("%s %d", q.kind, q.status)]++
		once := !mayRepeat(q.kind)
		if once && engineRuns.counts[q.id] > 1 {
			s.addFinding("%s (%s): ran %d times", q.id, q.kind, engineRuns.counts[q.id])
		}
		refused := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests
		if once && refused && engineRuns.counts[q.id] > 0 {
			s.addFinding("%s (%s): refused with %d and has run", q.id, q.kind, q.status)
		}
		if q.late {
			s.addFinding("%s (%s): no answer %v after its deadline", q.id, q.kind, requestSlack)
		}
	}
	if s.restores {
		for _, finding := range s.checkConfigs(f) {
			s.addFinding("%s", finding)
		}
		r.Restored, r.Unrestored = s.countAroundRestores()
		r.Restores = len(s.c.operator.restores)
		late, longest, err := s.checkEras(f)
		if err != nil {
			return nil, err
		}
		for _, finding := range late {
			s.addFinding("%s", finding)
		}
		r.EraTime = longest
		if finding := s.checkServed(r.Restored, r.Unrestored); finding != "" {
			s.addFinding("%s", finding)
		}
	}
	var surgeFinding string
	if surgeFinding, r.Surged, r.Calm = s.checkSurges(f, engineRuns); surgeFinding != "" {
		s.addFinding("%s", surgeFinding)
	}
	if s.c.options.boundsMemory() {
		for _, finding := range s.c.checkMemory() {
			s.addFinding("%s", finding)
		}
		r.PeakMB = s.c.peakMB()
	}
	for _, finding := range s.c.failedStarts() {
		s.addFinding("%s", finding)
	}
	for _, lost := range f.lostAtStops(s.results, engineRuns) {
		s.addFinding("%s", lost)
	}
	for _, late := range engineRuns.runsAfterLeaving(f.disconnected) {
		s.addFinding("%s: ran at %s %v after the store took that it leaves", late.id, late.engine, late.at.Sub(engineRuns.leftAt[late.engine]))
	}
	if s.slowStart {
		for _, finding := range append(engineRuns.checkEvacuations(f.evacuations, f.disconnected), engineRuns.checkCold()...) {
			s.addFinding("%s", finding)
		}
	}
	if s.notices {
		for _, finding := range engineRuns.checkNotices(s.noticeContext(f)) {
			s.addFinding("%s", finding)
		}
	}
	var cutFindings []string
	cutFindings, r.Cut, r.Others = f.checkCuts(s.results, engineRuns)
	for _, finding := range cutFindings {
		s.addFinding("%s", finding)
	}
	var skewFindings []string
	skewFindings, r.Skewed, r.Even = skewed.check(f, engineRuns)
	if len(skewed.requests) > 0 {
		skewFindings = append(skewFindings, s.c.checkMemory()...)
	}
	for _, finding := range skewFindings {
		s.addFinding("%s", finding)
	}
	var crashFindings []string
	crashFindings, r.Crashes = s.crashFindings(f, engineRuns)
	for _, finding := range crashFindings {
		s.addFinding("%s", finding)
	}
	if finding := engineRuns.checkLimit(s.c.fragile, f.entryFaults()); finding != "" {
		s.addFinding("%s", finding)
	}
	sort.Strings(s.findings)
	r.Findings = s.findings
	return r, nil
}
