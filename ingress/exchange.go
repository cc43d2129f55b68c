package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/answerbuf"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/shares"
	"github.com/lovageweir/lovageweir/upstream"
)

// maxRefusedSends is how many endpoints may refuse a request as not run before
// the caller is told to retry later. Each refusal costs the fleet a retry from its
// budget.
const maxRefusedSends = 2

// maxMisdirected is how many of its endpoints a request may find replaced by another one, before
// the caller is told to retry later. After a mass restart, until the registrations are known, each
// address belongs to another endpoint; that says nothing about the room at the rest.
const maxMisdirected = 6

// maxUnreached is how many endpoints may fail to accept a connection before the
// caller is told to retry later. They cost no endpoint any work, only time.
const maxUnreached = 6

// exchange is one request and its answer.
type exchange struct {
	server   *Server
	w        gin.ResponseWriter
	r        *http.Request
	received time.Time
	deadline time.Time
	metadata call.RequestMetadata
	view     *fleet.View
	route    *fleet.Route
	customer *fleet.Customer
	service  string
	share    *shares.Standing // as of the first send; nil: not sent yet
	body     []byte
	hasBody  bool
	// bodyReserved is the memory reserved for the body, in bytes.
	bodyReserved int64
	// subject identifies the request as its caller sent it, and its prompt parts; zero: its body was
	// not read.
	subject quarantine.Subject
	// restricted: endpoints of some variants must not get the request. probe: the request is quarantined
	// and sent once nevertheless.
	restricted, probe bool
	quarantinedFor    time.Duration
	// refusedElsewhere is for how long an entry in between has quarantined the request; 0: none has.
	refusedElsewhere time.Duration

	tried map[fleet.EndpointID]bool
	// runs counts the sends that may have run, refused those that did not run.
	runs, refused int
	headroom      float64        // what the next send leaves unused of the endpoint's limit, in requests
	denied        map[string]int // endpoints whose limits had no room when asked, by version
	retryReserved bool           // the next retry was already taken from the budget
	reserved      *reservation
	permit        *concurrency.Permit // at the endpoint of the next send, if it is brittle
	unreached     int                 // sends for which no connection was accepted
	misdirected   int                 // sends that another endpoint answered
	model         int                 // index into the route's models
	started       bool                // a part of the answer was sent to the caller
	status        int
	outcome       string
	attempts      []attempt
	handedTo      string      // entry that answered; empty: this one
	logged        bool        // the log line is written
	copied        bool        // a copy was sent to an endpoint on trial
	answered      atomic.Bool // completely, before the caller left

	writeUntil time.Time        // when the caller's connection is closed
	answer     answerbuf.Buffer // a buffered answer
}

// attempt records one send for the log.
type attempt struct {
	endpoint fleet.Endpoint
	via      string // address of the entry that it went through; empty: none
	lapsed   bool   // the endpoint's registration had lapsed and no other was available
	crashed  bool   // the endpoint crashed while it had the request
	model    string
	outcome  place.Outcome
	status   int
	load     *call.Load // as the endpoint reported it
	limit    float64    // requests a second, as the endpoint announced it; 0: none
	factor   float64    // of the time that work takes there, as assumed when it was chosen; 0: not reported
	// confidence is the model's own rating of its answer; negative: not given.
	confidence   int
	begun        time.Duration // since the request was received
	first        time.Duration // to the first event or answer, since begun
	events       int           // read from the endpoint's stream
	streamTime   time.Duration // from its first event to its last
	longestPause time.Duration // the longest between two events
	cause        string
	keepReason   cascade.Verdict               // why an answer of low confidence was kept; empty: none was
	firstPauses  [paceEvents - 1]time.Duration // between the first events
}

func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.server.Clock.Now()) }

// target returns the service that handles the request. It is chosen by the weights
// of the route and stays the same for all attempts of the entry.
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
	point := int(place.Hash(x.metadata.ID, x.route.Name) >> 1 % uint64(total))
	for _, t := range targets {
		if point < t.Weight {
			x.service = t.Service
			break
		}
		point -= t.Weight
	}
	return x.service
}

