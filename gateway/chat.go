package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/route"
)

// maxBody bounds a request's body: a dossier is tens of kilobytes.
const maxBody = 4 << 20

// request is one caller's request on its way.
type request struct {
	c      *gin.Context
	rid    string
	name   string // the model or cascade asked for
	stream bool
	body   []byte                     // as the caller sent it
	fields map[string]json.RawMessage // the body, to be sent on
	chat   openai.ChatRequest
	// service is set for a call to a plain service; fields and chat are not.
	service *serviceCall
	table   *route.Table
	route   route.Request

	customer    string
	fingerprint quarantine.Fingerprint
	opened      bool
	// roomIn is when the first of the back ends left out by their limits has room; 0:
	// none was.
	roomIn     time.Duration
	mayHaveRun bool // a back end may have run it, wholly or in part
	uses       []ledger.Use
	pins       map[string]string // the session's versions, by model
	release    func()            // gives back its idempotency key
}

// leftOut notes that a back end has no room for so long.
func (q *request) leftOut(wait time.Duration) {
	if q.roomIn == 0 || wait < q.roomIn {
		q.roomIn = wait
	}
}

// promptBytes is the size of the prompt, which cascades learn by.
func (q *request) promptBytes() int {
	n := 0
	for _, m := range q.chat.Messages {
		n += len(m.Content)
	}
	return n
}

// chat serves one chat completion.
func (g *Gateway) chat(c *gin.Context) *route.Refusal {
	q, ref := g.read(c)
	if ref != nil {
		return ref
	}
	return g.serve(q)
}

// readBody reads a request's body whole, or says why not.
func readBody(c *gin.Context) ([]byte, *route.Refusal) {
	stop := drain.InterruptReading(c.Request.Context(), c.Writer)
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, maxBody+1))
	stop()
	if err != nil && cutOff(c) {
		return nil, errDraining
	}
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if len(body) > maxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// read takes a chat request in.
func (g *Gateway) read(c *gin.Context) (*request, *route.Refusal) {
	body, ref := readBody(c)
	if ref != nil {
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
	q.route.AffinityKey = affinity(q.chat)
	return q, g.begin(q)
}

// begin gives q its id and fixes the table it is decided under.
func (g *Gateway) begin(q *request) *route.Refusal {
	g.Tables.Refresh(q.c.Request.Context())
	if q.table = g.Tables.Table(); q.table == nil {
		return errNoConfig
	}
	g.lines.keep(q.table)
	// The life keeps ids apart across restarts: the ledger counts each id
	// once, so an id used again would go unbilled.
	q.rid = fmt.Sprintf("%s-%s-%d", g.Instance, strconv.FormatInt(g.Life, 36), g.seq.Add(1))
	q.route.ID = q.rid
	q.route.APIKey, q.route.Session = apiKey(q.c), q.c.GetHeader(openai.HeaderSessionID)
	g.readPins(q)
	q.c.Header(openai.HeaderRequestID, q.rid)
	q.c.Header(openai.HeaderRevision, strconv.FormatInt(int64(q.table.Revision), 10))
	return nil
}

// affinity keys a request by the start of its first message: requests that
// share a prompt prefix share cache on an engine.
func affinity(r openai.ChatRequest) string {
	const prefixBytes = 256
	if len(r.Messages) == 0 {
		return ""
	}
	s := r.Messages[0].Content
	return s[:min(len(s), prefixBytes)]
}

// decide routes q for one model.
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
	q.fingerprint = q.fingerprintFor(dec.Customer)
	if ref := g.quarantined(q); ref != nil {
		return nil, ref
	}
	return dec, nil
}

// held is a whole answer of a cascade's step that was not good enough; it is
// given if no later step does better.
type held struct {
	dec   *route.Decision
	ans   *answer
	score float64
}

