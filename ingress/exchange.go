package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/upstream"
)

// mostRefusedSends is how many endpoints may refuse a request, as not run,
// before the caller is told to come back: each costs the fleet's budget a
// repeat.
const mostRefusedSends = 2

// mostUnreached is how many endpoints may not accept a connection before the
// caller is told to come back: they cost no endpoint anything, only time.
const mostUnreached = 6

// exchange is one request and its answer.
type exchange struct {
	server   *Server
	w        gin.ResponseWriter
	r        *http.Request
	received time.Time
	deadline time.Time
	facts    call.Facts
	view     *fleet.View
	route    *fleet.Route
	customer *fleet.Customer
	service  string
	body     []byte
	hasBody  bool
	// fingerprint is of the request as its caller sent it; 0: its body was not read.
	fingerprint quarantine.Fingerprint

	tried map[fleet.EndpointID]bool
	// runs counts sends that may have run, refused those that did not.
	runs, refused int
	leaves        float64 // how much room the next send leaves at endpoints that name a limit
	paid          bool    // the next repeat was taken from the budget already
	unreached     int     // sends for which no connection was accepted
	model         int     // index into the route's models
	started       bool    // something of an answer has reached the caller
	status        int
	outcome       string
	attempts      []attempt
	done          bool        // the line is written
	copied        bool        // a copy was sent to an endpoint on trial
	answered      atomic.Bool // whole, before the caller left
}

// attempt is what the log tells of one send.
type attempt struct {
	endpoint fleet.Endpoint
	lapsed   bool // its registration had ended: it was the last resort
	crashed  bool // it ended under the request
	model    string
	outcome  place.Outcome
	status   int
	load     *call.Load // as the endpoint told it
	limit    float64    // requests a second, as the endpoint named it; 0: none
	// confidence is the model's own opinion of its answer; negative: not told.
	confidence int
	begun      time.Duration // since the request was received
	first      time.Duration // to the first event or answer, since begun
	events     int           // of a stream, as read from the endpoint
	stream     time.Duration // from its first event to its last
	pause      time.Duration // the longest between two events
	why        string
	kept       cascade.Verdict               // why a doubted answer was kept; empty: it was not
	pauses     [paceEvents - 1]time.Duration // between the first events
}

func (x *exchange) left() time.Duration { return x.deadline.Sub(x.server.Clock.Now()) }

// target is the service that the request falls to: by the weights of its
// route, and the same for all tries of the entry.
func (x *exchange) target() string {
	if x.service != "" {
		return x.service
	}
	targets := x.route.Targets
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	x.service = targets[0].Service
	if len(targets) == 1 || total == 0 {
		return x.service
	}
	at := int(place.Hash(x.facts.ID, x.route.Name) >> 1 % uint64(total))
	for _, t := range targets {
		if at < t.Weight {
			x.service = t.Service
			break
		}
		at -= t.Weight
	}
	return x.service
}

// run answers the request.
func (x *exchange) run(ctx context.Context) {
	x.tried = map[fleet.EndpointID]bool{}
	if x.route.Kind == fleet.Streaming {
		x.runStream(ctx)
		return
	}
	x.runWhole(ctx)
}

// modelName is the model to name to the endpoint; empty: the caller's stands.
func (x *exchange) modelName() string {
	if len(x.route.Models) == 0 || x.facts.Model != call.AnyModel {
		return ""
	}
	return x.route.Models[x.model]
}

// sent is a request at an endpoint.
type sent struct {
	group     *fleet.Group
	endpoint  fleet.Endpoint
	ticket    *place.Ticket
	resp      *upstream.Response
	head      call.Answer
	cancel    context.CancelFunc
	watch     *watchdog
	hold      *quarantine.Hold
	streaming time.Time     // when the first event came
	wait      time.Duration // for others, as far as known when it was sent
	index     int           // into attempts
}