func (x *exchange) run(ctx context.Context) {
	x.tried = map[fleet.EndpointID]bool{}
	if x.route.Kind == fleet.Streaming {
		x.runStream(ctx)
		return
	}
	x.runBuffered(ctx)
}

// modelName returns the model to request from the endpoint; empty: the one that
// the caller named.
func (x *exchange) modelName() string {
	if len(x.route.Models) == 0 || x.metadata.Model != call.AnyModel {
		return ""
	}
	return x.route.Models[x.model]
}

// upstreamCall is one send of a request to an endpoint.
type upstreamCall struct {
	group        *fleet.Group
	endpoint     fleet.Endpoint
	ticket       *place.Ticket
	permit       *concurrency.Permit
	resp         *upstream.Response
	head         call.ResponseMetadata
	headAt       time.Time // when it was read
	cancel       context.CancelFunc
	watch        *watchdog
	hold         *quarantine.Hold
	firstEventAt time.Time      // when the first event was read
	cleared      bool           // the answer has cleared the parts of the prompt
	expectedWait time.Duration  // for requests ahead of this one, as estimated when it was sent
	standing     place.Standing // of the endpoint when the request was sent
	attemptIndex int            // into attempts
	heldUp       time.Duration  // by the caller, which did not read
	bound        upstream.Bound // that the answer exceeded; empty: none
}

// end closes the call and records its outcome.
func (x *exchange) end(c *upstreamCall, o place.Outcome, cause string) {
	c.watch.stop()
	c.hold.Release()
	if reason := c.watch.cause(); reason != "" {
		cause = reason
	}
	if c.watch.hasReservedRetry() {
		x.retryReserved = true
	}
	c.cancel()
	if c.resp != nil {
		c.resp.Close()
	}
	c.ticket.End(o)
	a := &x.attempts[c.attemptIndex]
	a.outcome, a.cause = o, cause
	if cause == noFirstEvent || c.resp == nil && (cause == "deadline" || cause == "caller left") {
		x.observeNoFirstEvent(a)
	}
	x.server.metrics.attempt(o)
	c.permit.Release(o == place.Refused || o == place.Unreached || o == place.Broken && c.resp == nil)
}

// send sends the request to one endpoint and reads the head of its response.
// On an error, the attempt has been ended and recorded.
func (x *exchange) send(ctx context.Context, resumeAfter string) (*upstreamCall, *refusal, error) {
	if ref := x.checkQuarantine(); ref != nil {
		return nil, ref, nil
	}
	s := x.server
	group, best, ref := x.acquire(ctx)
	if ref != nil {
		return nil, ref, nil
	}
	taken := x.permit
	x.permit = nil
	ep := best.Endpoint
	x.tried[ep.ID] = true
	ctx, cancel := context.WithCancel(ctx)
	c := &upstreamCall{group: group, endpoint: ep, permit: taken, ticket: s.Board.Begin(ep, s.Rates.PrefillTime(x.modelName(), x.metadata.Usage.Prompt)), cancel: cancel, attemptIndex: len(x.attempts), expectedWait: best.Standing.Wait, standing: best.Standing}
	x.attempts = append(x.attempts, attempt{endpoint: ep, lapsed: group.HasLapsed(ep.ID), model: x.modelName(), confidence: -1, begun: s.Clock.Since(x.received), factor: knownFactor(best.Standing)})
	opts := call.ForwardOptions{Endpoint: ep.Name, Remaining: x.remaining(), Model: x.modelName(), ResumeAfter: resumeAfter}
	opts.Urgency, opts.SetUrgency = x.urgency()
	if x.customer != nil {
		opts.Customer = x.customer.Name
	}
	c.watch = x.watch(c, cancel)
	c.hold = s.Quarantine.Hold(x.subject, cancel)
	resp, err := upstream.Send(ctx, &upstream.Request{Address: ep.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: s.HeaderCodec.Forward(x.r.Header, opts), Body: x.body, HasBody: x.hasBody, ConnectTimeout: x.connectTimeout(), Connect: x.connector(c)})
	if err != nil {
		return c, nil, x.failedSend(ctx, c, err)
	}
	c.resp = resp
	c.headAt = s.Clock.Now()
	c.head = s.readHead(ep, resp)
	x.attempts[c.attemptIndex].status = resp.Status
	x.attempts[c.attemptIndex].load = c.head.Load
	x.attempts[c.attemptIndex].limit = c.head.Limit
	x.attempts[c.attemptIndex].confidence = c.head.Confidence
	c.ticket.HeadReceived(c.head.Load)
	if c.head.Sealed && c.head.Success() {
		s.Quarantine.Passed(x.subject, x.variant(c), quarantine.Waiting, c.headAt)
	}
	if c.head.Load != nil {
		s.Board.ObserveLoad(x.target(), *c.head.Load)
	}
	return c, nil, nil
}

