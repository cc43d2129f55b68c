package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashAfter ends endpoints under a request one after the other.
func (e *entry) crashAfter(s Subject, from, to int, stage Stage) {
	for n := from; n < to; n++ {
		e.clock.Advance(answeredSpan)
		e.Crashed(s, endpoint(n), 1, stage)
	}
	e.clock.Advance(silence + settleDelay)
	e.Tick(context.Background())
}

// Guards against a request that was answered before it began to crash endpoints being sent on and on.
func TestAnAnsweredRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for _, stage := range []Stage{Waiting, Started} {
		t.Run(stage.String(), func(t *testing.T) {
			is := is.New(t)
			e, other := newIsolatedEntry(t), newIsolatedEntry(t)
			s := Subject{Request: crashing}
			e.Served(s, 1, e.Clock.Now())
			other.Served(s, 1, other.Clock.Now())
			other.clock.Advance(5 * time.Second)
			e.crashAfter(s, 0, answeredUnbegun, stage)
			is.True(e.Check(s).Quarantined)
			requests, parts := e.Message()
			other.MergeMessage("other", requests, parts)
			other.clock.Advance(silence + settleDelay)
			other.Tick(context.Background())
			is.True(other.Check(s).Quarantined)
			e.Served(s, 1, e.Clock.Now()) // it was under way
			is.True(!e.Check(s).Quarantined)
		})
	}
}

// Guards against refusing a popular request, or one with a popular part, that endpoints go on answering between crashes.
func TestAnAnsweredRequestThatIsAnsweredBetweenCrashesIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	s := Subject{Request: bystander, Parts: []Fingerprint{firstPart}}
	e.Served(s, 1, e.Clock.Now())
	for n := range 12 {
		if n%3 == 0 {
			e.clock.Advance(time.Millisecond)
			e.Passed(s, 1, Waiting, e.Clock.Now())
		}
		e.crashAfter(s, n, n+1, Waiting)
		is.True(!e.Check(s).Quarantined)
	}
}

// Guards against an answer that looks younger each time that entries tell each other of it, until it clears later crashes.
func TestTheAgeOfAnAnswerDoesNotShrinkBetweenEntries(t *testing.T) {
	is := is.New(t)
	a, b := newIsolatedEntry(t), newIsolatedEntry(t)
	s := Subject{Request: 1, Parts: []Fingerprint{deadlyPart}}
	begun := a.Clock.Now()
	a.Answering(s, 1, begun)
	for range 50 {
		for _, pair := range [][2]*entry{{a, b}, {b, a}} {
			answers := pair[0].answersLocked(deadlyPart, true, pair[0].Clock.Now())
			a.clock.Advance(10 * time.Millisecond) // on the way
			b.clock.Advance(10 * time.Millisecond)
			pair[1].Merge("other", []SuspectReport{{Fingerprint: deadlyPart, Part: true, Answers: answers}})
		}
	}
	at, _ := a.cleared.at(deadlyPart, 1)
	is.True(at.Sub(begun) <= heardTolerance)
}

// Guards against refusing a part for good that was recorded by mistake while an endpoint was answering it.
func TestARecordIsOutdatedByAnAnswerThatWasUnderWay(t *testing.T) {
	is := is.New(t)
	e := newIsolatedEntry(t)
	e.learn()
	begun := e.Clock.Now()
	crashTwice(e.Table)
	e.clock.Advance(settleTime)
	e.Tick(context.Background())
	e.sync()
	is.True(e.Check(subject(9)).Quarantined)
	e.clock.Advance(time.Second)
	e.Answering(subject(3), 1, begun.Add(time.Millisecond))
	is.True(!e.Check(subject(9)).Quarantined)
}