// end closes the call and notes how it ended.
func (x *exchange) end(c *sent, o place.Outcome, why string) {
	c.watch.stop()
	c.hold.Release()
	if reason := c.watch.why(); reason != "" {
		why = reason
	}
	if c.watch.paidFor() {
		x.paid = true
	}
	c.cancel()
	if c.resp != nil {
		c.resp.Close()
	}
	c.ticket.End(o)
	a := &x.attempts[c.index]
	a.outcome, a.why = o, why
	x.server.metrics.attempt(o)
}

// send sends the request to one endpoint and reads the head of its answer.
// On an error, the attempt is ended and noted.
func (x *exchange) send(ctx context.Context, resumeAfter string) (*sent, *refusal, error) {
	if ref := x.quarantined(); ref != nil {
		return nil, ref, nil
	}
	s := x.server
	group, best, ref := x.pick()
	for ref == nil && !s.Limits.Take(best.Endpoint, x.leaves) {
		group, best, ref = x.pick()
	}
	if ref != nil {
		return nil, ref, nil
	}
	ep := best.Endpoint
	x.tried[ep.ID] = true
	ctx, cancel := context.WithCancel(ctx)
	c := &sent{group: group, endpoint: ep, ticket: s.Board.Begin(ep, s.Rates.Reading(x.modelName(), x.facts.Usage.Prompt)), cancel: cancel, index: len(x.attempts), wait: best.Standing.Wait}
	x.attempts = append(x.attempts, attempt{endpoint: ep, lapsed: group.HasLapsed(ep.ID), model: x.modelName(), confidence: -1, begun: s.Clock.Since(x.received)})
	d := call.Directions{Endpoint: ep.Name, Remaining: x.left(), Model: x.modelName(), ResumeAfter: resumeAfter}
	d.Urgency, d.SetUrgency = x.urgency()
	if x.customer != nil {
		d.Customer = x.customer.Name
	}
	c.watch = x.watch(c, cancel)
	c.hold = s.Quarantine.Hold(x.fingerprint, cancel)
	resp, err := upstream.Send(ctx, &upstream.Request{Address: ep.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: s.Wire.Forward(x.r.Header, d), Body: x.body, HasBody: x.hasBody, ConnectTimeout: x.connectWithin()})
	if err != nil {
		return c, nil, x.failedSend(ctx, c, err)
	}
	c.resp = resp
	c.head = s.Wire.Answer(resp.Status, resp.Header)
	x.attempts[c.index].status = resp.Status
	x.attempts[c.index].load = c.head.Load
	x.attempts[c.index].limit = c.head.Limit
	x.attempts[c.index].confidence = c.head.Confidence
	if c.head.Limit > 0 || c.head.Sealed {
		s.Limits.Named(ep, c.head.Limit)
	}
	c.ticket.Head(c.head.Load)
	if c.head.Load != nil {
		s.Board.TookLoad(x.target(), *c.head.Load)
	}
	return c, nil, nil
}

// connectWithin is how long an endpoint may take to accept a connection. Where a
// domain is cut off or a packet lost, a short request that waits for the usual
// time-out is late whichever endpoint takes it then: with half of its objective
// it has the other half left. Where a domain is cut off for six seconds of a
// minute, non-idempotent calls with an objective of 100 ms came late 0.92 times
// in 100 rather than 1.20, idempotent ones 1.62 rather than 1.82.
func (x *exchange) connectWithin() time.Duration {
	if x.route.Kind == fleet.Streaming || x.route.Objective <= 0 {
		return upstream.DialTimeout
	}
	return max(leastConnect, x.route.Objective/2)
}

// leastConnect leaves room for an endpoint in another region, 20 ms away.
const leastConnect = 60 * time.Millisecond