// connector returns a function that connects a call to its endpoint.
func (x *exchange) connector(c *upstreamCall) func(context.Context, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, timeout time.Duration) (net.Conn, error) {
		conn, err := x.server.connect(ctx, c.endpoint, timeout, x.purpose(c))
		if err != nil {
			return nil, err
		}
		c.watch.connected(conn.Via)
		x.attempts[c.attemptIndex].via = conn.Via
		return conn, nil
	}
}

// purpose describes a call to entries in between. They do not hold back a probe.
func (x *exchange) purpose(c *upstreamCall) egress.Purpose {
	p := egress.Purpose{Request: x.metadata.ID, Lasts: x.remaining()}
	if !x.probe {
		p.Subject, p.Variant = x.subject, x.variant(c)
	}
	return p
}

// connect connects to an endpoint for a request. The request may have been quarantined since it was last
// checked: it waited for a permit, for the connection, or for this process to run.
func (s *Server) connect(ctx context.Context, ep fleet.Endpoint, timeout time.Duration, p egress.Purpose) (*egress.Conn, error) {
	conn, err := s.Egress.Connect(ctx, ep, timeout, p)
	if err != nil {
		return nil, err
	}
	if p.Subject.Request == 0 {
		return conn, nil
	}
	if s.Peers != nil {
		s.Peers.AwaitCurrent(ctx)
	}
	if s.Quarantine.Refuses(p.Subject, p.Variant) {
		_ = conn.Close()
		return nil, errQuarantined
	}
	return conn, nil
}

// acquire returns the endpoint for the next send, and takes the request from its limit.
func (x *exchange) acquire(ctx context.Context) (*fleet.Group, place.Ranked, *refusal) {
	if r := x.reserved; r != nil {
		x.reserved = nil
		return r.group, r.best, nil
	}
	group, best, ref := x.pick()
	for ref == nil && !x.mayUse(ctx, group, best.Endpoint) {
		group, best, ref = x.pick()
	}
	return group, best, ref
}

// reservation is an endpoint that the next send goes to.
type reservation struct {
	group *fleet.Group
	best  place.Ranked
}

// reserve acquires the endpoint for the next send. It reports whether there was one.
func (x *exchange) reserve(ctx context.Context) bool {
	group, best, ref := x.acquire(ctx)
	if ref == nil {
		x.reserved = &reservation{group, best}
	}
	return ref == nil
}

// mayUse takes a request from what a cold endpoint bears, from the limit of an endpoint, if it has one,
// and a permit for a brittle one. The endpoint may have asked for a rest since it was picked.
func (x *exchange) mayUse(ctx context.Context, g *fleet.Group, ep fleet.Endpoint) bool {
	if !x.server.SlowStart.Take(ep, g.Service) {
		return false
	}
	if !x.server.Limits.Take(ctx, ep, x.headroom) {
		x.noteDenied(ep)
		return false
	}
	taken, ok := x.server.Concurrency.Take(ctx, ep)
	if !ok {
		x.noteDenied(ep)
		return false
	}
	if x.server.Board.Resting(ep.ID) > 0 {
		taken.Release(false)
		return false
	}
	x.permit = taken
	return true
}

