package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
)

// runStream answers a request with a stream of events. Only whole events are
// passed on, as they come; so wherever an endpoint breaks off, the caller
// stands at the edge of an event, and another endpoint can go on from there.
func (x *exchange) runStream(ctx context.Context) {
	x.model = x.server.Ladder.First(len(x.route.Models))
	lastID := x.facts.ResumeAfter
	for {
		resume := ""
		if lastID != x.facts.ResumeAfter {
			resume = lastID
		}
		c, ref, err := x.send(ctx, resume)
		if err == nil && ref == nil {
			x.copyForTrial(c.group)
		}
		if ref != nil {
			x.giveUpStream(ref)
			return
		}
		if err == nil {
			lastID, err = x.relay(ctx, c, lastID)
		}
		if err == nil || !x.streamAgain(ctx, err) {
			return
		}
	}
}

// relay passes an answer on; it returns the id of the last event passed on.
func (x *exchange) relay(ctx context.Context, c *sent, lastID string) (string, error) {
	if err := x.notRun(c); err != nil {
		return lastID, err
	}
	x.runs++
	if !c.head.Success() {
		return lastID, x.streamFailed(c)
	}
	if x.foreign(c) {
		x.end(c, place.Broken, "answer is not this request's")
		return lastID, errMayHaveRun
	}
	if x.escalate(c) {
		return lastID, errRetry
	}
	return x.relayEvents(ctx, c, lastID)
}

// streamFailed handles an answer that is no stream but a failure.
func (x *exchange) streamFailed(c *sent) error {
	failed := c.head.Status >= http.StatusInternalServerError
	x.observe(c, failed, 0)
	if failed && x.mayTryAgain(retry.ForFailure) {
		x.end(c, place.Failed, "endpoint failed")
		return errRetry
	}
	body, err := x.readAnswer(c)
	if err != nil || x.started {
		x.end(c, place.Failed, "endpoint failed")
		return errBroken
	}
	x.end(c, place.Failed, "endpoint failed")
	x.outcome = "answered"
	x.returnHead(c, int64(len(body)))
	_, _ = x.w.Write(body) // a caller that left needs no answer
	return nil
}

// errBroken: the stream cannot go on.
var errBroken = errors.New("stream broke off")

// escalate drops an answer that its model doubts, if nothing of it has been
// passed on and a larger model may be asked.
func (x *exchange) escalate(c *sent) bool {
	if x.started || x.modelName() == "" {
		return false
	}
	ladder := x.server.Ladder
	next, ok := ladder.Next(len(x.route.Models), x.model, c.head.Confidence)
	if !ok {
		return false
	}
	outlook, ref := x.outlook(next)
	verdict := ladder.Judge(c.head.Confidence, outlook)
	if verdict == cascade.Ask && ref.limited() {
		verdict = cascade.NoRoom
	}
	if verdict == cascade.Ask && x.suspect() {
		verdict = cascade.Suspect
	}
	if verdict == cascade.Ask && !x.mayTryAgain(retry.ForQuality) {
		verdict = cascade.NoRepeat
	}
	if verdict != cascade.Ask {
		x.attempts[c.index].kept = verdict
		return false
	}
	x.observe(c, false, c.ticket.First())
	x.end(c, place.Served, "confidence "+strconv.Itoa(c.head.Confidence))
	x.model = next
	// The larger model may run on the same endpoint.
	delete(x.tried, c.endpoint.ID)
	return true
}

// outlook is what an answer of another of the route's models would take; a refusal, if no
// endpoint would be asked.
func (x *exchange) outlook(model int) (cascade.Outlook, *refusal) {
	o := cascade.Outlook{Elapsed: x.server.Clock.Since(x.received), Objective: x.route.Objective}
	was := x.model
	x.model = model
	_, best, ref := x.pick()
	if ref == nil {
		o.Wait = max(best.Standing.Wait, x.server.Board.UsualWait(x.target()))
		o.Busy = x.server.Board.Busy(x.target())
		o.First = x.server.Rates.First(x.modelName(), x.facts.Usage.Prompt)
	}
	x.model = was
	return o, ref
}

