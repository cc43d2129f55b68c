package place

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/fleet"
)

// reportedEndpoints returns endpoints of 16 slots that have reported a load of the same number of
// requests and the given figures (0: none).
func reportedEndpoints(b *Board, running int, percents ...int) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i, percent := range percents {
		ep := fleet.Endpoint{ID: fleet.EndpointID([]string{"a", "b", "c", "d"}[i]), Service: "s", Domain: "d0", Slots: 16}
		ticket := b.Begin(ep, 0)
		ticket.HeadReceived(&call.Load{Running: running, Slots: 16, SlowdownPercent: percent})
		ticket.FirstEvent()
		ticket.End(Served)
		out = append(out, ep)
	}
	return out
}

func scores(ranked []Ranked) map[fleet.EndpointID]time.Duration {
	out := map[fleet.EndpointID]time.Duration{}
	for _, r := range ranked {
		out[r.ID] = r.Score
	}
	return out
}

// Guards against a slow endpoint being sent as much as a quick one: the wait, the request's own time and
// the taken slots count as long as they take there, each once.
func TestScoreTakesFactor(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := newSimBoard(clock, 1)
	eps := reportedEndpoints(b, 0, 70, 170)
	for _, ep := range eps {
		b.Begin(ep, time.Second)
	}
	got := scores(b.Rank(eps, Request{Domain: "d0", OwnTime: time.Second}))
	is.Equal(b.Standing("a").Wait, 700*time.Millisecond)
	is.Equal(b.Standing("b").Wait, 1700*time.Millisecond)
	// One of 16 slots is taken.
	taken := scaled(busyPenalty, figuresBusyShare/(16*16*16))
	// The penalty for taken slots is not lowered by a figure under 100.
	is.True((got["a"] - scaled(2*time.Second, 0.7) - taken).Abs() < 10*time.Microsecond)
	is.True((got["b"] - scaled(2*time.Second+taken, 1.7)).Abs() < 10*time.Microsecond)
}

// Guards against a full endpoint being chosen for a low figure, and against figures without bounds.
func TestScoreBoundsFactor(t *testing.T) {
	is := is.New(t)
	b := newSimBoard(clockwork.NewFakeClock(), 1)
	eps := reportedEndpoints(b, 16, 1, 100, 10000)
	for _, ep := range eps {
		b.Begin(ep, time.Second)
	}
	got := scores(b.Rank(eps, Request{Domain: "d0"}))
	is.Equal(got["b"]-got["a"], 800*time.Millisecond)
	is.Equal(b.Standing("a").Wait, 200*time.Millisecond)
	is.Equal(b.Standing("c").Wait, 5*time.Second)
}

// Guards against the work that other entries reported counting at factor 1, or the time since counting
// more than once.
func TestPeerWorkTakesFactor(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := newSimBoard(clock, 1)
	reportedEndpoints(b, 0, 200)
	b.ReceiveWork("other", map[uint32]time.Duration{ShortID("a"): 400 * time.Millisecond})
	clock.Advance(50 * time.Millisecond)
	is.Equal(b.Standing("a").Wait, 750*time.Millisecond)
}

// Guards against a long prompt going to an engine where it makes many streams late, while there is one
// with few streams.
func TestLongPromptsAvoidStreams(t *testing.T) {
	is := is.New(t)
	b := newSimBoard(clockwork.NewFakeClock(), 1)
	quick, slow := reportedEndpoints(b, 6, 100)[0], fleet.Endpoint{ID: "z", Service: "s", Domain: "d0", Slots: 16}
	slowTicket := b.Begin(slow, 0)
	slowTicket.HeadReceived(&call.Load{Running: 1, Slots: 16, SlowdownPercent: 130})
	req := Request{Domain: "d0", OwnTime: 1100 * time.Millisecond, ReadTime: 1100 * time.Millisecond, MaxPause: 1200 * time.Millisecond}
	is.Equal(b.Rank([]fleet.Endpoint{quick, slow}, req)[0].ID, slow.ID)
	req.OwnTime, req.ReadTime = 100*time.Millisecond, 100*time.Millisecond
	is.Equal(b.Rank([]fleet.Endpoint{quick, slow}, req)[0].ID, quick.ID)
}

// Guards against streams that pause as soon as they have begun, at an engine that reads a long prompt.
func TestStreamsAvoidLongPrompts(t *testing.T) {
	is := is.New(t)
	b := newSimBoard(clockwork.NewFakeClock(), 1)
	eps := reportedEndpoints(b, 2, 100, 100)
	b.Begin(eps[0], 1200*time.Millisecond)
	req := Request{Domain: "d0", OwnTime: 20 * time.Millisecond, ReadTime: 10 * time.Millisecond}
	plain := scores(b.Rank(eps, req))
	req.MaxPause = 1200 * time.Millisecond
	streams := scores(b.Rank(eps, req))
	is.True(streams["a"]-plain["a"] > 500*time.Millisecond)
	is.Equal(streams["b"], plain["b"])
}

