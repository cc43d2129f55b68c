package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// delayedGroup is a group whose reports take time, and may be lost.
type delayedGroup struct {
	*group
	delay time.Duration
	loss  float64
	rng   *rand.Rand
	queue map[int][]func() // deliveries, by step
	step  int
	got   []int // requests that the endpoint got, by step
}

const simStep = 10 * time.Millisecond

// after runs f after the delay of a report, unless it is lost.
func (g *delayedGroup) after(f func()) {
	if g.rng.Float64() < g.loss {
		return
	}
	at := g.step + max(1, int(g.delay/simStep))
	g.queue[at] = append(g.queue[at], f)
}

// request lets one entry send a request if the limit allows it. A question and its answer each take
// the delay; where either is lost, the entry has no answer after askTimeout.
func (g *delayedGroup) request(entry int, limit float64) {
	l := g.all[entry]
	if l.Wait(ep, g.headroom) > 0 {
		return
	}
	taken, q := l.begin(ep, g.headroom)
	if taken {
		g.send(entry, limit)
	}
	if q == nil {
		return
	}
	settled := false
	settle := func(v Verdict, err error) {
		if settled {
			return
		}
		settled = true
		l.settle(q, v, err)
		if err == nil && v.Granted {
			g.send(entry, limit)
		}
	}
	timeout := g.step + int(askTimeout/simStep)
	g.queue[timeout] = append(g.queue[timeout], func() { settle(Verdict{}, errUnreachable) })
	g.after(func() {
		for _, owner := range g.all {
			if owner.Instance == q.owner.Instance {
				v := owner.Grant(q.Ask)
				g.after(func() { settle(v, nil) })
			}
		}
	})
}

func (g *delayedGroup) send(entry int, limit float64) {
	g.got[g.step]++
	g.all[entry].Observe(ep, limit)
}

// report sends the reports of one entry to all others.
func (g *delayedGroup) report(entry int) {
	from, reports := g.all[entry].Instance, g.all[entry].Reports()
	for to, l := range g.all {
		if to != entry {
			g.after(func() { l.ReceiveReports(from, reports, true) })
		}
	}
}

// run simulates requests per second for some time, a part of the entries getting most of them.
func (g *delayedGroup) run(d time.Duration, limit, perSecond float64) {
	steps := int(d / simStep)
	g.got = make([]int, steps)
	for g.step = range steps {
		for _, f := range g.queue[g.step] {
			f()
		}
		delete(g.queue, g.step)
		for expected := perSecond * simStep.Seconds(); g.rng.Float64() < expected; expected-- {
			g.request(int(float64(len(g.all))*g.rng.Float64()*g.rng.Float64()), limit)
		}
		interval := 100 // steps, of large fleets
		if len(g.all) <= maxEntriesSharing {
			interval = 25
		}
		for i := range g.all {
			if g.step%interval == i%interval {
				g.report(i)
			}
		}
		g.clock.Advance(simStep)
	}
}

// learnTime is how long it may take until all entries know a limit.
const learnTime = 4 * time.Second

// Guards against entries that use a limited endpoint at the same moment, before they hear of each other.
func TestLimitHoldsWhileReportsAreUnderWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.4, 8).Draw(t, "limit")
		g := &delayedGroup{group: newGroup(rapid.IntRange(2, 60).Draw(t, "entries"), 1), queue: map[int][]func(){},
			delay: time.Duration(rapid.IntRange(10, 100).Draw(t, "delay_ms")) * time.Millisecond,
			loss:  rapid.SampledFrom([]float64{0, 1.0 / 3}).Draw(t, "loss"),
			rng:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		g.headroom = rapid.SampledFrom([]float64{0, LightHeadroom}).Draw(t, "headroom")
		perSecond := rapid.Float64Range(max(20, 3*limit), 600).Draw(t, "per_second")
		for _, l := range g.all {
			l.Observe(ep, limit)
		}
		g.run(64*time.Second, limit, perSecond)
		settled := g.got[int(learnTime/simStep):]
		if m := maxInWindow(settled); m > maxAllowed(limit) {
			t.Fatalf("%d in four seconds, %d allowed", m, maxAllowed(limit))
		}
		if used := float64(sum(settled)); used > 1.1*limit*60 {
			t.Fatalf("%g in a minute, the limit is %g", used, limit*60)
		}
		if used := float64(sum(settled)); g.loss == 0 && used < 0.9*limit*60 {
			t.Fatalf("%g of %g used", used, limit*60)
		}
	})
}
