package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Evacuations of failure domains, and engines that start cold.
const (
	evacuationKey = "op/evacuate/"
	// evacuationTime is how long a domain stays evacuated; it must exceed evacuationBound, or late
	// requests would not be seen.
	evacuationTime = 3500 * time.Millisecond
	// evacuationBound is how long after the order requests may still reach the domain: the users'
	// bound on a configuration, which is the shorter one.
	evacuationBound = 2 * time.Second
	// coldTime is how long an engine that replaces another one is cold. All entries together may send
	// it coldTolerance times coldPerSecond, plus coldBurst, in any second.
	coldTime      = 3 * time.Second
	coldPerSecond = 6
	coldTolerance = 1.5
	coldBurst     = 5
)

// coldTimeOf returns how long an engine is cold after its start.
func coldTimeOf(number int) time.Duration {
	if number < firstReplacementNumber {
		return 0
	}
	return coldTime
}

// evacuation is the time in which a failure domain was evacuated.
type evacuation struct {
	interval
	domain string
}

// evacuateInTurn evacuates one failure domain after the other until ctx ends.
func (f *faultInjector) evacuateInTurn(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for {
		if !wait(ctx, time.Duration(500+rng.IntN(2000))*time.Millisecond) {
			return
		}
		domain := domainOf(rng.IntN(domains))
		if err := f.c.operator.put(context.Background(), evacuationKey+domain, []byte("{}")); err != nil {
			f.record("evacuation of %s not confirmed: %v", domain, err)
			continue
		}
		f.record("%s is evacuated", domain)
		e := evacuation{interval{from: time.Now()}, domain}
		wait(ctx, evacuationTime)
		e.to = time.Now()
		f.mu.Lock()
		f.evacuations = append(f.evacuations, e)
		f.mu.Unlock()
		if err := f.c.operator.put(context.Background(), evacuationKey+domain, nil); err != nil {
			f.record("end of the evacuation of %s not confirmed: %v", domain, err)
		}
	}
}

// wait waits, and returns false once ctx has ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// checkEvacuations returns findings on runs in failure domains that had been evacuated for
// evacuationBound, while all entries could learn of it.
func (r *runLog) checkEvacuations(all []evacuation, disconnected []interval) (findings []string) {
	for _, one := range r.runs {
		for _, e := range all {
			if e.domain != r.domainOf[one.engine] || one.at.Sub(e.from) <= evacuationBound || !one.at.Before(e.to) || excused(e.from, one.at, disconnected) {
				continue
			}
			findings = append(findings, fmt.Sprintf("%s: ran at %s %v after %s was evacuated", one.id, one.engine, one.at.Sub(e.from).Round(time.Millisecond), e.domain))
		}
	}
	return findings
}

// checkCold returns findings on cold engines that got more requests in a second than they bear.
func (r *runLog) checkCold() (findings []string) {
	allowed := int(coldTolerance*coldPerSecond) + coldBurst
	arrivals := map[string][]time.Time{}
	for _, one := range slices.Concat(r.runs, r.refused) {
		if until, cold := r.coldUntil[one.engine]; cold && one.at.Before(until) {
			arrivals[one.engine] = append(arrivals[one.engine], one.at)
		}
	}
	for engine, at := range arrivals {
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			n := 0
			for n < len(at)-i && at[i+n].Sub(at[i]) < time.Second {
				n++
			}
			if n > allowed {
				findings = append(findings, fmt.Sprintf("%s: cold, and got %d requests in a second, %d allowed", engine, n, allowed))
				break
			}
		}
	}
	return findings
}
