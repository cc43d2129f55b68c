package ingress

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/lovageweir/lovageweir/admission"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
)

// queued is what an exchange knows of its place in the queue.
type queued struct {
	place *admission.Place
	// must: the request waits before its next send.
	must bool
	// unpaid: the next send repeats one that was refused, and is not taken from the retry budget yet.
	unpaid bool
	// handOffTried: other entries have refused it.
	handOffTried bool
	waited       time.Duration
	reason       admission.Reason // why it did not wait, or no longer
	retryAfter   time.Duration    // as its caller was told
}

// mayWait reports whether the request may wait for capacity: it has not run, and was not handed over by
// an entry that can have it wait there, where its caller is.
func (x *exchange) mayWait() bool {
	return x.server.Queue.On() && x.runs == 0 && !x.started && !x.isHandedOff()
}

// lacksCapacity reports whether a refusal is for want of capacity.
func (r *refusal) lacksCapacity() bool { return r.ownCause() || r.code == refuseEndpointsFull.code }

// admissionRequest describes the request to the queue.
func (x *exchange) admissionRequest() admission.Request {
	objective := x.route.Objective
	if objective <= 0 {
		objective = x.timeLimit()
	}
	r := admission.Request{Service: x.target(), ID: x.metadata.ID, Urgency: x.priority(), Received: x.received, Deadline: x.deadline, Bytes: int64(len(x.body))}
	r.Takes = x.server.Queue.MeanTime(x.target())
	if x.route.Kind == fleet.Streaming {
		r.Takes = x.server.Rates.TimeToFirstEvent(x.modelName(), x.metadata.Usage.Prompt)
	}
	r.SetObjective(objective, max(x.server.Queue.UsualLimit(x.route.Name), x.timeLimit()))
	return r
}

// awaitsTurn returns the refusal of a request that must not look for capacity now, as others wait that
// rank before it or as it was refused by too many endpoints.
func (x *exchange) awaitsTurn() *refusal {
	if !x.mayWait() || x.reserved != nil {
		return nil
	}
	q := &x.queued
	if q.place == nil {
		q.place = x.server.Queue.NewPlace(x.admissionRequest())
	}
	if q.must {
		return refuseEndpointsFull
	}
	code, opensIn, behind := x.server.Queue.Behind(q.place)
	switch {
	case !behind && q.unpaid && !x.server.Budget.Take(x.target(), retry.ForFailure):
		q.reason = "retry_budget_used_up"
	case !behind:
		q.unpaid = false
		return nil
	case code == codeLimited:
		return refuseLimited(max(opensIn, minAttemptTime))
	case code == codeResting:
		return refuseResting(max(opensIn, minAttemptTime))
	}
	return refuseEndpointsFull
}

// tookCapacity records that the request is sent to an endpoint.
func (x *exchange) tookCapacity(id fleet.EndpointID) {
	if x.queued.place != nil && x.mayWait() {
		x.server.Queue.Took(x.queued.place, id)
	}
}

// mayWaitForRetry reports whether a request that was refused by as many endpoints as it may be sent to
// waits for capacity instead.
func (x *exchange) mayWaitForRetry() bool {
	if !x.mayWait() || x.remaining() <= minAttemptTime {
		return false
	}
	x.queued.must, x.queued.unpaid = true, true
	return true
}

// noteCapacity tells the queue what the end of a send says of its endpoint's capacity.
func (x *exchange) noteCapacity(c *upstreamCall, o place.Outcome) {
	switch o {
	case place.Refused:
		x.server.Queue.Refused(x.target(), c.endpoint.ID)
	case place.Served, place.Failed, place.Broken, place.Abandoned:
		held := time.Duration(0)
		if o == place.Served {
			held = x.server.Clock.Since(x.received) - x.attempts[c.attemptIndex].begun
		}
		x.server.Queue.Ended(x.target(), c.endpoint.ID, held)
	}
}

// noteFreeSlot tells the queue that an endpoint reported a free slot with an answer.
func (x *exchange) noteFreeSlot(c *upstreamCall) {
	if l := c.head.Load; !c.head.NotRun && !c.head.WrongEndpoint && l.Running+l.Waiting < l.Slots {
		x.server.Queue.HasFree(x.target(), c.endpoint.ID, l.Slots-l.Running-l.Waiting)
	}
}

// fullEndpoints returns the endpoints that the request is not sent to, as they are full and it may wait.
func (x *exchange) fullEndpoints() map[fleet.EndpointID]bool {
	if !x.mayWait() {
		return nil
	}
	return x.server.Queue.Full(x.target())
}

