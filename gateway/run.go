package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// retriesPerRequest is how many more back ends a request may try after one
// that may have started it. Only back ends that may repeat are retried so;
// tries after a provable refusal (not run) do not count.
const retriesPerRequest = 1

// kind is what running a step came to.
type kind int

const (
	gotNothing kind = iota // no answer, nothing reached the caller
	gotWhole               // the whole answer is in the sink
	gotBroken              // it broke off after bytes reached the caller
)

type result struct {
	kind kind
	code string // for gotBroken
}

// attempt is what one try at one back end came to.
type attempt struct {
	notRun   bool // the back end provably did not start the request
	draining bool // it refused because it leaves
	started  bool // bytes of the answer reached the caller
	whole    bool // the whole answer is in the sink
	silent   bool // the watchdog fired: the back end went silent
	tokens   int
	code     string
	err      error
}

// sink takes an answer as it comes. event reports whether bytes of it have
// reached the caller.
type sink interface {
	streams() bool // whether the back end is asked to stream
	event(data []byte, ch *openai.Chunk) (reached bool)
	// whole takes an answer that was not streamed; err is why it cannot be
	// one.
	whole(resp *http.Response, body []byte, b route.BackendInfo) (tokens int, err error)
	reset() // forget a try that broke off before anything reached the caller
}

// mayRepeat says whether a request may be sent again after a back end may
// have started it. Engines generate text and may; plain services may only
// when configured idempotent.
func mayRepeat(b route.BackendInfo) bool {
	return b.Kind == config.KindEngine || b.Idempotent
}

// run tries candidates in order while the request has provably not run, and
// repeats a failed one elsewhere within the retry budget if it may; once
// bytes have reached the caller no other back end is tried.
func (g *Gateway) run(q *request, dec *route.Decision, s sink) result {
	g.budget.earn()
	retries := 0
	for _, b := range dec.Candidates {
		if wait := g.room(b); wait > 0 {
			q.leftOut(wait)
			continue
		}
		a := g.try(q, dec, b, s)
		if a.tokens > 0 {
			q.uses = append(q.uses, ledger.Use{Model: dec.Model, Version: dec.Version, Tokens: a.tokens})
		}
		if a.whole {
			g.Endpoints.Answered(b.Name)
			g.served(q)
			q.mayHaveRun = true
			return result{kind: gotWhole}
		}
		gone := q.c.Request.Context().Err() != nil // the caller left, or the entry stops: no fault of the back end
		if !gone {
			g.blame(b, a)
			g.noteCrash(q, b, a)
		}
		if a.notRun && !gone {
			g.Log.Info("gateway: back end did not take the request; trying the next.", "backend", b.Name, "request", q.rid, "error", a.err)
			continue
		}
		q.mayHaveRun = q.mayHaveRun || !a.notRun
		if !gone {
			g.failed(q, dec)
		}
		if a.started {
			return result{kind: gotBroken, code: a.code}
		}
		if gone || g.quarantined(q) != nil || !mayRepeat(b) || retries >= retriesPerRequest || !g.budget.take() {
			return result{kind: gotNothing}
		}
		retries++
		s.reset()
		g.Scope.Counter("retries").Inc(1)
		g.Log.Warn("gateway: back end failed before its answer began; trying the next.", "backend", b.Name, "request", q.rid, "code", a.code, "error", a.err)
	}
	return result{kind: gotNothing}
}

// blame notes what a failed try says about its back end.
func (g *Gateway) blame(b route.BackendInfo, a attempt) {
	if a.draining {
		g.Endpoints.Draining(b.Name)
		return
	}
	g.Endpoints.Failed(b.Name)
	if a.silent {
		g.lines.drop(b.Address)
	}
}

// watchdog cancels a call when the back end stays silent too long.
type watchdog struct {
	timer clockwork.Timer
	fired atomic.Bool
}

func (g *Gateway) watch(cancel context.CancelFunc, d time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = g.Clock.AfterFunc(d, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// try makes one call to b. The back end's in-flight count covers the whole
// answer, not just its headers, so load-based choice sees long streams.
func (g *Gateway) try(q *request, dec *route.Decision, b route.BackendInfo, s sink) attempt {
	done := g.Endpoints.Begin(b.Name)
	defer done()
	ctx, cancel := context.WithCancel(q.c.Request.Context())
	defer cancel()
	first := g.Timeouts.FirstToken
	if !s.streams() {
		first = g.Timeouts.Whole
	}
	wd := g.watch(cancel, first)
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
			a = relayWhole(resp, b, s)
		}
	}
	a.silent = wd.fired.Load()
	if a.silent && a.code == "" {
		a.code = "backend_silent"
	}
	return a
}

// serviceCall is a call to a plain service, sent on as it came.
type serviceCall struct {
	path        string
	body        []byte
	contentType string
}

const chatPath = "/v1/chat/completions"

// outgoing is what goes to b for q.
func outgoing(q *request, b route.BackendInfo, stream bool) (serviceCall, error) {
	if q.service != nil {
		return *q.service, nil
	}
	body, err := payload(q, b, stream)
	return serviceCall{path: chatPath, body: body, contentType: "application/json"}, err
}

// payload is the caller's body with the model name the back end serves, so
// that one that has loaded another version refuses instead of running it.
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

// call sends the request. notRun is set only when the back end provably did
// not start it: the request's headers were never all written, or it refused
// before any work.
func (g *Gateway) call(ctx context.Context, q *request, b route.BackendInfo, stream bool) (*http.Response, attempt) {
	out, err := outgoing(q, b, stream)
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
	// net/http repeats a request by itself when a kept connection breaks
	// before the answer and it can read the body again. Whether the back end
	// ran it is then unknown, and for a posting a repeat is a second posting;
	// without GetBody it does not repeat.
	hreq.GetBody = nil
	resp, err := g.lines.client(b.Address, !mayRepeat(b)).Do(hreq)
	if err != nil {
		return nil, attempt{notRun: !wrote.Load(), err: err}
	}
	g.noteLimit(b, resp.Header)
	if resp.StatusCode == http.StatusOK || q.service != nil && !refusedUnrun(resp.StatusCode, true) {
		return resp, attempt{} // a service's own failure is its answer
	}
	resp.Body.Close()
	return nil, attempt{notRun: refusedUnrun(resp.StatusCode, q.service != nil), draining: resp.Header.Get(openai.HeaderDraining) != "",
		err: fmt.Errorf("back end answered %d", resp.StatusCode)}
}

// refusedUnrun are the answers that back ends give before any work: no
// capacity or leaving; and, from an engine, another version loaded than the
// one asked for (a service's 404 is its answer).
func refusedUnrun(status int, service bool) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound && !service
}
