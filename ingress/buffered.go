package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
)

// runBuffered answers a request whose answer is not a stream. The answer is buffered
// completely before any of it is returned, so that one that breaks off can be
// replaced by another endpoint's.
func (x *exchange) runBuffered(ctx context.Context) {
	for {
		c, ref, err := x.send(ctx, "")
		if ref != nil {
			if !x.handOff(ctx, ref) {
				x.giveUp(ref)
			}
			return
		}
		if err == nil {
			err = x.relayAnswer(ctx, c)
		}
		if err == nil || !x.shouldRetry(ctx, err) {
			return
		}
	}
}

// shouldRetry reports whether to send the request again after a send that gave no
// answer to return. If not, the request has been refused or its caller has left.
func (x *exchange) shouldRetry(ctx context.Context, err error) bool {
	switch {
	case cutByStop(ctx):
		x.giveUpAtStop()
		return false
	case x.r.Context().Err() != nil:
		x.outcome = x.leftOutcome()
		return false
	case errors.Is(err, errRetry):
		return true
	case errors.Is(err, errNotSent):
		if x.mayRetryUnsent() {
			return true
		}
		x.giveUp(refuseNoEndpoint)
		return false
	case errors.Is(err, errNoPath):
		if x.mayRetryUnsent() {
			return true
		}
		x.giveUp(refuseUnreached)
		return false
	case errors.Is(err, errMisdirected):
		if x.mayRetryMisdirected() {
			return true
		}
		x.giveUp(refuseNoEndpoint)
		return false
	case errors.Is(err, errNotRun):
		if x.mayRetryRefused() {
			return true
		}
		x.giveUp(refuseEndpointsFull)
		return false
	case errors.Is(err, errDeadline) || errors.Is(context.Cause(ctx), errDeadline):
		x.refuse(failDeadline)
		return false
	case !errors.Is(err, errQuarantined) && x.mayRetry(retry.ForFailure):
		return true
	}
	x.refuse(failBroken)
	return false
}

// giveUp responds when there is no endpoint left to try. The refusal is replaced by
// a failure if a send may have run.
func (x *exchange) giveUp(ref *refusal) {
	if x.runs > 0 {
		ref = failBroken
	}
	x.refuse(ref)
}

// giveUpAtStop responds to a request that is cut off by the end of a planned stop.
func (x *exchange) giveUpAtStop() {
	if x.runs > 0 {
		x.refuse(failStopped)
		return
	}
	x.refuse(refuseStopping)
}

// relayAnswer reads the answer and returns it to the caller, unless the request is to
// be sent again.
func (x *exchange) relayAnswer(ctx context.Context, c *upstreamCall) error {
	if err := x.endIfNotRun(c); err != nil {
		return err
	}
	x.runs++
	body, err := x.readAnswer(c)
	defer x.releaseAnswer()
	took := c.ticket.FirstEvent()
	if err != nil && cutByStop(ctx) {
		x.end(c, place.Abandoned, "entry stops")
		return errCutByStop
	}
	if err != nil && c.hold.Stopped() {
		x.end(c, place.Abandoned, "quarantined")
		return errQuarantined
	}
	if err != nil {
		x.endBroken(c, err)
		x.noteCrash(c, quarantine.Started)
		return errMayHaveRun
	}
	if x.mismatched(c) {
		x.end(c, place.Broken, "answer is not this request's")
		return errMayHaveRun
	}
	failed := c.head.Status >= http.StatusInternalServerError
	x.observe(c, failed, took)
	if failed {
		if x.remaining() > x.minRetryTime() && x.mayRetry(retry.ForFailure) {
			x.end(c, place.Failed, "endpoint failed")
			return errRetry
		}
		x.end(c, place.Failed, "endpoint failed")
	} else {
		x.end(c, place.Served, "")
		x.server.Quarantine.Served(x.subject, x.variant(c), c.headAt)
	}
	x.outcome = "answered"
	x.writeHead(c, int64(len(body)))
	x.writeAnswer(body)
	return nil
}

// errRetry: the answer is not used, and the retry is already taken from the budget.
var errRetry = errors.New("request is sent again")

// minRetryTime is the least remaining time for which a failed request is sent to
// another endpoint.
func (x *exchange) minRetryTime() time.Duration { return x.route.Objective / 4 }

// endIfNotRun ends an attempt that the endpoint did not run, according to its response.
func (x *exchange) endIfNotRun(c *upstreamCall) error {
	switch {
	case c.head.WrongEndpoint:
		x.end(c, place.Misdirected, "another endpoint has the address")
		return errMisdirected
	case c.head.NotRun:
		x.end(c, place.Refused, "endpoint refused")
		return errNotRun
	}
	return nil
}

// mismatched reports whether an answer belongs to another attempt, or is a success
// without the endpoint's seal.
func (x *exchange) mismatched(c *upstreamCall) bool {
	return c.head.ID != "" && c.head.ID != x.metadata.ID || c.head.Success() && !c.head.Sealed
}
