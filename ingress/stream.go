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
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/upstream"
)

// runStream answers a request with a stream of events. Only complete events are
// forwarded, as they arrive. Wherever an endpoint breaks off, the caller is at an
// event boundary, and another endpoint can resume from there.
func (x *exchange) runStream(ctx context.Context) {
	x.model = x.server.EscalationPolicy.First(len(x.route.Models))
	lastID := x.metadata.ResumeAfter
	for {
		resume := ""
		if lastID != x.metadata.ResumeAfter {
			resume = lastID
		}
		c, ref, err := x.send(ctx, resume)
		if err == nil && ref == nil {
			x.copyForTrial(c.group)
		}
		if ref != nil {
			if !x.handOff(ctx, ref) {
				x.giveUpStream(ref)
			}
			return
		}
		if err == nil {
			lastID, err = x.relay(ctx, c, lastID)
		}
		if err == nil || !x.shouldRetryStream(ctx, err) {
			return
		}
	}
}

// relay forwards an answer and returns the id of the last event forwarded.
func (x *exchange) relay(ctx context.Context, c *upstreamCall, lastID string) (string, error) {
	if err := x.endIfNotRun(c); err != nil {
		return lastID, err
	}
	x.runs++
	if !c.head.Success() {
		return lastID, x.relayFailure(c)
	}
	if x.mismatched(c) {
		x.end(c, place.Broken, "answer is not this request's")
		return lastID, errMayHaveRun
	}
	if x.escalate(ctx, c) {
		return lastID, errRetry
	}
	return x.relayEvents(ctx, c, lastID)
}

// relayFailure handles a response that is a failure instead of a stream.
func (x *exchange) relayFailure(c *upstreamCall) error {
	failed := c.head.Status >= http.StatusInternalServerError
	x.observe(c, failed, 0)
	if failed && x.mayRetry(retry.ForFailure) {
		x.end(c, place.Failed, "endpoint failed")
		return errRetry
	}
	body, err := x.readAnswer(c)
	defer x.releaseAnswer()
	if upstream.BoundOf(err) != "" {
		x.endBroken(c, err)
		return errBroken
	}
	if err != nil || x.started {
		x.end(c, place.Failed, "endpoint failed")
		return errBroken
	}
	x.end(c, place.Failed, "endpoint failed")
	x.outcome = "answered"
	x.writeHead(c, int64(len(body)))
	x.writeAnswer(body)
	return nil
}

// errBroken: the stream cannot be continued.
var errBroken = errors.New("stream broke off")

// escalate drops an answer of low confidence and selects a larger model, if nothing
// has been forwarded yet and the larger model may be asked.
func (x *exchange) escalate(ctx context.Context, c *upstreamCall) bool {
	if x.started || x.modelName() == "" {
		return false
	}
	policy, previous := x.server.EscalationPolicy, x.model
	next, ok := policy.Next(len(x.route.Models), x.model, c.head.Confidence)
	if !ok {
		return false
	}
	estimate, ref := x.estimate(next)
	verdict := policy.Decide(c.head.Confidence, estimate)
	if verdict == cascade.Escalate && ref.limited() {
		verdict = cascade.EnginesBusy
	}
	if verdict == cascade.Escalate && x.suspect() {
		verdict = cascade.Suspect
	}
	if verdict == cascade.Escalate && !x.mayRetry(x.qualityPurpose()) {
		verdict = cascade.NoRetry
	}
	if verdict == cascade.Escalate && !x.reserveModel(ctx, next, c.endpoint.ID) {
		x.retryReserved = true // for a failure of this answer
		verdict = cascade.EnginesBusy
	}
	if verdict != cascade.Escalate {
		x.attempts[c.attemptIndex].keepReason = verdict
		return false
	}
	x.model = previous
	x.observe(c, false, c.ticket.FirstEvent())
	x.end(c, place.Served, "confidence "+strconv.Itoa(c.head.Confidence))
	x.model = next
	return true
}

// reserveModel reserves an endpoint for another model before an answer is dropped for it. It may be
// the endpoint of that answer. If there is none, the request is as before.
func (x *exchange) reserveModel(ctx context.Context, model int, answered fleet.EndpointID) bool {
	previous := x.model
	x.model = model
	delete(x.tried, answered)
	if x.reserve(ctx) {
		return true
	}
	x.model = previous
	x.tried[answered] = true
	return false
}

// estimate predicts how long another of the route's models would take to answer. It
// returns a refusal if no endpoint is available for it.
func (x *exchange) estimate(model int) (cascade.Estimate, *refusal) {
	e := cascade.Estimate{Elapsed: x.server.Clock.Since(x.received), Objective: x.route.Objective}
	previous := x.model
	x.model = model
	_, best, ref := x.pick()
	if ref == nil {
		e.Wait = max(best.Standing.Wait, x.server.Board.MeanWait(x.target()))
		e.Utilization = x.server.Board.Utilization(x.target())
		e.First = scaled(x.server.Rates.TimeToFirstEvent(x.modelName(), x.metadata.Usage.Prompt), best.Standing.Factor)
	}
	x.addStanding(&e, best.Standing.Wait)
	x.model = previous
	return e, ref
}