// noteDenied records that an endpoint was asked for in vain.
func (x *exchange) noteDenied(ep fleet.Endpoint) {
	if x.denied == nil {
		x.denied = map[string]int{}
	}
	x.denied[ep.Version]++
}

// releaseReserved gives back what was reserved for a send that did not follow.
func (x *exchange) releaseReserved() {
	x.permit.Release(false)
	x.permit = nil
}

// readHead decodes the head of an endpoint's answer, and records what the endpoint says of itself.
func (s *Server) readHead(ep fleet.Endpoint, resp *upstream.Response) call.ResponseMetadata {
	head := s.HeaderCodec.Answer(resp.Status, resp.Header)
	if head.WrongEndpoint {
		return head // it is about another endpoint
	}
	s.Quarantine.Answers(ep.ID)
	if head.Limit > 0 || head.Sealed {
		s.Limits.Observe(ep, head.Limit)
	}
	if head.Sealed || head.NotRun {
		s.Concurrency.Observe(ep.Service, head.Brittle)
	}
	if head.Rest > 0 {
		s.Board.Rest(ep, head.Rest)
		s.Log.Info("ingress: endpoint asks for a rest.", "endpoint", ep.ID, "ms", head.Rest.Milliseconds())
	}
	if head.Leaving {
		s.Fleet.AddDepartures(s.Instance, []fleet.Departure{{Endpoint: ep.ID}})
	}
	return head
}

// connectTimeout returns how long an endpoint may take to accept a connection. If
// a failure domain is partitioned or a packet is lost, a short request that waits
// for DialTimeout is late whichever endpoint serves it afterwards; with half of its
// objective it has the other half left. With a domain partitioned for six seconds
// of a minute, 0.92 % of the non-idempotent calls with an objective of 100 ms were
// late instead of 1.20 %, and 1.62 % of the idempotent ones instead of 1.82 %.
func (x *exchange) connectTimeout() time.Duration {
	if x.route.Kind == fleet.Streaming || x.route.Objective <= 0 {
		return upstream.DialTimeout
	}
	return max(minConnectTimeout, x.route.Objective/2)
}

// minConnectTimeout allows for an endpoint in another region, 20 ms away.
const minConnectTimeout = 60 * time.Millisecond

// failedSend ends an attempt that got no answer. Unless it returns errNotSent, the
// request may have run.
func (x *exchange) failedSend(ctx context.Context, c *upstreamCall, err error) error {
	var notSent *upstream.NotSentError
	var elsewhere *egress.QuarantinedError
	switch {
	case cutByStop(ctx):
		x.end(c, place.Abandoned, "entry stops")
		if errors.As(err, &notSent) {
			return errNotSent
		}
		x.runs++
		return errCutByStop
	case x.r.Context().Err() != nil:
		x.end(c, place.Abandoned, "caller left")
	case errors.As(err, &elsewhere):
		x.end(c, place.Abandoned, err.Error())
		x.refusedElsewhere = max(time.Second, elsewhere.RetryAfter)
		return errNotSent
	case c.hold.Stopped(), errors.Is(err, errQuarantined):
		x.end(c, place.Abandoned, "quarantined")
		if errors.As(err, &notSent) {
			return errNotSent
		}
	case errors.Is(err, egress.ErrNoPath):
		x.end(c, place.NoPath, err.Error())
		return errNoPath
	case errors.Is(err, egress.ErrLate):
		x.end(c, place.NoPath, err.Error())
		return errNotSent
	case errors.As(err, &notSent):
		x.end(c, place.Unreached, err.Error())
		x.server.metrics.unreached(err)
		x.server.Rollouts.RecordLoss(c.group, c.endpoint)
		return errNotSent
	case errors.Is(context.Cause(ctx), errDeadline):
		x.end(c, place.Broken, "deadline")
		x.runs++
		return errDeadline
	default:
		x.endBroken(c, err)
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
	errNotRun = errors.New("request did not run")
	// errMisdirected: the address belongs to another endpoint, which did not run the request.
	errMisdirected = errors.New("request reached another endpoint")
	errNotSent     = errors.New("request was not sent")
	// errNoPath: this entry reaches no endpoint of the service now.
	errNoPath     = errors.New("no path to the endpoints")
	errMayHaveRun = errors.New("request may have run")
	// errQuarantined: other sends of the request have crashed endpoints.
	errQuarantined = errors.New("request is quarantined")
	errCutByStop   = errors.New("entry stops; request may have run")
)

// cutByStop reports whether a request's context ended because the time of a planned
// stop was over. Without this check the log would say that the caller left.
func cutByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), drain.ErrDeadline) }

