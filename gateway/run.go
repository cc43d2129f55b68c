package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/upstream"
)

// retriesPerRequest is how many retries a request gets after attempts that may
// have started it, on back ends where it may be repeated. Attempts that provably
// did not run do not count.
const retriesPerRequest = 1

// kind is the result of dispatching a step.
type kind int

const (
	noAnswer       kind = iota // no answer; nothing reached the caller
	completeAnswer             // the complete answer is in the sink
	brokenAnswer               // the answer broke off after bytes reached the caller
)

type result struct {
	kind kind
	code string // for brokenAnswer
}

// attempt is the result of one call to one back end.
type attempt struct {
	notRun   bool // the back end provably did not start the request
	draining bool // it refused because it is draining
	relayed  bool // bytes of the answer reached the caller
	complete bool // the complete answer is in the sink
	timedOut bool // the watchdog fired because the back end went silent
	tokens   int
	code     string
	err      error
}

// sink receives an answer. event reports whether bytes of the answer have reached
// the caller; it fails if there is no memory to keep them.
type sink interface {
	streams() bool // whether the back end is asked to stream
	event(data []byte, ch *openai.Chunk) (reached bool, err error)
	// complete receives an answer that was not streamed; err says why it is not a
	// valid answer.
	complete(resp *http.Response, body []byte, b route.BackendInfo) (tokens int, err error)
	reset() // discards an attempt that broke off before anything reached the caller
}

// retryable reports whether a request may be sent again after b may have started
// it. Text generation on engines may; calls to plain services only if configured
// as idempotent.
func retryable(b route.BackendInfo) bool {
	return b.Kind == config.KindEngine || b.Idempotent
}

// dispatch tries the candidates in order as long as the request has provably not
// run. A failed attempt that may have run is retried on the next candidate if the
// request is retryable and the retry budget allows it. Once bytes have reached
// the caller, no other back end is tried.
func (g *Gateway) dispatch(q *request, dec *route.Decision, s sink) result {
	g.budget.deposit()
	retries := 0
	for _, b := range dec.Candidates {
		if !g.Endpoints.Accepts(b.Name) {
			continue // since the decision
		}
		if wait := g.acquireLimit(q.c.Request.Context(), b); wait > 0 {
			q.noteRateLimited(wait)
			continue
		}
		a := g.try(q, dec, b, s)
		if a.tokens > 0 {
			q.uses = append(q.uses, ledger.Use{Model: dec.Model, Version: dec.Version, Tokens: a.tokens})
		}
		if a.complete {
			g.Endpoints.Answered(b.Name)
			g.recordServed(q, b)
			q.mayHaveRun = true
			return result{kind: completeAnswer}
		}
		gone := q.c.Request.Context().Err() != nil // the caller disconnected or the entry stops; not a fault of the back end
		if !gone {
			g.recordFailure(b, a)
			g.recordCrash(q, b, a)
			g.recordBroken(q, b, a)
		}
		if a.notRun && !gone {
			g.Log.Info("gateway: back end did not start the request; trying the next.", "backend", b.Name, "request", q.rid, "error", a.err)
			continue
		}
		q.mayHaveRun = q.mayHaveRun || !a.notRun
		if !gone {
			g.observeFailure(q, dec)
		}
		if a.relayed {
			return result{kind: brokenAnswer, code: a.code}
		}
		if gone || g.checkQuarantine(q) != nil || !retryable(b) || retries >= retriesPerRequest || !g.budget.tryWithdraw() {
			return result{kind: noAnswer}
		}
		retries++
		s.reset()
		g.Scope.Counter("retries").Inc(1)
		g.Log.Warn("gateway: back end failed before any of its answer was relayed; retrying on the next.", "backend", b.Name, "request", q.rid, "code", a.code, "error", a.err)
	}
	return result{kind: noAnswer}
}

// recordFailure updates the state of the back end of a failed attempt.
func (g *Gateway) recordFailure(b route.BackendInfo, a attempt) {
	if a.draining {
		return // recorded with the answer
	}
	g.Endpoints.Failed(b.Name)
	if a.timedOut {
		g.connPools.drop(b.Address)
	}
}

// recordBroken logs and counts an answer that is not valid or not whole.
func (g *Gateway) recordBroken(q *request, b route.BackendInfo, a attempt) {
	reason := a.code
	var noAnswer *url.Error
	switch defect, bound := upstream.DefectOf(a.err), upstream.BoundOf(a.err); {
	case defect != "":
		reason = string(defect)
	case bound != "":
		reason = string(bound)
	case a.code == "" && !a.notRun && errors.As(a.err, &noAnswer):
		reason = "no_answer"
	case a.code == "": // an answer that says that the back end failed
		return
	}
	g.Scope.Tagged(map[string]string{"reason": reason}).Counter("broken_answers").Inc(1)
	g.Log.Warn("gateway: back end's answer is broken.", "backend", b.Name, "request", q.rid, "reason", reason, "relayed", a.relayed, "error", a.err)
}