// relayEvents forwards the events until the stream ends.
func (x *exchange) relayEvents(ctx context.Context, c *upstreamCall, lastID string) (string, error) {
	in := newBoundedEventReader(c.resp, x.eventTime(), x.server.AnswerMemory, x.server.HeaderCodec.EventID)
	defer in.release()
	first := true
	for {
		event, id, err := in.next()
		if errors.Is(err, io.EOF) {
			if err = x.checkEnd(c); err == nil && first && !c.resp.Framed {
				err = io.ErrUnexpectedEOF // no stream is empty
			}
			if err == nil {
				return lastID, x.finishStream(c, first)
			}
		}
		if err != nil {
			return lastID, x.handleBrokenStream(ctx, c, err)
		}
		if first {
			first = false
			c.hold.Release()
			x.server.Quarantine.Passed(x.subject, x.variant(c), quarantine.Started, c.headAt)
			x.observe(c, false, c.ticket.FirstEvent())
			if !x.started {
				x.writeHead(c, -1)
			}
		}
		x.noteEvent(c)
		if !follows(string(id), lastID) {
			continue // already forwarded
		}
		if err := x.forward(c, in, event); err != nil {
			x.end(c, place.Abandoned, "caller left")
			return lastID, errCallerLeft
		}
		if len(id) > 0 {
			lastID = string(id)
		}
	}
}

// noteEvent records an event of a stream.
func (x *exchange) noteEvent(c *upstreamCall) {
	now := x.server.Clock.Now().Add(-c.heldUp)
	a := &x.attempts[c.attemptIndex]
	if a.events == 0 {
		c.firstEventAt = now
	}
	if a.events > 0 && a.events < paceEvents {
		a.firstPauses[a.events-1] = now.Sub(c.firstEventAt) - a.streamTime
	}
	a.events++
	if !c.cleared && now.Sub(c.firstEventAt) >= quarantine.SoundAfter {
		c.cleared = true
		x.server.Quarantine.Answering(x.subject, x.variant(c), c.headAt)
	}
	a.longestPause = max(a.longestPause, now.Sub(c.firstEventAt)-a.streamTime)
	a.streamTime = now.Sub(c.firstEventAt)
	if a.events == paceEvents {
		x.observePace(c)
	}
	x.server.Rollouts.RecordSession(x.metadata.Session, c.group, c.endpoint.Version)
	c.ticket.DataReceived()
	c.watch.eventReceived()
}

// paceEvents is how many events are needed to measure a stream's pace. The pace is
// counted then, as a slow stream may take most of a minute to end.
const paceEvents = 6

// observePace counts the pace of a stream's events for the roll-outs.
func (x *exchange) observePace(c *upstreamCall) {
	a := x.attempts[c.attemptIndex]
	pace := a.streamTime / time.Duration(a.events-1)
	x.server.Rollouts.Observe(rollout.Answer{Group: c.group, Endpoint: c.endpoint, Route: x.route.Name, Model: x.modelName(), Took: pace, Pace: true,
		ShortPause: a.shortPause(), Factor: max(x.answerFactor(c), x.server.Board.Factor(c.endpoint.ID))})
}

// shortPause returns the second shortest of the first pauses, which shows how fast
// the engine generates while it reads no other prompts. The shortest may lie between
// two events that arrived together.
func (a *attempt) shortPause() time.Duration {
	firstPauses := a.firstPauses
	slices.Sort(firstPauses[:])
	return firstPauses[1]
}

// errCallerLeft: the caller no longer waits for the answer.
var errCallerLeft = errors.New("caller left")

// follows reports whether an event comes after the last one forwarded. If an id is
// not a number, it is assumed to.
func follows(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	return err != nil || a > b
}

// finishStream handles the regular end of a stream.
func (x *exchange) finishStream(c *upstreamCall, empty bool) error {
	x.end(c, place.Served, "")
	if empty && !x.started {
		x.writeHead(c, -1)
	}
	x.outcome = "answered"
	x.server.Quarantine.Served(x.subject, x.variant(c), c.headAt)
	return nil
}

// handleBrokenStream handles a stream that broke off before its end.
func (x *exchange) handleBrokenStream(ctx context.Context, c *upstreamCall, err error) error {
	if cutByStop(ctx) {
		x.end(c, place.Abandoned, "entry stops")
		return errCutByStop
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
	stage := quarantine.Started
	if x.attempts[c.attemptIndex].events > 0 {
		stage = quarantine.Running
	}
	if c.heldUpLong() && upstream.BoundOf(err) == "" && c.watch.cause() == "" {
		x.noteCrash(c, stage)
		if !x.attempts[c.attemptIndex].crashed {
			x.end(c, place.Abandoned, "caller reads slowly: "+err.Error())
			return errMayHaveRun
		}
		x.endBroken(c, err)
		return errMayHaveRun
	}
	x.endBroken(c, err)
	x.noteCrash(c, stage)
	return errMayHaveRun
}

// shouldRetryStream reports whether to send the request again after a send that did
// not give the complete stream. If not, the caller's response is ended.
func (x *exchange) shouldRetryStream(ctx context.Context, err error) bool {
	if !x.started {
		return x.shouldRetry(ctx, err)
	}
	switch {
	case cutByStop(ctx):
		x.abortResponse("cut_by_stop")
	case errors.Is(err, errCallerLeft) || x.r.Context().Err() != nil:
		x.abortResponse(x.leftOutcome())
	case errors.Is(err, errRetry):
		return true
	case errors.Is(err, errNotSent), errors.Is(err, errNoPath):
		if x.mayRetryUnsent() {
			return true
		}
	case errors.Is(err, errMisdirected):
		if x.mayRetryMisdirected() {
			return true
		}
	case errors.Is(err, errNotRun):
		if x.mayRetryRefused() {
			return true
		}
	case errors.Is(err, errDeadline):
		x.abortResponse("deadline")
	case errors.Is(err, errBroken):
	case x.mayRetry(retry.ForFailure):
		return true
	}
	x.abortResponse("broke_off")
	return false
}

// giveUpStream ends a stream that no endpoint can continue.
func (x *exchange) giveUpStream(ref *refusal) {
	if x.started {
		x.abortResponse("broke_off_" + ref.code)
	}
	x.giveUp(ref)
}