// Guards against a change for endpoints that report no slowdown: the score is as without the times that
// the request takes, up to a constant that is the same for all.
func TestScoreWithoutFiguresIsUnchanged(t *testing.T) {
	is := is.New(t)
	rank := func(req Request) []Ranked {
		b := newSimBoard(clockwork.NewFakeClock(), 1)
		eps := reportedEndpoints(b, 9, 0, 0, 0, 0)
		b.Begin(eps[1], 300*time.Millisecond)
		b.Begin(eps[2], 900*time.Millisecond)
		b.ReceiveWork("other", map[uint32]time.Duration{ShortID("c"): 400 * time.Millisecond})
		req.Domain, req.SharedTokens, req.PrefillTime, req.Affinity = "d0", 2000, 60*time.Millisecond, 77
		return b.Rank(eps, req)
	}
	const own = 700 * time.Millisecond
	before, after := rank(Request{}), rank(Request{OwnTime: own, ReadTime: own, MaxPause: 1200 * time.Millisecond})
	is.Equal(len(before), 4)
	for i := range before {
		is.Equal(after[i].ID, before[i].ID)
		is.Equal(after[i].Score, before[i].Score+own)
		is.Equal(after[i].Standing, before[i].Standing)
	}
}

// Guards against other entries learning of a slow period after it has ended, and against a message for
// each report.
func TestChangedSlowdownIsSignalled(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := newSimBoard(clock, 1)
	signalled := func(percent int) bool {
		b.Begin(fleet.Endpoint{ID: "a"}, 0).HeadReceived(&call.Load{Slots: 16, SlowdownPercent: percent})
		select {
		case <-b.WorkGrew():
			t.Error("signalled as long work")
			return false
		case <-b.SlowdownChanged():
			return true
		default:
			return false
		}
	}
	is.True(!signalled(70))
	is.True(!signalled(72))
	is.True(signalled(175))
	is.True(!signalled(175))
	is.True(signalled(70))
	is.True(!signalled(0))
}

// Guards against idle plain endpoints being taken for equal when one of them takes longer.
func TestPlainTimeTakesFactor(t *testing.T) {
	is := is.New(t)
	b := newSimBoard(clockwork.NewFakeClock(), 1)
	eps := reportedEndpoints(b, 0, 250, 100)
	is.Equal(b.PlainTime("s"), time.Duration(0))
	b.ObservePlainTime("s", 60*time.Millisecond)
	for range 20 {
		is.Equal(b.Rank(eps, Request{Domain: "d0", OwnTime: b.PlainTime("s")})[0].ID, eps[1].ID)
	}
}

// Guards against an endpoint with a long queue being chosen before one with a short queue: once all its
// streams were late, a request there seemed to cost none of them anything. The score falls only between
// the waits from which streams are likely late and from which they all are.
func TestLongQueueScoresHigherThanAnyShorter(t *testing.T) {
	is := is.New(t)
	ep := fleet.Endpoint{ID: "a", Service: "s", Domain: "d0", Slots: 16}
	const pause = 1200 * time.Millisecond
	for _, load := range []float64{0, 1, 6, 10, 16, 40} {
		for _, read := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 1100 * time.Millisecond, 5 * time.Second} {
			for _, factor := range []float64{0.2, 0.7, 1, 4.25} {
				req := Request{Domain: "d0", OwnTime: read, ReadTime: read, MaxPause: pause}
				var previous, highest time.Duration
				for wait := time.Duration(0); wait <= 20*time.Second; wait += 10 * time.Millisecond {
					s := Standing{Wait: wait, Factor: factor, HasFactor: true}
					v := score(&ep, s, load, req, false) + streamCost(s, load, req)
					if wait <= scaled(pause, lateFrom) || wait > scaled(pause, lateAt) {
						is.True(v >= previous)
					}
					if wait >= longQueueAt*pause {
						is.True(v > highest)
					}
					previous, highest = v, max(highest, v)
				}
			}
		}
	}
}

// Guards against an endpoint that fails most requests, or has just refused one, being chosen for having
// few streams: the costs of streams at the others exceed the penalties for failures and refusals.
func TestStreamCostsKeepFailuresAndRefusals(t *testing.T) {
	req := Request{Domain: "d0", OwnTime: 500 * time.Millisecond, ReadTime: 500 * time.Millisecond, MaxPause: 1200 * time.Millisecond}
	for name, end := range map[string]func(*Ticket){
		"failed": func(t *Ticket) {
			for range 5 { // to a failure rate of 0.56
				t.ended = false
				t.End(Failed)
			}
		},
		"refused": func(t *Ticket) { t.End(Refused) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newSimBoard(clockwork.NewFakeClock(), 1)
			eps := reportedEndpoints(b, 10, 100, 100, 100)
			idle := fleet.Endpoint{ID: "z", Service: "s", Domain: "d0", Slots: 16}
			ticket := b.Begin(idle, 0)
			ticket.HeadReceived(&call.Load{Slots: 16, SlowdownPercent: 100})
			for _, ep := range eps {
				b.Begin(ep, 400*time.Millisecond)
			}
			eps = append(eps, idle)
			is.Equal(b.Rank(eps, req)[0].ID, idle.ID)
			end(ticket)
			is.True(b.Rank(eps, req)[0].ID != idle.ID)
			// It is used where no other endpoint is left.
			is.Equal(b.Rank(eps[3:], req)[0].ID, idle.ID)
		})
	}
}