// failedSend ends an attempt that got no answer. An error that is not
// errNotRun leaves it open whether the request ran.
func (x *exchange) failedSend(ctx context.Context, c *sent, err error) error {
	var notSent *upstream.NotSentError
	switch {
	case cut(ctx):
		x.end(c, place.Abandoned, "entry stops")
		if errors.As(err, &notSent) {
			return errNotSent
		}
		x.runs++
		return errCut
	case x.r.Context().Err() != nil:
		x.end(c, place.Abandoned, "caller left")
	case c.hold.Stopped():
		x.end(c, place.Abandoned, "quarantined")
		if errors.As(err, &notSent) {
			return errNotSent
		}
	case errors.As(err, &notSent):
		x.end(c, place.Unreached, err.Error())
		x.server.Rollouts.Lost(c.group, c.endpoint)
		return errNotSent
	case errors.Is(context.Cause(ctx), errDeadline):
		x.end(c, place.Broken, "deadline")
		x.runs++
		return errDeadline
	default:
		x.end(c, place.Broken, err.Error())
		x.noteCrash(c, quarantine.Waiting)
	}
	x.runs++
	if c.hold.Stopped() {
		return errQuarantined
	}
	return errMayHaveRun
}

// Errors of a send.
var (
	errNotRun     = errors.New("request did not run")
	errNotSent    = errors.New("request was not sent")
	errMayHaveRun = errors.New("request may have run")
	// errQuarantined: other copies of the request have crashed endpoints.
	errQuarantined = errors.New("request is quarantined")
	errCut         = errors.New("entry stops; request may have run")
)

// cut reports whether a request's context ended with the planned stop's time,
// and not as its caller left. The log would otherwise put it on the caller.
func cut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), drain.ErrCut) }

// observe counts the answer for the roll-outs, and learns from it how long
// answers take, unless its version may be a slow one.
func (x *exchange) observe(c *sent, failed bool, took time.Duration) {
	x.attempts[c.index].first = took
	s := x.server
	model, tokens := x.modelName(), x.facts.Usage.Prompt
	a := rollout.Answer{Group: c.group, Endpoint: c.endpoint, Route: x.route.Name, Model: model, Failed: failed, Took: took, Wait: c.wait}
	if tokens > 0 {
		a.Expected = s.Rates.First(model, tokens)
	}
	if tokens > 0 && took > 0 {
		s.Board.Waited(x.target(), took-a.Expected)
	}
	usual := s.Rollouts.Observe(a)
	if failed {
		return
	}
	if usual {
		s.Rates.Learn(model, tokens, took)
	}
	s.Rollouts.Keep(x.facts.Session, c.group, c.endpoint.Version)
}

// mayTryAgain reports whether a request that may have run can be sent once
// more.
func (x *exchange) mayTryAgain(use retry.Use) bool {
	if !x.route.MayRepeat() || x.runs >= x.route.MaxAttempts || x.left() <= shortestTry {
		return false
	}
	if x.paid {
		x.paid = false
		return true
	}
	return x.server.Budget.Take(x.target(), use)
}

// mayTryElsewhere reports whether one that did not run can be sent to
// another endpoint.
func (x *exchange) mayTryElsewhere() bool {
	x.refused++
	return x.refused <= mostRefusedSends && x.left() > shortestTry && x.server.Budget.Take(x.target(), retry.ForFailure)
}

// mayReachElsewhere reports whether one that was never sent can be sent to
// another endpoint.
func (x *exchange) mayReachElsewhere() bool {
	x.unreached++
	return x.unreached <= mostUnreached && x.left() > shortestTry
}

// shortestTry is the least time left for which another try is worth its cost.
const shortestTry = 20 * time.Millisecond

// returnHead copies an endpoint's status and headers to the caller.
func (x *exchange) returnHead(c *sent, length int64) {
	h := x.w.Header()
	for name, values := range x.server.Wire.Returned(c.resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.lastIfStopping()
	x.started = true
	x.status = c.head.Status
	x.w.WriteHeader(c.head.Status)
}

// lastIfStopping makes the answer about to begin the last on its connection if
// the entry stops. A caller that keeps the connection sends its next request on
// it, and one that crosses the close gets no answer.
func (x *exchange) lastIfStopping() {
	if x.server.Gate.Stopping() {
		x.w.Header().Set("Connection", "close")
	}
}

// breakOff ends the connection so that what the caller has does not look
// whole.
func (x *exchange) breakOff(outcome string) {
	x.outcome = outcome
	x.logged()
	panic(http.ErrAbortHandler)
}
