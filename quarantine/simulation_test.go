package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
)

// Load of the simulation: a request that crashes engines arrives several times a second, at
// any entry, among many normal requests.
const (
	simStep           = 10 * time.Millisecond
	simDuration       = 12 * time.Second
	simEntries        = 8
	simEngines        = 9
	engineRestart     = 4 * time.Second // downtime of an engine after a crash
	normalPerStep     = 0.4             // normal requests per step
	crashingPerStep   = 0.03            // arrivals of the crashing request per step
	maxNormalDuration = 3 * time.Second
	maxAttempts       = 3
	exchangeEvery     = 30 // steps between regular exchanges of an entry
)

// run is a request at an engine. Times are since the start of the simulation.
type run struct {
	fingerprint                   Fingerprint
	entry, engine                 int
	arrived, headAt, firstEventAt time.Duration // at the engine; of the head; of the first event
	endsAt                        time.Duration
	attempts                      int
}

// simulation models entries as tables, and engines by the runs that are in flight at them.
type simulation struct {
	rng          *rand.Rand
	clock        *clockwork.FakeClock
	now          time.Duration
	tables       []*Table
	runs         []*run
	upAt         []time.Duration // when each engine serves again
	boots        int
	names        []fleet.EndpointID
	lastNormal   Fingerprint
	crashes      int
	lateCrashes  int // crashes more than 3 s after the third, when all entries know of it
	thirdCrashAt time.Duration
	refused      map[Fingerprint]bool // normal requests that were refused
	crashStage   Stage                // reached by the crashing request
}

func newSimulation(seed uint64, crashStage Stage) *simulation {
	s := &simulation{crashStage: crashStage, rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), lastNormal: 1000, refused: map[Fingerprint]bool{}}
	for range simEntries {
		s.tables = append(s.tables, New(Deps{Clock: s.clock, Log: discardLog}))
	}
	for range simEngines {
		s.upAt, s.names = append(s.upAt, 0), append(s.names, s.nextName())
	}
	return s
}

func (s *simulation) nextName() fleet.EndpointID {
	s.boots++
	return fleet.EndpointID(fmt.Sprintf("b%d", s.boots))
}

// send sends a request to an engine that is up, unless its entry has quarantined it.
func (s *simulation) send(r run) {
	if s.tables[r.entry].Check(Subject{Request: r.fingerprint}).Quarantined {
		if r.fingerprint != crashing {
			s.refused[r.fingerprint] = true
		}
		return
	}
	var up []int
	for i, at := range s.upAt {
		if s.now >= at {
			up = append(up, i)
		}
	}
	if len(up) == 0 || r.attempts >= maxAttempts {
		return
	}
	r.attempts++
	r.engine, r.arrived = up[s.rng.IntN(len(up))], s.now
	r.headAt = s.now + time.Duration(20+s.rng.IntN(200))*time.Millisecond
	r.firstEventAt = r.headAt + time.Duration(s.rng.IntN(40))*time.Millisecond
	r.endsAt = r.firstEventAt + time.Duration(s.rng.Int64N(int64(maxNormalDuration)))
	if r.fingerprint == crashing {
		r.endsAt = r.headAt + 50*time.Millisecond // crashes its engine
	}
	s.runs = append(s.runs, &r)
}

func (s *simulation) stage(r *run) Stage {
	switch {
	case s.now < r.headAt:
		return Waiting
	case r.fingerprint == crashing:
		return s.crashStage
	case s.now < r.firstEventAt:
		return Started
	}
	return Running
}

// crash crashes an engine: all its runs are interrupted and sent elsewhere.
func (s *simulation) crash(engine int) {
	s.crashes++
	if s.crashes == 3 {
		s.thirdCrashAt = s.now
	}
	if s.crashes > 3 && s.now > s.thirdCrashAt+3*time.Second {
		s.lateCrashes++
	}
	var remaining, interrupted []*run
	for _, r := range s.runs {
		if r.engine == engine {
			interrupted = append(interrupted, r)
		} else {
			remaining = append(remaining, r)
		}
	}
	s.runs = remaining
	for _, r := range interrupted {
		crashed(s.tables[r.entry], r.fingerprint, s.names[engine], s.stage(r))
	}
	s.upAt[engine], s.names[engine] = s.now+engineRestart, s.nextName()
	for _, r := range interrupted {
		s.send(*r)
	}
}

// step simulates simStep.
func (s *simulation) step(n int) {
	for s.rng.Float64() < normalPerStep {
		s.lastNormal++
		s.send(run{fingerprint: s.lastNormal, entry: s.rng.IntN(simEntries)})
	}
	if s.rng.Float64() < crashingPerStep {
		s.send(run{fingerprint: crashing, entry: s.rng.IntN(simEntries)})
	}
	for _, r := range s.runs {
		if r.fingerprint == crashing && s.now >= r.endsAt {
			s.crash(r.engine)
			break // other runs that are due end in the next step
		}
	}
	var remaining []*run
	for _, r := range s.runs {
		if r.fingerprint != crashing && s.now >= r.endsAt {
			s.tables[r.entry].Served(Subject{Request: r.fingerprint}, 0, s.clock.Now().Add(r.headAt-s.now))
			continue
		}
		remaining = append(remaining, r)
	}
	s.runs = remaining
	for i, t := range s.tables {
		partners := 0
		select {
		case <-t.Updates():
			partners = 3
		default:
		}
		if n%exchangeEvery == i {
			partners = max(partners, 1)
		}
		for range partners {
			other := s.tables[s.rng.IntN(simEntries)]
			other.Merge("other", t.Reports())
			t.Merge("other", other.Reports())
		}
	}
	s.now += simStep
	s.clock.Advance(simStep)
}

// Guards against refusing normal requests because many engines crash within a second, and
// against engines that go on crashing after the cause is known.
func TestRepeatedCrashesQuarantineOnlyTheCause(t *testing.T) {
	const seeds = 60
	for stage := Waiting; stage <= Running; stage++ {
		t.Run(stage.String(), func(t *testing.T) {
			is := is.New(t)
			crashes, refused, sent := 0, 0, 0
			for seed := range uint64(seeds) {
				s := newSimulation(seed, stage)
				for n := range int(simDuration / simStep) {
					s.step(n)
				}
				crashes += s.crashes
				refused += len(s.refused)
				sent += int(s.lastNormal) - 1000
				is.True(s.lateCrashes <= 3) // at most three once all entries know of it
			}
			t.Logf("%d simulations: %.1f crashes each, %d of %d normal requests refused", seeds, float64(crashes)/seeds, refused, sent)
			is.True(refused*1000 <= sent)
		})
	}
}
