package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/route"
)

// request is the state of one caller request.
type request struct {
	c      *gin.Context
	rid    string
	name   string // the requested model or cascade
	stream bool
	body   []byte                     // as the caller sent it
	fields map[string]json.RawMessage // the decoded body, to be forwarded
	chat   openai.ChatRequest
	// service is set for a call to a plain service; fields and chat are then unset.
	service *backendCall
	table   *route.Table
	route   route.Request

	customer string
	subject  quarantine.Subject
	opened   bool
	// limitWait is the shortest wait until a rate-limited candidate that was skipped has
	// capacity; 0 if none was skipped.
	limitWait  time.Duration
	mayHaveRun bool // a back end may have run it, completely or in part
	uses       []ledger.Use
	pins       map[string]string // the session's versions, by model
	release    func()            // releases its claim on the idempotency key
	ends       []func()          // called once it has been answered
}

// atEnd calls f once the request has been answered.
func (q *request) atEnd(f func()) { q.ends = append(q.ends, f) }

func (q *request) end() {
	for _, f := range q.ends {
		f()
	}
}

// noteRateLimited records that a candidate was skipped and has capacity after wait.
func (q *request) noteRateLimited(wait time.Duration) {
	if q.limitWait == 0 || wait < q.limitWait {
		q.limitWait = wait
	}
}

// promptBytes is the size of the prompt, by which the cascade planner learns.
func (q *request) promptBytes() int {
	n := 0
	for _, m := range q.chat.Messages {
		n += len(m.Content)
	}
	return n
}

// chat handles a chat completion request.
func (g *Gateway) chat(c *gin.Context) *route.Refusal {
	q, ref := g.readChat(c)
	if ref != nil {
		return ref
	}
	return g.serveChat(q)
}

// readChat reads and decodes a chat completion request.
func (g *Gateway) readChat(c *gin.Context) (*request, *route.Refusal) {
	body, ref := g.readBody(c)
	if ref != nil {
		return nil, ref
	}
	if ref := reserveDecoded(c, body); ref != nil {
		return nil, ref
	}
	q := &request{c: c, body: body, release: func() {}}
	if err := json.Unmarshal(body, &q.fields); err != nil {
		return nil, badRequest("body is not a chat completion request: " + err.Error())
	}
	if err := json.Unmarshal(body, &q.chat); err != nil {
		return nil, badRequest("body is not a chat completion request: " + err.Error())
	}
	q.name, q.stream = q.chat.Model, q.chat.Stream
	q.route.AffinityKey = affinityKey(q.chat)
	return q, g.begin(q)
}

// begin assigns q its id and fixes the routing table that all its decisions
// use.
func (g *Gateway) begin(q *request) *route.Refusal {
	g.Tables.Refresh(q.c.Request.Context())
	if q.table = g.Tables.Table(); q.table == nil {
		return errNoConfig
	}
	g.connPools.prune(q.table)
	// The incarnation keeps ids unique across restarts: the ledger bills each
	// id once, so a reused id would go unbilled.
	q.rid = fmt.Sprintf("%s-%s-%d", g.Instance, strconv.FormatInt(g.Incarnation, 36), g.seq.Add(1))
	q.route.ID = q.rid
	q.route.APIKey, q.route.Session = apiKey(q.c), q.c.GetHeader(openai.HeaderSessionID)
	g.readPins(q)
	q.c.Header(openai.HeaderRequestID, q.rid)
	q.c.Header(openai.HeaderRevision, strconv.FormatInt(int64(q.table.Revision), 10))
	return nil
}

// affinityKey is the start of the first message: requests that share a prompt
// prefix share the prefix cache of an engine.
func affinityKey(r openai.ChatRequest) string {
	const prefixBytes = 256
	if len(r.Messages) == 0 {
		return ""
	}
	s := r.Messages[0].Content
	return s[:min(len(s), prefixBytes)]
}

// decide routes q to the back ends of one model.
func (g *Gateway) decide(q *request, model string) (*route.Decision, *route.Refusal) {
	q.route.Model = model
	view := route.View{Domain: g.Domain, Endpoints: g.Endpoints}
	if g.Guard != nil {
		view.Halts = g.Guard
	}
	dec, ref := q.table.Decide(q.route, view)
	if ref != nil {
		return nil, ref
	}
	q.subject = q.subjectFor(dec.Customer)
	if ref := g.checkQuarantine(q); ref != nil {
		return nil, ref
	}
	return dec, nil
}

// heldAnswer is the complete answer of a cascade step. One that scored below its
// target is delivered if no later step does better.
type heldAnswer struct {
	dec   *route.Decision
	ans   *bufferedAnswer
	score float64
}

// serveChat runs the steps of q's cascade, or the single step of a plain model. A
// refusal it returns means that the request did not run; all other responses it
// writes itself.
func (g *Gateway) serveChat(q *request) *route.Refusal {
	defer q.end()
	steps := q.table.Steps(q.route.APIKey, q.name)
	if len(steps) == 0 {
		if _, ref := g.decide(q, q.name); ref != nil {
			return ref // unknown API key, or a cascade that the customer may not use
		}
	}
	var best *heldAnswer
	var refused *route.Refusal
	for i, st := range steps {
		last := i == len(steps)-1
		if !last && !g.worthTrying(q, steps, i) {
			continue
		}
		dec, ref := g.decide(q, st.Model)
		if ref != nil {
			refused = ref // a later step may still succeed
			continue
		}
		if ref := g.open(q, dec); ref != nil {
			return ref
		}
		if last {
			return g.runLastStep(q, dec, best)
		}
		h := g.tryStep(q, dec)
		if g.passed(q, i, st, h) {
			g.deliver(q, h, false)
			return nil
		}
		best = better(best, h)
	}
	return g.conclude(q, best, refused)
}

