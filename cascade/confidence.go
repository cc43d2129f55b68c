package cascade

import "time"

// Ladder decides which of a route's models answers first, and whether an
// answer that its model doubts is dropped for one of a larger model.
//
// Small models are cheap and fast and answer easy requests as well as large
// ones do; how hard a request is shows only in the answer. So the smallest
// model goes first, and its answer is dropped before the caller has received
// any of it when the model itself doubts it.
//
// The load it answers: the largest model takes an engine's time many times
// over. When engines are behind, an answer of it comes late and makes others
// late; then only answers that are almost certainly poor are dropped.
type Ladder struct {
	// Doubt is the confidence, 0 to 100, below which an answer is dropped
	// while there is no hurry.
	Doubt int
}

// DefaultDoubt: see docs/CASCADES.md for what callers got at other values.
const DefaultDoubt = 50

// How doubt falls with the time there is.
const (
	// fullSlack of the objective left after the larger model's first event is
	// no hurry.
	fullSlack = 0.45
	// leastSlack: with less, a larger model's answer would be late, and the
	// one there is stands.
	leastSlack = 0.1
	// crowding times the wait counts: if there is one at the best engine there
	// is one at all, and whatever is added makes others wait as well.
	crowding = 3
	// easilyBusy and mostBusy, in parts of the engines' slots, are where doubt
	// begins to fall and where nothing is dropped any more. While engines have slots
	// to spare, streams hardly slow each other for callers: with all slots of twelve
	// taken an event comes every 57 ms rather than every 24, where pauses of a second
	// are on time. Without a slot a request waits for a whole stream to end, and those
	// of the largest model go on for seconds.
	easilyBusy = 0.7
	mostBusy   = 1.1
)

// Verdict is what is decided of an answer that its model doubts.
type Verdict string

// Verdicts.
const (
	// Ask: a larger model is asked.
	Ask Verdict = "asked"
	// NoTime: its answer would be late.
	NoTime Verdict = "no time"
	// NoRoom: it may be worth it, but not at engines as busy as they are.
	NoRoom Verdict = "engines busy"
	// Suspect: endpoints crashed while the request was there.
	Suspect Verdict = "endpoints crashed under it"
	// NoRepeat: the budget of repeats is used up, or all runs are.
	NoRepeat Verdict = "no repeat"
)

// Outlook is what a larger model's answer would take.
type Outlook struct {
	Elapsed   time.Duration // since the request came
	Wait      time.Duration // for others, at the engine that would take it or as usual
	First     time.Duration // from then to the larger model's first event
	Objective time.Duration
	// Busy is how many requests run and wait at the service's engines, in parts
	// of their slots, as they told of late.
	Busy float64
}

// room is how much there is for a large model's answer: 1 where the engines are
// not busy, 0 where they have more than they can run.
func (o Outlook) room() float64 {
	return min(1, max(0, (mostBusy-o.Busy)/(mostBusy-easilyBusy)))
}

// slack is the share of the objective that would be left.
func (o Outlook) slack() float64 {
	if o.Objective <= 0 {
		return 1
	}
	return 1 - float64(o.Elapsed+crowding*o.Wait+o.First)/float64(o.Objective)
}

// First is the index of the model that a request starts with.
func (l Ladder) First(int) int { return 0 }

// Next returns the model to ask after an answer of the model at index with
// the given confidence. It is the largest: one in between costs an attempt
// and is little better.
func (l Ladder) Next(models, index, confidence int) (next int, ok bool) {
	if index >= models-1 || confidence < 0 || confidence >= l.Doubt {
		return index, false
	}
	return models - 1, true
}

// Judge decides whether the larger model is worth asking, by the time there is and how
// busy the engines are.
func (l Ladder) Judge(confidence int, o Outlook) Verdict {
	slack := o.slack()
	if slack < leastSlack {
		return NoTime
	}
	hurry := min(1, (slack-leastSlack)/(fullSlack-leastSlack))
	doubt := float64(l.Doubt) * hurry
	switch {
	case float64(confidence) >= doubt:
		return NoTime
	case float64(confidence) >= doubt*o.room():
		return NoRoom
	}
	return Ask
}
