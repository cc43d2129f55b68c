package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// The fragile service: one request crashes its engines, which are restarted, and one of
// them reports a rate limit. Its engines have no proxies in front of them, as a proxy
// would accept connections for a process that has ended.
const (
	fragileService     = "fragile"
	fragileEngines     = 5
	firstFragileNumber = 70 // number of its first engine
	poisonBody         = "a body that crashes engines"
	deadlyPartID       = "deadly"
	firstParts         = 3
	middleParts        = 30
	// poisonEvery: one in so many requests to the fragile service crashes its engine.
	poisonEvery = 6
	// fragileCalm is how long only sound requests come at first.
	fragileCalm = 2 * time.Second
	// restartDelay is how long a crashed engine is down.
	restartDelay = time.Second
	// crashesToDetect is the number of crashes after which the entries must detect that a
	// request crashes engines. They have stablePeriod for that; after it,
	// crashesAfterDetection more crashes are allowed: the users' bounds.
	crashesToDetect       = 3
	crashesAfterDetection = 3
	// One in quarantinedPer sound requests may be refused for requests that crash engines.
	quarantinedPer = 1000
	// partCrashesToDetect is the same for a part of prompts.
	partCrashesToDetect = 5
	// advertisedLimit is the limit that the first fragile engine reports, in requests a
	// second. In any limitWindow it may get limitTolerance times that, plus limitBurst.
	advertisedLimit = 4
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitBurst      = 5
)

// fragileArgs are the additional arguments of a fragile engine.
func fragileArgs(number int) []string {
	args := []string{"--crash-on", poisonBody, "--crash-on-part", deadlyPartID, "--pause", "2ms"}
	if number == firstFragileNumber {
		args = append(args, "--limit", strconv.Itoa(advertisedLimit))
	}
	return args
}

// startFragileEngine starts a fragile engine. The supervisor ends it, not the cluster.
func (c *cluster) startFragileEngine(number int) (*engine, error) {
	name := fmt.Sprintf("engine-%d-v1-%d", number, time.Now().UnixNano())
	args := append([]string{c.ctl, "standin", "platform-engine", "--listen", freeAddress(), "--store", c.storeAddress, "--id", name, "--service", fragileService,
		"--domain", domainOf(number), "--events", strconv.Itoa(streamEvents)}, fragileArgs(number)...)
	e := &engine{logPath: c.logPath(name), service: fragileService, domain: domainOf(number), hasLimit: number == firstFragileNumber, process: &process{name: name, args: args}}
	c.mu.Lock()
	c.fragile = append(c.fragile, e)
	c.mu.Unlock()
	return e, e.start(e.logPath)
}

// supervisor keeps the fragile engines running until its context ends.
type supervisor struct {
	c  *cluster
	f  *faultInjector
	wg sync.WaitGroup
}

func (s *supervisor) run(ctx context.Context, engines int) {
	for i := range engines {
		s.wg.Go(func() { s.superviseEngine(ctx, firstFragileNumber+i) })
	}
}

// superviseEngine starts an engine, and a replacement whenever it crashes.
func (s *supervisor) superviseEngine(ctx context.Context, number int) {
	for ctx.Err() == nil {
		e, err := s.c.startFragileEngine(number)
		if err != nil {
			s.f.record("%s does not start: %v", e.name, err)
			return
		}
		crashed := make(chan struct{})
		go func() {
			defer close(crashed)
			_ = e.cmd.Wait() // a crash is the expected effect of a poison request
		}()
		select {
		case <-crashed:
			s.f.recordCrash(e.name)
		case <-ctx.Done():
			e.signal(syscall.SIGKILL)
			<-crashed
			return
		}
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
		}
	}
}

// recordCrash records a fault of an engine that has just crashed, as the crash cut off all
// requests that ran there.
func (f *faultInjector) recordCrash(engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.faulted[engine] = append(f.faulted[engine], interval{now.Add(-restartDelay), now.Add(restartDelay)})
}

