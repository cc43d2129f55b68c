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

// The fragile service: a request crashes its engines, which come back, and one of them
// names a limit. Its engines have no proxies before them: one would accept connections
// for a process that has ended.
const (
	fragileService = "fragile"
	fragileEngines = 5
	fragileFrom    = 70 // number of the first of its engines
	poisonBody     = "a body that crashes engines"
	// poisonEvery: one request of the kind in so many is the one that crashes engines.
	poisonEvery = 6
	// backAfter is how long an engine that crashed is gone.
	backAfter = time.Second
	// crashesKnown is how many crashes make a request known, crashesMore how many may
	// follow later than stable after these: the users' bounds.
	crashesKnown = 3
	crashesMore  = 3
	// namedLimit is what the first fragile engine names, in requests a second; in any
	// limitWindow it may get limitOver times that and limitMore.
	namedLimit  = 4
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitMore   = 5
)

// fragileArgs are what a fragile engine is started with besides.
func fragileArgs(number int) []string {
	args := []string{"--crash-on", poisonBody, "--pause", "2ms"}
	if number == fragileFrom {
		args = append(args, "--limit", strconv.Itoa(namedLimit))
	}
	return args
}

// addFragile starts a fragile engine. It is not among those that the cluster ends.
func (c *cluster) addFragile(number int) (*engine, error) {
	name := fmt.Sprintf("engine-%d-v1-%d", number, time.Now().UnixNano())
	args := append([]string{c.ctl, "standin", "platform-engine", "--listen", freeAddress(), "--store", c.direct, "--id", name, "--service", fragileService,
		"--domain", fmt.Sprintf("d%d", number%2), "--events", strconv.Itoa(streamEvents)}, fragileArgs(number)...)
	e := &engine{log: c.log(name), service: fragileService, limited: number == fragileFrom, process: &process{name: name, args: args}}
	c.mu.Lock()
	c.fragile = append(c.fragile, e)
	c.mu.Unlock()
	return e, e.start(e.log)
}

// supervisor keeps the fragile engines running until its context ends.
type supervisor struct {
	c  *cluster
	f  *faults
	wg sync.WaitGroup
}

func (s *supervisor) run(ctx context.Context, engines int) {
	for i := range engines {
		s.wg.Go(func() { s.keep(ctx, fragileFrom+i) })
	}
}

// keep starts an engine, and another in its place whenever it has crashed.
func (s *supervisor) keep(ctx context.Context, number int) {
	for ctx.Err() == nil {
		e, err := s.c.addFragile(number)
		if err != nil {
			s.f.note("%s does not start: %v", e.name, err)
			return
		}
		crashed := make(chan struct{})
		go func() {
			defer close(crashed)
			_ = e.cmd.Wait() // how it ended is the request's doing
		}()
		select {
		case <-crashed:
			s.f.ended(e.name)
		case <-ctx.Done():
			e.signal(syscall.SIGKILL)
			<-crashed
			return
		}
		select {
		case <-time.After(backAfter):
		case <-ctx.Done():
		}
	}
}

// ended notes that an engine has just ended, with all that ran there.
func (f *faults) ended(engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.disturbed[engine] = append(f.disturbed[engine], span{now.Add(-backAfter), now.Add(backAfter)})
}

// crashes are when runs crashed their engines, in order.
func (r *ran) crashes() []time.Time {
	var out []time.Time
	for _, one := range r.all {
		if one.fault == string(platformtest.Crash) {
			out = append(out, one.at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashedTooOften says whether the request that crashes engines reached them after it was
// known; "": it did not.
func (r *ran) crashedTooOften() string {
	crashes := r.crashes()
	if len(crashes) <= crashesKnown {
		return ""
	}
	known := crashes[crashesKnown-1].Add(stable)
	late := 0
	for _, at := range crashes {
		if at.After(known) {
			late++
		}
	}
	if late <= crashesMore {
		return ""
	}
	return fmt.Sprintf("a request that crashes engines reached %d of them later than %v after the third, %d in all", late, stable, len(crashes))
}

// overLimit says whether an engine that names a limit got more than that, where no entry
// met a fault; "": none did.
func (r *ran) overLimit(engines []*engine, disturbed []span) string {
	for _, e := range engines {
		var at []time.Time
		for _, one := range r.all {
			if one.engine == e.name && e.limited {
				at = append(at, one.at)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		if why := overLimit(at, disturbed); why != "" {
			return e.name + ": " + why
		}
	}
	return ""
}

func overLimit(at []time.Time, disturbed []span) string {
	const most = int(limitOver*namedLimit*limitWindow/time.Second) + limitMore
	for i, from := range at {
		if from.Sub(at[0]) < stable || anyMeets(disturbed, from.Add(-stable), from.Add(limitWindow)) {
			continue
		}
		n := 0
		for _, t := range at[i:] {
			if t.Sub(from) < limitWindow {
				n++
			}
		}
		if n > most {
			return fmt.Sprintf("names %d requests a second and got %d in %v, %d allowed", namedLimit, n, limitWindow, most)
		}
	}
	return ""
}

func anyMeets(all []span, from, to time.Time) bool {
	for _, s := range all {
		if s.meets(from, to) {
			return true
		}
	}
	return false
}

// ofEntries is when entries met faults, planned stops among them.
func (f *faults) ofEntries() []span {
	var out []span
	for _, e := range f.c.entries {
		out = append(out, f.disturbed[e.name]...)
	}
	for _, s := range f.stops {
		out = append(out, s.span)
	}
	return out
}