// serve runs q through its steps, a single one for a plain model. A refusal
// it returns is truthfully "not run"; everything else it answers itself.
func (g *Gateway) serve(q *request) *route.Refusal {
	steps := q.table.Steps(q.route.APIKey, q.name)
	if len(steps) == 0 {
		if _, ref := g.decide(q, q.name); ref != nil {
			return ref // the key is unknown, or the cascade not allowed
		}
	}
	var best *held
	var refused *route.Refusal
	for i, st := range steps {
		last := i == len(steps)-1
		if !last && !g.worth(q, steps, i) {
			continue
		}
		dec, ref := g.decide(q, st.Model)
		if ref != nil {
			refused = ref // a later step may still serve
			continue
		}
		if ref := g.open(q, dec); ref != nil {
			return ref
		}
		if last {
			return g.lastStep(q, dec, best)
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

// passed reports whether a step's answer is good enough, and learns from it.
func (g *Gateway) passed(q *request, i int, st config.Step, h *held) bool {
	if h == nil || !h.rated() {
		return false
	}
	ok := h.score >= st.MinScore
	if g.Planner != nil {
		g.Planner.Learn(q.name, i, q.promptBytes(), ok)
	}
	return ok
}

// better returns the answer to hold on to; either may be nil.
func better(a, b *held) *held {
	if a == nil || b != nil && b.score > a.score {
		return b
	}
	return a
}

// worth reports whether step i of a cascade is worth trying on q.
func (g *Gateway) worth(q *request, steps []config.Step, i int) bool {
	if g.Planner == nil {
		return true
	}
	return g.Planner.Worth(q.name, i, q.promptBytes(), q.table.SkipBelow(q.name, steps[i].Model, steps[i+1].Model))
}

// open bills and claims q once, before its first dispatch.
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

// tryStep runs a step whose answer is rated before the caller sees any of
// it. It returns nil when the step gave no whole answer.
func (g *Gateway) tryStep(q *request, dec *route.Decision) *held {
	ans := newAnswer(q)
	if res := g.run(q, dec, ans); res.kind != gotWhole {
		return nil
	}
	h := &held{dec: dec, ans: ans, score: g.rate(q, dec, ans.text())}
	g.observe(dec, q.table, h.rated(), h.score)
	return h
}

// lastStep runs the step whose answer goes to the caller as it comes.
func (g *Gateway) lastStep(q *request, dec *route.Decision, best *held) *route.Refusal {
	out := g.newOutput(q, dec)
	res := g.run(q, dec, out)
	switch res.kind {
	case gotWhole:
		g.settle(q, ledger.OutcomeOK)
		out.finish()
		g.Scope.Counter("answers").Inc(1)
		g.judge(q, dec, out.text())
		return nil
	case gotBroken:
		g.settle(q, ledger.OutcomeUnknown)
		out.breakOff(g.endCode(q, res.code))
		return nil
	}
	return g.conclude(q, best, nil)
}

// deliver gives the caller an answer that was held back for rating.
func (g *Gateway) deliver(q *request, h *held, below bool) {
	if below {
		q.c.Header(openai.HeaderQuality, openai.QualityBelow)
	}
	out := g.newOutput(q, h.dec)
	out.takeOver(h.ans)
	g.settle(q, ledger.OutcomeOK)
	out.finish()
	g.Scope.Counter("answers").Inc(1)
}

// conclude ends a request that no step answered to the target: with the best
// answer held, else with a truthful refusal, at once.
func (g *Gateway) conclude(q *request, best *held, refused *route.Refusal) *route.Refusal {
	switch {
	case best != nil:
		g.deliver(q, best, true)
		return nil
	case q.mayHaveRun:
		g.settle(q, ledger.OutcomeUnknown)
		g.refuse(q.c, http.StatusGatewayTimeout, openai.OutcomeUnknown, g.endCode(q, "no_answer"), "no back end answered; one may have run the request", retryUnknown)
		return nil
	}
	if q.opened {
		q.release()
		if g.Bill != nil {
			g.Bill.Drop(q.rid)
		}
	}
	if cutOff(q.c) {
		return errDraining
	}
	if refused == nil && q.roomIn > 0 {
		refused = limited(q.roomIn)
	}
	if refused == nil {
		refused = &route.Refusal{Code: "no_capacity", Status: http.StatusServiceUnavailable, Message: "no back end of " + q.name + " took the request", RetryAfter: noCapacityRetry}
	}
	return refused
}

// settle bills q exactly once: every path that ends a request that ran, or
// may have run, calls it once, before the end of the answer is sent.
func (g *Gateway) settle(q *request, outcome string) {
	if g.Bill == nil {
		return
	}
	g.Bill.Settle(q.c.Request.Context(), ledger.Record{RequestID: q.rid, Customer: q.customer, Uses: q.uses, Outcome: outcome})
}

// When a caller should come back.
const (
	// noCapacityRetry: every back end refused.
	noCapacityRetry = 2 * time.Second
	// retryUnknown: no back end answered in time, or a claim is unconfirmed.
	retryUnknown = 2 * time.Second
)