// observe counts the answer for the roll-outs and, unless its version may be a slow
// one, updates the estimates of how long answers take.
func (x *exchange) observe(c *upstreamCall, failed bool, took time.Duration) {
	x.attempts[c.attemptIndex].first = took
	s := x.server
	model, tokens := x.modelName(), x.metadata.Usage.Prompt
	a := rollout.Answer{Group: c.group, Endpoint: c.endpoint, Route: x.route.Name, Model: model, Failed: failed, Took: took, Wait: c.expectedWait, Factor: max(x.answerFactor(c), c.standing.Factor)}
	if tokens > 0 {
		a.Expected = s.Rates.TimeToFirstEvent(model, tokens)
	}
	if tokens > 0 && took > 0 {
		delay := took - scaled(a.Expected, x.answerFactor(c))
		s.Board.ObserveWait(x.target(), delay)
		x.observeDelay(delay)
	}
	usual := s.Rollouts.Observe(a)
	if failed {
		return
	}
	if usual {
		x.learnTime(c, tokens, took)
	}
	s.Rollouts.RecordSession(x.metadata.Session, c.group, c.endpoint.Version)
}

// mayRetry reports whether a request that may have run can be sent again.
func (x *exchange) mayRetry(purpose retry.Purpose) bool {
	if !x.route.MayRepeat() || x.runs >= x.route.MaxAttempts || x.remaining() <= minAttemptTime {
		return false
	}
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	return x.server.Budget.Take(x.target(), purpose)
}

// mayRetryRefused reports whether a request that an endpoint refused to run can be
// sent to another endpoint.
func (x *exchange) mayRetryRefused() bool {
	x.refused++
	return x.refused <= maxRefusedSends && x.remaining() > minAttemptTime && x.server.Budget.Take(x.target(), retry.ForFailure)
}

// mayRetryMisdirected reports whether a request whose endpoint was replaced by another one can be
// sent to another endpoint.
func (x *exchange) mayRetryMisdirected() bool {
	x.misdirected++
	return x.misdirected <= maxMisdirected && x.remaining() > minAttemptTime && x.server.Budget.Take(x.target(), retry.ForFailure)
}

// mayRetryUnsent reports whether a request that could not be sent can be sent to
// another endpoint.
func (x *exchange) mayRetryUnsent() bool {
	x.unreached++
	return x.unreached <= maxUnreached && x.remaining() > minAttemptTime
}

// minAttemptTime is the least remaining time for which another attempt is worth its cost.
const minAttemptTime = 20 * time.Millisecond

// writeHead sends an endpoint's status and headers to the caller.
func (x *exchange) writeHead(c *upstreamCall, length int64) {
	h := x.w.Header()
	for name, values := range x.server.HeaderCodec.Returned(c.resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.closeConnIfStopping()
	x.started = true
	x.status = c.head.Status
	x.w.WriteHeader(c.head.Status)
}

// closeConnIfStopping makes the next response the last on its connection if the entry
// is stopping. On a connection that is kept, the caller's next request could cross
// the close and would get no answer. It does the same if the entry is overloaded: of a new
// connection the entry can leave the request unread.
func (x *exchange) closeConnIfStopping() {
	if x.server.Gate.Stopping() || x.server.NewConnections.Limited() {
		x.w.Header().Set("Connection", "close")
	}
}

// abortResponse closes the connection, so that the response does not look
// complete to the caller.
func (x *exchange) abortResponse(outcome string) {
	x.outcome = outcome
	x.logRequest()
	panic(http.ErrAbortHandler)
}
