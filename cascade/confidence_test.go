package cascade

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// asks reports whether a larger model is asked.
func (l Ladder) asks(confidence int, o Outlook) bool { return l.Judge(confidence, o) == Ask }

func calm() Outlook {
	return Outlook{First: 200 * time.Millisecond, Objective: 2 * time.Second}
}

func TestADoubtedAnswerIsDroppedOnACalmDay(t *testing.T) {
	is := is.New(t)
	l := Ladder{Doubt: DefaultDoubt}
	is.True(l.asks(DefaultDoubt-1, calm()))
	is.True(!l.asks(DefaultDoubt, calm()))
}

// Symptom: on a day when half of the engines have crashed, all answers are late.
// Events: the others are full; two answers in five are dropped for the largest
// model's, which runs for seconds and slows whatever runs beside it.
// The fuller the engines, the surer an answer must be poor to be dropped.
func TestDoubtFallsAsTheEnginesFill(t *testing.T) {
	is := is.New(t)
	l := Ladder{Doubt: DefaultDoubt}
	o := calm()
	o.Busy = (easilyBusy + mostBusy) / 2
	is.True(!l.asks(DefaultDoubt-1, o))
	is.True(l.asks(DefaultDoubt/2-1, o))
	o.Busy = mostBusy
	is.True(!l.asks(0, o))
}

// Neither more time taken, nor a longer wait, nor fuller engines ever make an
// answer worth dropping that was not.
func TestHurryNeverMakesAnAnswerWorthDropping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ladder{Doubt: DefaultDoubt}
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
		}
		o := Outlook{Elapsed: ms("elapsed"), Wait: ms("wait"), First: ms("first"), Objective: 2 * time.Second, Busy: rapid.Float64Range(0, 2).Draw(t, "busy")}
		worse := o
		worse.Elapsed += ms("more_elapsed")
		worse.Wait += ms("more_wait")
		worse.Busy += rapid.Float64Range(0, 1).Draw(t, "more_busy")
		confidence := rapid.IntRange(0, 100).Draw(t, "confidence")
		if l.asks(confidence, worse) && !l.asks(confidence, o) {
			t.Fatalf("dropped at %+v but not at %+v", worse, o)
		}
	})
}