// relayEvents passes the events on until the stream ends.
func (x *exchange) relayEvents(ctx context.Context, c *sent, lastID string) (string, error) {
	in := newEvents(c.resp.Body, x.server.Wire.EventID)
	first := true
	for {
		event, id, err := in.next()
		if errors.Is(err, io.EOF) {
			return lastID, x.ended(c, first)
		}
		if err != nil {
			return lastID, x.brokeOff(ctx, c, err)
		}
		if first {
			first = false
			c.hold.Release()
			x.observe(c, false, c.ticket.First())
			if !x.started {
				x.returnHead(c, -1)
			}
		}
		x.passed(c)
		if !follows(string(id), lastID) {
			continue // the caller has it
		}
		if _, err := x.w.Write(event); err != nil {
			x.end(c, place.Abandoned, "caller left")
			return lastID, errCallerLeft
		}
		x.w.Flush()
		if len(id) > 0 {
			lastID = string(id)
		}
	}
}

// passed notes an event of a stream.
func (x *exchange) passed(c *sent) {
	now := x.server.Clock.Now()
	a := &x.attempts[c.index]
	if a.events == 0 {
		c.streaming = now
	}
	if a.events > 0 && a.events < paceEvents {
		a.pauses[a.events-1] = now.Sub(c.streaming) - a.stream
	}
	a.events++
	a.pause = max(a.pause, now.Sub(c.streaming)-a.stream)
	a.stream = now.Sub(c.streaming)
	if a.events == paceEvents {
		x.observePace(c)
	}
	x.server.Rollouts.Keep(x.facts.Session, c.group, c.endpoint.Version)
	c.ticket.Heard()
	c.watch.heard()
}

// paceEvents of a stream tell its pace: it is counted then, as a slow stream
// may take most of a minute to its end.
const paceEvents = 6

// observePace counts how fast the events of a stream come for the roll-outs.
func (x *exchange) observePace(c *sent) {
	a := x.attempts[c.index]
	pace := a.stream / time.Duration(a.events-1)
	x.server.Rollouts.Observe(rollout.Answer{Group: c.group, Endpoint: c.endpoint, Route: x.route.Name, Model: x.modelName(), Took: pace, Pace: true,
		ShortPause: a.shortPause()})
}

// shortPause is the second shortest of the first pauses: how fast the engine
// generates while it reads no other prompts. The shortest may be of two events
// that came together.
func (a *attempt) shortPause() time.Duration {
	pauses := a.pauses
	slices.Sort(pauses[:])
	return pauses[1]
}

// errCallerLeft: nobody waits for the answer.
var errCallerLeft = errors.New("caller left")

// follows reports whether an event comes after the last one passed on; ids
// that are no numbers tell nothing.
func follows(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}

// ended handles the marked end of a stream.
func (x *exchange) ended(c *sent, empty bool) error {
	x.end(c, place.Served, "")
	if empty && !x.started {
		x.returnHead(c, -1)
	}
	x.outcome = "answered"
	x.server.Quarantine.Served(x.fingerprint)
	return nil
}

// brokeOff handles a stream that ended without its end.
func (x *exchange) brokeOff(ctx context.Context, c *sent, err error) error {
	if cut(ctx) {
		x.end(c, place.Abandoned, "entry stops")
		return errCut
	}
	if x.r.Context().Err() != nil {
		x.end(c, place.Abandoned, "caller left")
		return errCallerLeft
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		x.end(c, place.Abandoned, "deadline")
		return errDeadline
	}
	if c.hold.Stopped() {
		x.end(c, place.Abandoned, "quarantined")
		return errQuarantined
	}
	x.end(c, place.Broken, err.Error())
	stage := quarantine.Started
	if x.attempts[c.index].events > 0 {
		stage = quarantine.Running
	}
	x.noteCrash(c, stage)
	return errMayHaveRun
}

// streamAgain decides after a send that did not give the whole stream.
func (x *exchange) streamAgain(ctx context.Context, err error) bool {
	if !x.started {
		return x.again(ctx, err)
	}
	switch {
	case cut(ctx):
		x.breakOff("cut_by_stop")
	case errors.Is(err, errCallerLeft) || x.r.Context().Err() != nil:
		x.breakOff("caller_left")
	case errors.Is(err, errRetry):
		return true
	case errors.Is(err, errNotSent):
		if x.mayReachElsewhere() {
			return true
		}
	case errors.Is(err, errNotRun):
		if x.mayTryElsewhere() {
			return true
		}
	case errors.Is(err, errDeadline):
		x.breakOff("deadline")
	case errors.Is(err, errBroken):
	case x.mayTryAgain(retry.ForFailure):
		return true
	}
	x.breakOff("broke_off")
	return false
}

// giveUpStream ends a stream that no endpoint can go on with.
func (x *exchange) giveUpStream(ref *refusal) {
	if x.started {
		x.breakOff("broke_off_" + ref.code)
	}
	x.giveUp(ref)
}
