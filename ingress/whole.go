package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
)

// mostAnswer bounds an answer that is kept whole before it is returned.
const mostAnswer = 8 << 20

// runWhole answers a request whose answer is no stream. The answer is read
// whole before any of it is returned, so that one that breaks off can be
// replaced by another endpoint's.
func (x *exchange) runWhole(ctx context.Context) {
	for {
		c, ref, err := x.send(ctx, "")
		if ref != nil {
			x.giveUp(ref)
			return
		}
		if err == nil {
			err = x.tryReturn(ctx, c)
		}
		if err == nil || !x.again(ctx, err) {
			return
		}
	}
}

// again decides after a send that gave no answer to return: true tries
// another endpoint; false, the caller has its answer.
func (x *exchange) again(ctx context.Context, err error) bool {
	switch {
	case cut(ctx):
		x.giveUpAtStop()
		return false
	case x.r.Context().Err() != nil:
		x.outcome = "caller_left"
		return false
	case errors.Is(err, errRetry):
		return true
	case errors.Is(err, errNotSent):
		if x.mayReachElsewhere() {
			return true
		}
		x.giveUp(refuseNoEndpoint)
		return false
	case errors.Is(err, errNotRun):
		if x.mayTryElsewhere() {
			return true
		}
		x.giveUp(refuseFull)
		return false
	case errors.Is(err, errDeadline) || errors.Is(context.Cause(ctx), errDeadline):
		x.refuse(failDeadline)
		return false
	case !errors.Is(err, errQuarantined) && x.mayTryAgain(retry.ForFailure):
		return true
	}
	x.refuse(failBroken)
	return false
}

// giveUp answers when there is no endpoint to try. The refusal holds only if
// no send may have run, or the request may repeat.
func (x *exchange) giveUp(ref *refusal) {
	if x.runs > 0 {
		ref = failBroken
	}
	x.refuse(ref)
}

// giveUpAtStop answers a request that the end of a planned stop has cut off.
func (x *exchange) giveUpAtStop() {
	if x.runs > 0 {
		x.refuse(failStopped)
		return
	}
	x.refuse(refuseStopping)
}

// tryReturn reads the answer and returns it, if it is one to return.
func (x *exchange) tryReturn(ctx context.Context, c *sent) error {
	if err := x.notRun(c); err != nil {
		return err
	}
	x.runs++
	body, err := x.readAnswer(c)
	took := c.ticket.First()
	if err != nil && cut(ctx) {
		x.end(c, place.Abandoned, "entry stops")
		return errCut
	}
	if err != nil && c.hold.Stopped() {
		x.end(c, place.Abandoned, "quarantined")
		return errQuarantined
	}
	if err != nil {
		x.end(c, place.Broken, err.Error())
		x.noteCrash(c, quarantine.Started)
		return errMayHaveRun
	}
	if x.foreign(c) {
		x.end(c, place.Broken, "answer is not this request's")
		return errMayHaveRun
	}
	failed := c.head.Status >= http.StatusInternalServerError
	x.observe(c, failed, took)
	if failed {
		if x.left() > x.worthRepeating() && x.mayTryAgain(retry.ForFailure) {
			x.end(c, place.Failed, "endpoint failed")
			return errRetry
		}
		x.end(c, place.Failed, "endpoint failed")
	} else {
		x.end(c, place.Served, "")
		x.server.Quarantine.Served(x.fingerprint)
	}
	x.outcome = "answered"
	x.returnHead(c, int64(len(body)))
	_, _ = x.w.Write(body) // a caller that left needs no answer
	return nil
}

// errRetry: the send failed and its repeat is already paid for.
var errRetry = errors.New("another endpoint is tried")

// worthRepeating is the least time left for which a failed answer is tried
// again elsewhere.
func (x *exchange) worthRepeating() time.Duration { return x.route.Objective / 4 }

// notRun ends an attempt that the endpoint says it did not run.
func (x *exchange) notRun(c *sent) error {
	switch {
	case c.head.WrongEndpoint:
		x.end(c, place.Misdirected, "another endpoint has the address")
		return errNotRun
	case c.head.NotRun:
		x.end(c, place.Refused, "endpoint refused")
		return errNotRun
	}
	return nil
}

// foreign reports whether an answer is not the endpoint's to this request.
func (x *exchange) foreign(c *sent) bool {
	return c.head.ID != "" && c.head.ID != x.facts.ID || c.head.Success() && !c.head.Sealed
}

// readAnswer reads the body.
func (x *exchange) readAnswer(c *sent) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.resp.Body, mostAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > mostAnswer {
		return nil, errors.New("answer is too large")
	}
	return body, nil
}