// refuseFull returns the refusal while the endpoints that might be used are full.
func (x *exchange) refuseFull(choice rollout.Choice, limitOpensIn time.Duration) *refusal {
	if restEndsIn, _ := x.restEndsIn(choice); limitOpensIn > 0 && restEndsIn == 0 {
		return refuseLimited(limitOpensIn)
	}
	return refuseEndpointsFull
}

// resolveRefusal has the request handed to another entry or wait for capacity. It reports whether to
// look for capacity again; if not, the request is answered, with giveUp if by a refusal.
func (x *exchange) resolveRefusal(ctx context.Context, ref *refusal, giveUp func(*refusal)) (again bool) {
	q := &x.queued
	if !q.handOffTried {
		q.handOffTried = ref.ownCause()
		if x.handOff(ctx, ref) {
			return false
		}
	}
	if !ref.lacksCapacity() || q.reason != "" || !x.mayWait() || q.place == nil {
		if x.server.stranded() && x.mayWait() && q.waited > 0 {
			ref = refuseStranded
		}
		giveUp(ref)
		return false
	}
	opensIn := time.Duration(0)
	if ref.ownCause() {
		opensIn = ref.retryAfter
	}
	if q.reason = x.server.Queue.Wait(q.place, ref.code, opensIn); q.reason != "" {
		giveUp(ref)
		return false
	}
	began := x.server.Clock.Now()
	ref, answered := x.awaitSignal(ctx, ref)
	q.waited += x.server.Clock.Since(began)
	switch {
	case answered:
		return false
	case ref != nil:
		giveUp(ref)
		return false
	}
	x.forgetRefused()
	return true
}

// awaitSignal waits until the request is to look for capacity again. Otherwise it returns a refusal, or
// reports that the request is answered or its caller has left.
func (x *exchange) awaitSignal(ctx context.Context, ref *refusal) (_ *refusal, answered bool) {
	q := &x.queued
	for {
		select {
		case <-ctx.Done():
			switch {
			case cutByStop(ctx):
				return refuseStopping, false
			case errors.Is(context.Cause(ctx), errDeadline):
				return ref, false
			}
			x.outcome = "caller_left"
			return nil, true
		case s := <-q.place.Signals():
			switch {
			case x.server.stranded():
				return refuseStranded, false
			case s.Kind == admission.Stopping:
				if x.handOff(ctx, refuseLimited(0)) { // other entries may serve it, whatever the cause is here
					return nil, true
				}
				if x.runs > 0 {
					return ref, false
				}
			case s.Kind == admission.Refuse:
				q.reason = s.Reason
				return ref, false
			default:
				q.must = false
				return nil, false
			}
		}
	}
}

// forgetRefused makes the endpoints that refused the request available to it again.
func (x *exchange) forgetRefused() {
	for _, a := range x.attempts {
		if a.outcome == place.Refused {
			delete(x.tried, a.endpoint.ID)
		}
	}
	x.denied = nil
}

// leaveQueue gives up the request's place, if it has one still.
func (x *exchange) leaveQueue() {
	if x.queued.place != nil {
		x.server.Queue.Leave(x.queued.place)
	}
}

// retryAfter returns when the caller of a refused request is to come back; 0: not at all.
func (x *exchange) retryAfter(ref *refusal) time.Duration {
	if x.server.Queue == nil || !ref.lacksCapacity() || x.isHandedOff() {
		return ref.retryAfter
	}
	x.leaveQueue() // it is not ahead of itself
	opensIn := time.Duration(0)
	if ref.ownCause() {
		opensIn = ref.retryAfter
	}
	x.queued.retryAfter = x.server.Queue.RetryAfter(x.admissionRequest(), opensIn)
	return x.queued.retryAfter
}

// appendQueued adds what the queue decided for the request to its log line.
func (x *exchange) appendQueued(attrs []slog.Attr) []slog.Attr {
	q := &x.queued
	if q.waited > 0 {
		attrs = append(attrs, slog.Int64("waited_ms", q.waited.Milliseconds()))
	}
	if q.reason != "" {
		attrs = append(attrs, slog.String("not_queued", string(q.reason)))
	}
	if q.retryAfter > 0 {
		attrs = append(attrs, slog.Int64("retry_after_ms", q.retryAfter.Milliseconds()))
	}
	return attrs
}

// QueueCapacity returns what the view says of a service's capacity.
func QueueCapacity(v *fleet.View, service string) admission.Capacity {
	c := admission.Capacity{Entries: max(len(v.Entries), 1), Version: v}
	if g := v.Group(service); g != nil {
		for i := range g.Ready {
			c.Slots += g.Ready[i].Slots
		}
	}
	return c
}