// watchdog cancels a call when the back end is silent for too long.
type watchdog struct {
	timer clockwork.Timer
	fired atomic.Bool
}

func (g *Gateway) startWatchdog(cancel context.CancelFunc, d time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = g.Clock.AfterFunc(d, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// try makes one call to b. The back end's in-flight count covers the whole answer,
// not just its headers, so that load-based selection accounts for long streams.
func (g *Gateway) try(q *request, dec *route.Decision, b route.BackendInfo, s sink) attempt {
	done := g.Endpoints.Begin(b.Name)
	defer done()
	ctx, cancel := context.WithCancel(q.c.Request.Context())
	defer cancel()
	first := g.Timeouts.FirstToken
	if !s.streams() {
		first = g.Timeouts.Unary
	}
	wd := g.startWatchdog(cancel, first)
	defer wd.timer.Stop()
	g.pin(q, dec)
	q.c.Header(openai.HeaderVersion, dec.Version)
	q.c.Header(openai.HeaderBackend, b.Name)
	resp, a := g.call(ctx, q, b, s.streams())
	if resp != nil {
		defer resp.Body.Close()
		if s.streams() {
			a = g.relayStream(resp, q, b, wd, s)
		} else {
			a = g.relayBody(resp, q, b, s)
		}
	}
	a.timedOut = wd.fired.Load()
	if a.timedOut && a.code == "" {
		a.code = "backend_silent"
	}
	return a
}

// backendCall is what is sent to a back end. Calls to plain services are forwarded unchanged.
type backendCall struct {
	path        string
	body        []byte
	contentType string
}

const chatPath = "/v1/chat/completions"

// newBackendCall returns the call to b for q.
func newBackendCall(q *request, b route.BackendInfo, stream bool) (backendCall, error) {
	if q.service != nil {
		return *q.service, nil
	}
	body, err := payload(q, b, stream)
	return backendCall{path: chatPath, body: body, contentType: "application/json"}, err
}

// payload is the caller's body with the model name that an engine serves, so that
// an engine with another version loaded refuses instead of running it.
func payload(q *request, b route.BackendInfo, stream bool) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(q.fields)+1)
	for k, v := range q.fields {
		out[k] = v
	}
	if b.Kind == config.KindEngine {
		name, err := json.Marshal(b.Serves())
		if err != nil {
			return nil, err
		}
		out["model"] = name
	}
	out["stream"] = json.RawMessage("false")
	if stream {
		out["stream"] = json.RawMessage("true")
	}
	return json.Marshal(out)
}

// call sends the request. notRun is set only if the back end provably did not
// start it: the request's headers were not completely written, or the back end
// refused before doing any work.
func (g *Gateway) call(ctx context.Context, q *request, b route.BackendInfo, stream bool) (*http.Response, attempt) {
	out, err := newBackendCall(q, b, stream)
	if err != nil {
		return nil, attempt{notRun: true, err: err}
	}
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+out.path, bytes.NewReader(out.body))
	if err != nil {
		return nil, attempt{notRun: true, err: err}
	}
	hreq.Header.Set("Content-Type", out.contentType)
	hreq.Header.Set(openai.HeaderRequestID, q.rid)
	if key := q.c.GetHeader(openai.HeaderIdempotencyKey); key != "" {
		hreq.Header.Set(openai.HeaderIdempotencyKey, key)
	}
	// If a reused connection breaks before the answer, net/http retries by
	// itself a request whose body it can read again. The back end may already
	// have run it, so a non-idempotent call could run twice. Without GetBody
	// net/http does not retry.
	hreq.GetBody = nil
	resp, err := g.connPools.client(b.Address, !retryable(b)).Do(hreq)
	if err != nil {
		return nil, attempt{notRun: !wrote.Load(), err: err}
	}
	g.recordLimit(b, resp.Header)
	draining := resp.Header.Get(openai.HeaderDraining) != ""
	if draining {
		g.Endpoints.Draining(b.Name, 0)
	}
	if rest := retry.ParseAfter(resp.Header.Get("Retry-After")); rest > 0 && resp.StatusCode == http.StatusServiceUnavailable {
		g.Endpoints.Rest(b.Name, rest)
		g.Log.Info("gateway: back end asks for a rest.", "backend", b.Name, "ms", rest.Milliseconds())
	}
	if resp.StatusCode == http.StatusOK || q.service != nil && !rejectedBeforeStart(resp.StatusCode, true) {
		return resp, attempt{} // an error status of a service is its answer
	}
	resp.Body.Close()
	return nil, attempt{notRun: rejectedBeforeStart(resp.StatusCode, q.service != nil), draining: draining,
		err: fmt.Errorf("back end answered %d", resp.StatusCode)}
}

// rejectedBeforeStart reports whether a back end sends this status before doing
// any work: no capacity, draining, or, from an engine, another version loaded than
// the requested one. A 404 from a service is its answer.
func rejectedBeforeStart(status int, service bool) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound && !service
}
