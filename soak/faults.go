package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Parameters of fault injection.
const (
	// maxConcurrentFaults is how many faults may overlap.
	maxConcurrentFaults = 3
	// rareFaults is how many times as long the pauses between faults are where effects of another
	// fault are measured.
	rareFaults = 6
	// exitSlack is how long after its drain time an engine's process must have
	// exited.
	exitSlack = time.Second
	// firstReplacementNumber is above the numbers of the engines that are there from the start.
	firstReplacementNumber = 100
)

// faultInjector injects random faults and records them.
type faultInjector struct {
	c   *cluster
	rng *rand.Rand
	// series: entries get overlapping planned stops and no other fault.
	series bool
	// skew: faults are rare, so that most requests meet none. spareEntries: entries get no faults.
	skew, spareEntries bool

	mu           sync.Mutex
	injected     []string
	disconnected []interval // when some entry could not learn of changes
	evacuations  []evacuation
	cuts         []cutWindow
	stops        []plannedStop // planned stops of entries
	// faulted is when a process, or its link through a proxy, had any other fault.
	faulted map[string][]interval
	// interrupted is when a process was paused or restarted, linkFaults when the link to it was
	// impaired.
	interrupted, linkFaults map[string][]interval
	engine                  int // engines started so far to replace others
	replaced                int // engines replaced in turn
	rollouts                int
}

func (f *faultInjector) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, fmt.Sprintf(format, args...))
}

// run starts a fault at random intervals, up to maxConcurrentFaults at a time, until
// ctx ends, and waits until all are over.
func (f *faultInjector) run(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults)
	busy := map[any]bool{} // what faults are being applied to
	var mu sync.Mutex
	for ctx.Err() == nil {
		select {
		case <-time.After(f.untilNext()):
		case <-ctx.Done():
			continue
		}
		target, fault := f.pick()
		mu.Lock()
		taken := busy[target]
		if !taken {
			busy[target] = true
		}
		mu.Unlock()
		if taken {
			continue
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			fault()
			mu.Lock()
			delete(busy, target)
			mu.Unlock()
			<-slots
		}()
	}
	wg.Wait()
}

// untilNext returns the time to the next fault.
func (f *faultInjector) untilNext() time.Duration {
	d := time.Duration(100+f.rng.IntN(500)) * time.Millisecond
	if f.skew || f.c.restores || f.c.options.Surge {
		d *= rareFaults
	}
	return d
}

// pick draws a fault and what it is applied to.
func (f *faultInjector) pick() (target any, fault func()) {
	e := f.c.entries[f.rng.IntN(len(f.c.entries))]
	f.c.mu.Lock()
	g := f.c.engines[f.rng.IntN(len(f.c.engines))]
	f.c.mu.Unlock()
	duration := time.Duration(200+f.rng.IntN(1800)) * time.Millisecond
	mode := Mode(1 + f.rng.IntN(4))
	kind := f.rng.IntN(9)
	if onEntry := kind == 0 || kind >= 3 && kind <= 5; (f.series || f.spareEntries) && onEntry {
		kind = 7 // a configuration change in place of a fault at an entry
	}
	switch kind {
	case 0:
		return e, func() {
			defer f.trackDisconnected()()
			defer f.trackFault(e.name)()
			f.impairLink("store of "+e.name, e.storeProxy, mode, duration)
		}
	case 1, 2:
		return g, func() { defer f.trackFault(g.name)(); f.impairLink(g.name, g.proxy, mode, duration) }
	case 3:
		return e, func() { defer f.trackDisconnected()(); defer f.trackFault(e.name)(); f.pause(e.process, duration) }
	case 4:
		return e, func() {
			defer f.trackDisconnected()()
			defer f.trackFault(e.name)()
			f.restart(e.process, syscall.SIGKILL)
		}
	case 5:
		return e, func() { f.plannedStop(e) }
	case 6:
		return g, func() { defer f.trackFault(g.name)(); f.replace(g, f.rng.IntN(2) == 0) }
	case 7:
		return "config", func() { f.writeConfig() }
	}
	if f.c.cuts || f.skew || f.c.restores {
		return "config", func() { f.writeConfig() } // orders that replace each other withdraw all versions
	}
	return "config", f.orderRollout
}

// trackDisconnected records that an entry cannot learn of changes, from now until
// the returned function is called.
func (f *faultInjector) trackDisconnected() (reconnected func()) {
	started := time.Now()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disconnected = append(f.disconnected, interval{started, time.Now()})
	}
}

// trackFault records that a process, or its link through a proxy, has a fault, from
// now until the returned function is called.
func (f *faultInjector) trackFault(name string) (over func()) { return f.track(f.faulted, name) }

// track records in intervals, from now until the returned function is called.
func (f *faultInjector) track(intervals map[string][]interval, name string) (over func()) {
	started := time.Now()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		intervals[name] = append(intervals[name], interval{started, time.Now()})
	}
}

func (f *faultInjector) impairLink(name string, p *Proxy, m Mode, d time.Duration) {
	f.record("link to %s in mode %d for %v", name, m, d)
	defer f.track(f.linkFaults, name)()
	p.Set(m)
	time.Sleep(d)
	p.Set(Pass)
}

func (f *faultInjector) pause(p *process, d time.Duration) {
	f.record("%s paused for %v", p.name, d)
	defer f.track(f.interrupted, p.name)()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (f *faultInjector) restart(p *process, s syscall.Signal) {
	f.record("%s gets %v and starts again", p.name, s)
	defer f.track(f.interrupted, p.name)()
	p.signal(s)
	p.wait(f.c.grace)
	if err := p.start(f.c.logPath(p.name)); err != nil {
		f.record("%s does not start: %v", p.name, err)
	}
}

// replace ends an engine, by a kill or a planned stop, and starts a new one.
func (f *faultInjector) replace(g *engine, planned bool) {
	f.record("%s is replaced, planned: %v", g.name, planned)
	f.mu.Lock()
	f.engine++
	n := firstReplacementNumber + f.engine
	f.mu.Unlock()
	if err := f.c.addEngine(n, g.service, "v1"); err != nil {
		f.record("no engine in its place: %v", err)
	}
	s := syscall.SIGKILL
	if planned {
		s = syscall.SIGTERM
	}
	g.signal(s)
	g.wait(announceDelay + drainTime + exitSlack)
}

func (f *faultInjector) writeConfig() {
	f.record("configuration changes")
	if err := f.c.writeConfig(); err != nil {
		f.record("configuration not confirmed: %v", err)
	}
}

// orderRollout orders a roll-out of a version, whether or not engines run it.
func (f *faultInjector) orderRollout() {
	f.mu.Lock()
	f.rollouts++
	target := fmt.Sprintf("v%d", 1+f.rollouts%2)
	f.mu.Unlock()
	f.record("roll-out of %s", target)
	order := fmt.Sprintf(`{"service":%q,"target":%q,"duration_s":4}`, service, target)
	if err := f.c.operator.put(context.Background(), "op/rollout/"+service, []byte(order)); err != nil {
		f.record("order not confirmed: %v", err)
	}
}