// crashesOf returns the runs of a kind of request that crashed their engines, in order.
func (r *runLog) crashesOf(kind string, kindOf map[string]string) []run {
	var out []run
	for _, one := range r.runs {
		if one.fault == string(platformtest.Crash) && kindOf[one.id] == kind {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b run) int { return a.at.Compare(b.at) })
	return out
}

// checkCrashes returns a finding if requests of a kind crashed too many engines after the time by which
// the entries had to detect it, so many crashes and stablePeriod; may reports whether a run counts.
func checkCrashes(crashes []run, kind string, toDetect int, may func(run) bool) string {
	if len(crashes) <= toDetect {
		return ""
	}
	detectionDeadline := crashes[toDetect-1].at.Add(stablePeriod)
	late := 0
	for _, one := range crashes {
		if one.at.After(detectionDeadline) && may(one) {
			late++
		}
	}
	if late <= crashesAfterDetection {
		return ""
	}
	return fmt.Sprintf("requests that crash engines (%s) reached %d of them later than %v after crash %d, %d in all", kind, late, stablePeriod, toDetect, len(crashes))
}

// crashFindings checks the crashes of both kinds of requests that crash engines. Entries that were not
// in touch may not know of a part.
func (s *callers) crashFindings(f *faultInjector, runs *runLog) (findings []string, crashes int) {
	kindOf, entryOf := map[string]string{}, map[string]string{}
	for _, q := range s.results {
		kindOf[q.id], entryOf[q.id] = q.kind, q.entry
	}
	inTouch := func(one run) bool {
		entry := entryOf[one.id]
		around := slices.Concat(f.faulted[entry], f.interrupted[entry])
		return !anyOverlaps(around, one.at.Add(-stablePeriod), one.at)
	}
	for kind, toDetect := range map[string]int{kindPoison: crashesToDetect, kindDeadlyPart: partCrashesToDetect} {
		all := runs.crashesOf(kind, kindOf)
		crashes += len(all)
		may := func(run) bool { return true }
		if kind == kindDeadlyPart {
			may = inTouch
		}
		if finding := checkCrashes(all, kind, toDetect, may); finding != "" {
			findings = append(findings, finding)
		}
	}
	sound, refused := 0, 0
	for _, q := range s.results {
		if q.kind != kindFragile {
			continue
		}
		sound++
		if q.quarantined {
			refused++
		}
	}
	if refused*quarantinedPer > sound {
		findings = append(findings, fmt.Sprintf("%d of %d sound requests were refused as crashing engines", refused, sound))
	}
	return findings, crashes
}

// checkLimit returns a finding if an engine got more requests than the limit that it
// reports while no entry had a fault, or "".
func (r *runLog) checkLimit(engines []*engine, faulted []interval) string {
	for _, e := range engines {
		var at []time.Time
		for _, one := range r.runs {
			if one.engine == e.name && e.hasLimit {
				at = append(at, one.at)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		if problem := checkLimit(at, faulted); problem != "" {
			return e.name + ": " + problem
		}
	}
	return ""
}

func checkLimit(at []time.Time, faulted []interval) string {
	const allowed = int(limitTolerance*advertisedLimit*limitWindow/time.Second) + limitBurst
	for i, from := range at {
		if from.Sub(at[0]) < stablePeriod || anyOverlaps(faulted, from.Add(-stablePeriod), from.Add(limitWindow)) {
			continue
		}
		n := 0
		for _, t := range at[i:] {
			if t.Sub(from) < limitWindow {
				n++
			}
		}
		if n > allowed {
			return fmt.Sprintf("names %d requests a second and got %d in %v, %d allowed", advertisedLimit, n, limitWindow, allowed)
		}
	}
	return ""
}

func anyOverlaps(all []interval, from, to time.Time) bool {
	for _, s := range all {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// entryFaults returns when entries had faults, including planned stops.
func (f *faultInjector) entryFaults() []interval {
	var out []interval
	for _, e := range f.c.entries {
		out = append(out, f.faulted[e.name]...)
	}
	for _, s := range f.stops {
		out = append(out, s.interval)
	}
	return out
}
