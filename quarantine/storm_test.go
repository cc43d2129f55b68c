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

// The load of a storm: a request that crashes engines comes several times a second, at any
// entry, among many that do not.
const (
	stormStep     = 10 * time.Millisecond
	stormLasts    = 12 * time.Second
	stormEntries  = 8
	stormEngines  = 9
	stormBack     = 4 * time.Second // an engine that crashed is back after
	lawfulEach    = 0.4             // lawful requests a step
	poisonEach    = 0.03            // arrivals of the other a step
	longestLawful = 3 * time.Second
	mostAttempts  = 3
	toldEvery     = 30 // steps between regular exchanges of an entry
)

// visit is a request at an engine.
type visit struct {
	f                     Fingerprint
	entry, engine         int
	begun, starts, events time.Duration // of the storm: when it came, its head, its first event
	ends                  time.Duration
	attempts              int
}

// storm is one play: entries as tables, engines as what is there.
type storm struct {
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	now     time.Duration
	tables  []*Table
	visits  []*visit
	back    []time.Duration // when each engine serves
	boots   int
	name    []fleet.EndpointID
	lawful  Fingerprint
	crashes int
	late    int // crashes after all had time to hear of three
	third   time.Duration
	refused map[Fingerprint]bool // lawful ones
	shows   Stage                // how far the one that crashes engines comes
}

func newStorm(seed uint64, shows Stage) *storm {
	s := &storm{shows: shows, rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), lawful: 1000, refused: map[Fingerprint]bool{}}
	for range stormEntries {
		s.tables = append(s.tables, New(Deps{Clock: s.clock, Log: quiet}))
	}
	for range stormEngines {
		s.back, s.name = append(s.back, 0), append(s.name, s.nextName())
	}
	return s
}

func (s *storm) nextName() fleet.EndpointID {
	s.boots++
	return fleet.EndpointID(fmt.Sprintf("b%d", s.boots))
}

// send sends a request to an engine that serves, if its entry lets it.
func (s *storm) send(v visit) {
	if s.tables[v.entry].Check(v.f).Quarantined {
		if v.f != guilty {
			s.refused[v.f] = true
		}
		return
	}
	var up []int
	for i, at := range s.back {
		if s.now >= at {
			up = append(up, i)
		}
	}
	if len(up) == 0 || v.attempts >= mostAttempts {
		return
	}
	v.attempts++
	v.engine, v.begun = up[s.rng.IntN(len(up))], s.now
	v.starts = s.now + time.Duration(20+s.rng.IntN(200))*time.Millisecond
	v.events = v.starts + time.Duration(s.rng.IntN(40))*time.Millisecond
	v.ends = v.events + time.Duration(s.rng.Int64N(int64(longestLawful)))
	if v.f == guilty {
		v.ends = v.starts + 50*time.Millisecond // its engine's end
	}
	s.visits = append(s.visits, &v)
}

func (s *storm) stage(v *visit) Stage {
	switch {
	case s.now < v.starts:
		return Waiting
	case v.f == guilty:
		return s.shows
	case s.now < v.events:
		return Started
	}
	return Running
}

// crash ends an engine: all that is there breaks off, and is sent elsewhere.
func (s *storm) crash(engine int) {
	s.crashes++
	if s.crashes == 3 {
		s.third = s.now
	}
	if s.crashes > 3 && s.now > s.third+3*time.Second {
		s.late++
	}
	var stay, broken []*visit
	for _, v := range s.visits {
		if v.engine == engine {
			broken = append(broken, v)
		} else {
			stay = append(stay, v)
		}
	}
	s.visits = stay
	for _, v := range broken {
		s.tables[v.entry].Crashed(v.f, s.name[engine], s.stage(v))
	}
	s.back[engine], s.name[engine] = s.now+stormBack, s.nextName()
	for _, v := range broken {
		s.send(*v)
	}
}

// step plays a moment.
func (s *storm) step(n int) {
	for s.rng.Float64() < lawfulEach {
		s.lawful++
		s.send(visit{f: s.lawful, entry: s.rng.IntN(stormEntries)})
	}
	if s.rng.Float64() < poisonEach {
		s.send(visit{f: guilty, entry: s.rng.IntN(stormEntries)})
	}
	for _, v := range s.visits {
		if v.f == guilty && s.now >= v.ends {
			s.crash(v.engine)
			break // what else is due ends a moment later
		}
	}
	var stay []*visit
	for _, v := range s.visits {
		if v.f != guilty && s.now >= v.ends {
			s.tables[v.entry].Served(v.f)
			continue
		}
		stay = append(stay, v)
	}
	s.visits = stay
	for i, t := range s.tables {
		partners := 0
		select {
		case <-t.News():
			partners = 3
		default:
		}
		if n%toldEvery == i {
			partners = max(partners, 1)
		}
		for range partners {
			other := s.tables[s.rng.IntN(stormEntries)]
			other.Hear(t.Tell())
			t.Hear(other.Tell())
		}
	}
	s.now += stormStep
	s.clock.Advance(stormStep)
}

// Guards against lawful requests refused because many engines crash within a second, and engines lost until that is over.
func TestAStormOfCrashesIsShortAndLawfulRequestsAreServed(t *testing.T) {
	const seeds = 60
	for shows := Waiting; shows <= Running; shows++ {
		t.Run(shows.String(), func(t *testing.T) {
			is := is.New(t)
			crashes, refused, sent := 0, 0, 0
			for seed := range uint64(seeds) {
				s := newStorm(seed, shows)
				for n := range int(stormLasts / stormStep) {
					s.step(n)
				}
				crashes += s.crashes
				refused += len(s.refused)
				sent += int(s.lawful) - 1000
				is.True(s.late <= 3) // no more than three once it is known
			}
			t.Logf("%d storms: %.1f crashes each, %d of %d lawful requests refused", seeds, float64(crashes)/seeds, refused, sent)
			is.True(refused*1000 <= sent)
		})
	}
}
