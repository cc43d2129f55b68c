package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Series of faults.
const (
	// atOnce faults may overlap.
	atOnce = 3
	// endsAfter is how long after an engine has served on its process must have
	// ended.
	endsAfter = time.Second
)

// faults plays random faults until ctx ends, and returns what it played.
type faults struct {
	c   *cluster
	rng *rand.Rand
	// series: entries meet planned stops in series and no other fault.
	series bool

	mu     sync.Mutex
	played []string
	deaf   []span // when some entry could not hear of changes
	stops  []stop // planned stops of entries
	// disturbed is when a process, or a link of its own, met any other fault.
	disturbed map[string][]span
	engine    int // engines started so far
	orders    int
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.played = append(f.played, fmt.Sprintf(format, args...))
}

// run starts a fault every while, up to atOnce side by side, and waits until
// all are mended.
func (f *faults) run(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	busy := map[any]bool{} // what a fault is at work on
	var mu sync.Mutex
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(100+f.rng.IntN(500)) * time.Millisecond):
		case <-ctx.Done():
			continue
		}
		on, fault := f.draw()
		mu.Lock()
		taken := busy[on]
		if !taken {
			busy[on] = true
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
			delete(busy, on)
			mu.Unlock()
			<-slots
		}()
	}
	wg.Wait()
}

// draw picks a fault and what it is at work on.
func (f *faults) draw() (on any, fault func()) {
	e := f.c.entries[f.rng.IntN(len(f.c.entries))]
	f.c.mu.Lock()
	g := f.c.engines[f.rng.IntN(len(f.c.engines))]
	f.c.mu.Unlock()
	for_ := time.Duration(200+f.rng.IntN(1800)) * time.Millisecond
	mode := Mode(1 + f.rng.IntN(4))
	kind := f.rng.IntN(9)
	if onEntry := kind == 0 || kind >= 3 && kind <= 5; f.series && onEntry {
		kind = 7 // its stop is joined by a configuration instead
	}
	switch kind {
	case 0:
		return e, func() {
			defer f.hide()()
			defer f.disturb(e.name)()
			f.link("store of "+e.name, e.store, mode, for_)
		}
	case 1, 2:
		return g, func() { defer f.disturb(g.name)(); f.link(g.name, g.proxy, mode, for_) }
	case 3:
		return e, func() { defer f.hide()(); defer f.disturb(e.name)(); f.pause(e.process, for_) }
	case 4:
		return e, func() { defer f.hide()(); defer f.disturb(e.name)(); f.restart(e.process, syscall.SIGKILL) }
	case 5:
		return e, func() { f.stop(e) }
	case 6:
		return g, func() { defer f.disturb(g.name)(); f.replace(g, f.rng.IntN(2) == 0) }
	case 7:
		return "config", func() { f.configure() }
	}
	return "config", f.rollOut
}

// hide notes that an entry cannot hear of changes from now until the returned
// function is called.
func (f *faults) hide() (heard func()) {
	begun := time.Now()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.deaf = append(f.deaf, span{begun, time.Now()})
	}
}

// disturb notes that a process, or a link of its own, meets a fault from now
// until the returned function is called.
func (f *faults) disturb(name string) (over func()) {
	begun := time.Now()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbed[name] = append(f.disturbed[name], span{begun, time.Now()})
	}
}

func (f *faults) link(name string, p *Proxy, m Mode, d time.Duration) {
	f.note("link to %s in mode %d for %v", name, m, d)
	p.Set(m)
	time.Sleep(d)
	p.Set(Pass)
}

func (f *faults) pause(p *process, d time.Duration) {
	f.note("%s paused for %v", p.name, d)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (f *faults) restart(p *process, s syscall.Signal) {
	f.note("%s gets %v and starts again", p.name, s)
	p.signal(s)
	p.wait(f.c.grace)
	if err := p.start(f.c.log(p.name)); err != nil {
		f.note("%s does not start: %v", p.name, err)
	}
}

// replace ends an engine, by a kill or a planned stop, and starts a new one.
func (f *faults) replace(g *engine, planned bool) {
	f.note("%s is replaced, planned: %v", g.name, planned)
	f.mu.Lock()
	f.engine++
	n := 100 + f.engine
	f.mu.Unlock()
	if err := f.c.addEngine(n, g.service, "v1"); err != nil {
		f.note("no engine in its place: %v", err)
	}
	s := syscall.SIGKILL
	if planned {
		s = syscall.SIGTERM
	}
	g.signal(s)
	g.wait(servesOn + endsAfter)
}

func (f *faults) configure() {
	f.note("configuration changes")
	if err := f.c.configure(); err != nil {
		f.note("configuration not confirmed: %v", err)
	}
}

// rollOut orders a version whose engines are there or not.
func (f *faults) rollOut() {
	f.mu.Lock()
	f.orders++
	target := fmt.Sprintf("v%d", 1+f.orders%2)
	f.mu.Unlock()
	f.note("roll-out of %s", target)
	order := fmt.Sprintf(`{"service":%q,"target":%q,"duration_s":4}`, service, target)
	if _, err := f.c.client.Put(context.Background(), "op/rollout/"+service, []byte(order), 0); err != nil {
		f.note("order not confirmed: %v", err)
	}
}