// passed reports whether a step's answer reaches the minimum score, and records
// the result in the planner if the answer was rated.
func (g *Gateway) passed(q *request, i int, st config.Step, h *heldAnswer) bool {
	if h == nil || !h.rated() {
		return false
	}
	ok := h.score >= st.MinScore
	if g.Planner != nil {
		g.Planner.Record(q.name, i, q.promptBytes(), ok)
	}
	return ok
}

// better returns the answer with the higher score; either may be nil.
func better(a, b *heldAnswer) *heldAnswer {
	if a == nil || b != nil && b.score > a.score {
		return b
	}
	return a
}

// worthTrying reports whether the planner expects step i of a cascade to pay off for q.
func (g *Gateway) worthTrying(q *request, steps []config.Step, i int) bool {
	if g.Planner == nil {
		return true
	}
	return g.Planner.ShouldTry(q.name, i, q.promptBytes(), q.table.SkipBelow(q.name, steps[i].Model, steps[i+1].Model))
}

// open claims q and opens its ledger record once, before its first dispatch.
func (g *Gateway) open(q *request, dec *route.Decision) *route.Refusal {
	if q.opened {
		return nil
	}
	q.customer = dec.Customer
	if ref := g.claim(q, dec); ref != nil {
		return ref
	}
	q.opened = true
	if g.Bill != nil {
		g.Bill.Open(ledger.Record{RequestID: q.rid, Customer: q.customer})
	}
	return nil
}

// tryStep runs a step whose answer is rated before the caller gets any of it. It
// returns nil if the step gave no complete answer.
func (g *Gateway) tryStep(q *request, dec *route.Decision) *heldAnswer {
	ans := g.newBufferedAnswer(q)
	if res := g.dispatch(q, dec, ans); res.kind != completeAnswer {
		return nil
	}
	h := &heldAnswer{dec: dec, ans: ans, score: g.rate(q, dec, ans.text())}
	g.observe(dec, q.table, h.rated(), h.score)
	return h
}

// runLastStep runs the step whose answer is relayed to the caller as it arrives.
func (g *Gateway) runLastStep(q *request, dec *route.Decision, best *heldAnswer) *route.Refusal {
	out := g.newOutput(q, dec)
	res := g.dispatch(q, dec, out)
	switch res.kind {
	case completeAnswer:
		g.settle(q, ledger.OutcomeOK)
		out.finish()
		g.Scope.Counter("answers").Inc(1)
		g.enqueueRating(q, dec, out.text())
		return nil
	case brokenAnswer:
		g.settle(q, ledger.OutcomeUnknown)
		out.abort(g.failureCode(q, res.code))
		return nil
	}
	return g.conclude(q, best, nil)
}

// deliver sends the caller an answer that was buffered for rating.
func (g *Gateway) deliver(q *request, h *heldAnswer, below bool) {
	if below {
		q.c.Header(openai.HeaderQuality, openai.QualityBelow)
	}
	out := g.newOutput(q, h.dec)
	out.replay(h.ans)
	g.settle(q, ledger.OutcomeOK)
	out.finish()
	g.Scope.Counter("answers").Inc(1)
}

// conclude ends a request for which no step reached its target: with the best
// buffered answer, otherwise immediately with a refusal that states whether the
// request may have run.
func (g *Gateway) conclude(q *request, best *heldAnswer, refused *route.Refusal) *route.Refusal {
	switch {
	case best != nil:
		g.deliver(q, best, true)
		return nil
	case q.mayHaveRun:
		g.settle(q, ledger.OutcomeUnknown)
		g.refuse(q.c, http.StatusGatewayTimeout, openai.OutcomeUnknown, g.failureCode(q, "no_answer"), "no back end answered; one may have run the request", retryUnknown)
		return nil
	}
	if q.opened {
		q.release()
		if g.Bill != nil {
			g.Bill.Drop(q.rid)
		}
	}
	if cutByDrain(q.c) {
		return errDraining
	}
	if refused == nil && q.limitWait > 0 {
		refused = rateLimited(q.limitWait)
	}
	if refused == nil {
		refused = &route.Refusal{Code: "no_capacity", Status: http.StatusServiceUnavailable, Message: "no back end of " + q.name + " took the request", RetryAfter: noCapacityRetry}
	}
	return refused
}

// settle bills q. Every path that ends a request that ran, or may have run, calls
// it exactly once, before the end of the answer is sent.
func (g *Gateway) settle(q *request, outcome string) {
	if g.Bill == nil {
		return
	}
	g.Bill.Settle(q.c.Request.Context(), ledger.Record{RequestID: q.rid, Customer: q.customer, Uses: q.uses, Outcome: outcome})
}

// Values of Retry-After.
const (
	// noCapacityRetry applies when every back end refused.
	noCapacityRetry = 2 * time.Second
	// retryUnknown applies when no back end answered in time, or a claim is unconfirmed.
	retryUnknown = 2 * time.Second
)
