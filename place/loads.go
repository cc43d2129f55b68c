package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
)

// What entries know of the requests that run at an endpoint. An endpoint tells its
// load with its answers. In a large fleet an entry with a few requests a second
// hears of few endpoints by itself, and of these what was so a second ago; so
// entries tell each other what they have heard, and an entry takes its own
// knowledge for as uncertain as it turns out to be.
const (
	// loadTold is how long a load that an endpoint told is passed on to others: until
	// they have been told once, as entries of a large fleet are every second at least.
	loadTold = time.Second
	// usualGain and errorGain are the weights of one told load in what is usual and
	// in how far off this entry's knowledge is: some twenty count, a few seconds of
	// a small entry's.
	usualGain = 0.05
	errorGain = 0.05
	// spreadErrors times the usual error, to either side of what is expected, may be
	// an endpoint's load. With one all entries still choose the same endpoint out of
	// many; with several what is known hardly counts.
	spreadErrors = 2
	// tellGrowth more work outstanding is worth telling at once: that is a long
	// prompt, or any of a large model. Short ones are read before others act on it.
	tellGrowth = 40 * time.Millisecond
)

// ToldLoad is the load that an endpoint told an entry, as entries pass it on.
type ToldLoad struct {
	Endpoint uint32 // its short id
	Running  int
	Waiting  int
	Age      time.Duration
}

// service is what the board knows of all endpoints of a service together.
type service struct {
	// busy is how many requests run and wait, in parts of the slots, as endpoints
	// told this entry with their answers.
	busy float64
	// usual is how many run and wait at one endpoint, as they told any entry.
	usual float64
	// off is by how many requests what an endpoint told differed from what was
	// expected of it, on average.
	off float64
	// wait is by how much first events came later than their own prompts took, in
	// seconds, as this entry saw with its last answers.
	wait  float64
	heard bool
}

func (b *Board) serviceLocked(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// took notes how many requests an endpoint of the service told.
func (s *service) took(requests float64) {
	gain := usualGain
	if !s.heard {
		gain, s.heard = 1, true
	}
	s.usual += gain * (requests - s.usual)
}

// Waited notes by how much the first event of an answer of the service came later than
// its own prompt took.
func (b *Board) Waited(name string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(name)
	s.wait += busyGain * (max(0, wait.Seconds()) - s.wait)
}

// UsualWait is how long requests of the service waited for others of late. The work that
// is known to be outstanding is not all: engines that read prompts all the time keep
// every request waiting, however few run there.
func (b *Board) UsualWait(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.serviceLocked(name).wait * float64(time.Second))
}

// Reports returns the loads that endpoints told this entry of late, for others to
// be told, in the order of their endpoints.
func (b *Board) Reports() []ToldLoad {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ToldLoad
	for id, r := range b.byID {
		age := now.Sub(r.reported)
		if !r.own || age > loadTold {
			continue
		}
		out = append(out, ToldLoad{Endpoint: ShortID(id), Running: r.report.Running, Waiting: r.report.Waiting, Age: age})
	}
	slices.SortFunc(out, func(a, b ToldLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// HearLoads takes the loads that endpoints told another entry. What is newer than
// this entry's own knowledge replaces it.
func (b *Board) HearLoads(told []ToldLoad) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range told {
		r := b.byID[b.short[t.Endpoint]]
		at := now.Add(-t.Age)
		if r == nil || !at.After(r.reported) {
			continue
		}
		b.serviceLocked(r.service).took(float64(t.Running + t.Waiting))
		r.report = call.Load{Running: t.Running, Waiting: t.Waiting}
		r.reported, r.since, r.own = at, 0, false
	}
}

// expectedLocked is how many requests run and wait at an endpoint, as far as can be
// told: what was heard last tends to what is usual as it ages, and where nothing was
// heard the usual is all there is. Taken for idle, an endpoint of which nothing is
// known would get the next request of all entries.
func (b *Board) expectedLocked(r *record, now time.Time) float64 {
	usual := b.serviceLocked(r.service).usual
	load := usual
	if age := now.Sub(r.reported); age < reportLife {
		fresh := 1 - float64(age)/float64(reportLife)
		load += fresh * (float64(r.report.Running+r.report.Waiting+r.since) - usual)
	}
	return max(load, float64(r.inFlight))
}

// learnErrorLocked notes by how much an endpoint's load differs from what was
// expected of it.
func (b *Board) learnErrorLocked(r *record, load call.Load, now time.Time) {
	s := b.serviceLocked(r.service)
	told := float64(load.Running + load.Waiting)
	if s.heard {
		s.off += errorGain * (math.Abs(told-b.expectedLocked(r, now)) - s.off)
	}
	s.took(told)
}

// supposedLocked is the load that the choice of an endpoint goes by: one of those that
// it may have, drawn anew each time. All entries hear that the same engine has little to
// do, and all would send to it until they hear that it has too much. By how much an
// entry was wrong of late tells how wide to spread.
func (b *Board) supposedLocked(ep fleet.Endpoint, now time.Time) float64 {
	r := b.ofLocked(ep, now)
	off := (2*b.random.Float64() - 1) * spreadErrors * b.serviceLocked(ep.Service).off
	return max(float64(r.inFlight), b.expectedLocked(r, now)+off)
}
