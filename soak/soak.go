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
	Seed uint64
	For  time.Duration
	// Edge and Ctl are the programs to run.
	Edge, Ctl string
	// Dir keeps the processes' logs; it must exist.
	Dir              string
	Entries, Engines int
	Callers          int
	// Series: entries meet planned stops in series that overlap instead of
	// single faults of every kind.
	Series bool
	// Fragile: requests go to a service that one of them crashes the engines of, and whose
	// first engine names a limit.
	Fragile bool
}

// Report is what a soak came to.
type Report struct {
	Seed     uint64
	Requests int
	Answered map[string]int // by kind and status
	Stops    int            // planned stops of entries
	Crashes  int            // engines that a request crashed
	Faults   []string
	Findings []string
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return len(r.Findings) > 0 }

// settle is how long the cluster runs before faults, and without them at the
// end, so that what is in flight ends.
const settle = 1500 * time.Millisecond

// Run plays one soak.
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
	s := &callers{c: c, seed: o.Seed, series: o.Series, fragile: o.Fragile, marks: map[string]int64{}}
	f := &faults{c: c, rng: rand.New(rand.NewPCG(o.Seed, 0)), series: o.Series, disturbed: map[string][]span{}}
	supervising, stopEngines := context.WithCancel(context.Background())
	defer stopEngines()
	sup := &supervisor{c: c, f: f}
	if o.Fragile {
		sup.run(supervising, fragileEngines)
		time.Sleep(settle)
	}
	faulty, stopFaults := context.WithTimeout(context.Background(), o.For)
	defer stopFaults()
	calling, stopCalls := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.run(calling, o.Callers) }()
	stopped := make(chan struct{})
	go func() { defer close(stopped); f.stopInSeries(faulty, o.Seed) }()
	f.run(faulty)
	<-stopped
	time.Sleep(settle)
	stopCalls()
	<-ended
	stopEngines()
	sup.wg.Wait()
	return s.report(f)
}

// report checks what only shows at the end, from what the engines ran.
func (s *callers) report(f *faults) (*Report, error) {
	runs, err := s.c.runs()
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: s.seed, Requests: len(s.all), Answered: map[string]int{}, Stops: len(f.stops), Faults: f.played}
	for _, q := range s.all {
		r.Answered[fmt.Sprintf("%s %d", q.kind, q.status)]++
		once := !mayRepeat(q.kind)
		if once && runs.times[q.id] > 1 {
			s.found("%s (%s): ran %d times", q.id, q.kind, runs.times[q.id])
		}
		refused := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests
		if once && refused && runs.times[q.id] > 0 {
			s.found("%s (%s): refused with %d and has run", q.id, q.kind, q.status)
		}
		if q.late {
			s.found("%s (%s): no answer %v after its deadline", q.id, q.kind, requestSlack)
		}
	}
	for _, lost := range f.lostAtStops(s.all, runs) {
		s.found("%s", lost)
	}
	for _, late := range runs.afterLeaving(f.deaf) {
		s.found("%s: ran at %s %v after the store took that it leaves", late.id, late.engine, late.at.Sub(runs.left[late.engine]))
	}
	r.Crashes = len(runs.crashes())
	if why := runs.crashedTooOften(); why != "" {
		s.found("%s", why)
	}
	if why := runs.overLimit(s.c.fragile, f.ofEntries()); why != "" {
		s.found("%s", why)
	}
	sort.Strings(s.findings)
	r.Findings = s.findings
	return r, nil
}
