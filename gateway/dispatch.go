package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// retryBudget is how many more back ends a request may try after one that
// may have started it (went silent before its first token). Only
// idempotent back ends are retried so; tries after a provable refusal (not
// run) do not count against it.
const retryBudget = 1

// retryUnknown is the Retry-After given when no back end answered in time.
const retryUnknown = 2 * time.Second

// attempt is what one try at one back end came to.
type attempt struct {
	notRun  bool // the back end provably did not start the request
	started bool // bytes of the answer reached the caller
	timeout bool // the watchdog fired: the back end went silent
	whole   bool // the whole answer reached the caller
	tokens  int
	err     error
}

// dispatch tries candidates in order while the request has provably not run,
// and retries a silent idempotent back end within the retry budget; once an
// answer has begun reaching the caller no other back end is tried. It
// returns whether the request ran or may have run.
func (g *Gateway) dispatch(c *gin.Context, dec *route.Decision, rid string, body []byte, stream bool) (ran bool) {
	retries := 0
	mayHaveRun := false
	for _, b := range dec.Candidates {
		a := g.try(c, b, rid, body, stream)
		switch {
		case a.notRun:
			g.log.Info("gateway: back end did not take the request; trying the next.", "backend", b.Name, "request", rid, "error", a.err)
			continue
		case a.started || a.err == nil:
			g.finish(dec, rid, a)
			return true
		}
		mayHaveRun = true
		if a.timeout && mayRepeat(b) && retries < retryBudget {
			retries++
			g.scope.Counter("retries").Inc(1)
			g.log.Warn("gateway: back end went silent before its first token; trying the next.", "backend", b.Name, "request", rid)
			continue
		}
		g.record(dec, rid, 0, openai.OutcomeUnknown)
		g.refuse(c, http.StatusGatewayTimeout, openai.OutcomeUnknown, "backend_failed",
			fmt.Sprintf("back end %s failed after the request was sent; it may have run", b.Name), retryUnknown)
		return true
	}
	if mayHaveRun {
		g.record(dec, rid, 0, openai.OutcomeUnknown)
		g.refuse(c, http.StatusGatewayTimeout, openai.OutcomeUnknown, "no_answer",
			"no back end answered in time; one may have run the request", retryUnknown)
		return true
	}
	g.refuse(c, http.StatusServiceUnavailable, openai.OutcomeNotRun, "no_capacity",
		fmt.Sprintf("no back end of %s@%s took the request", dec.Model, dec.Version), noCapacityRetry)
	return false
}

// noCapacityRetry is the Retry-After when every back end refused.
const noCapacityRetry = 2 * time.Second

// mayRepeat says whether a request may be sent again after a back end may
// have started it. Engines generate text and may; plain services may only
// when configured idempotent.
func mayRepeat(b route.BackendInfo) bool {
	return b.Kind == config.KindEngine || b.Idempotent
}

func (g *Gateway) finish(dec *route.Decision, rid string, a attempt) {
	outcome := "ok"
	if !a.whole {
		outcome = openai.OutcomeUnknown
	}
	g.record(dec, rid, a.tokens, outcome)
}

// record bills a request that ran, or may have run, exactly once: dispatch
// calls it once per request id, on the one path that ends the request.
func (g *Gateway) record(dec *route.Decision, rid string, tokens int, outcome string) {
	if g.bill == nil {
		return
	}
	g.bill.Add(ledger.Record{RequestID: rid, Customer: dec.Customer, Model: dec.Model, Version: dec.Version, Tokens: tokens, Outcome: outcome})
}

// watchdog cancels a call when the back end stays silent too long.
type watchdog struct {
	timer clockwork.Timer
	fired atomic.Bool
}

func (g *Gateway) watch(cancel context.CancelFunc, d time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = g.clock.AfterFunc(d, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// try makes one call to b. The back end's in-flight count covers the whole
// answer, not just its headers, so load-based choice sees long streams.
func (g *Gateway) try(c *gin.Context, b route.BackendInfo, rid string, body []byte, stream bool) attempt {
	done := g.loads.Begin(b.Name)
	defer done()
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	first := g.timeouts.FirstToken
	if !stream {
		first = g.timeouts.Whole
	}
	wd := g.watch(cancel, first)
	defer wd.timer.Stop()
	resp, notRun, err := g.call(ctx, b, rid, body)
	if err != nil {
		return attempt{notRun: notRun, timeout: wd.fired.Load(), err: err}
	}
	defer resp.Body.Close()
	c.Header(openai.HeaderBackend, b.Name)
	if !stream {
		a := g.relayWhole(c, resp)
		a.timeout = wd.fired.Load()
		return a
	}
	return g.relayStream(c, resp, rid, b, wd)
}

// call sends the request. notRun is true only when the back end provably did
// not start it: the dial failed, or it answered 429/503 before any work.
func (g *Gateway) call(ctx context.Context, b route.BackendInfo, rid string, body []byte) (*http.Response, bool, error) {
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, true, err
	}
	hreq.Header.Set("Content-Type", "application/json")
	hreq.Header.Set(openai.HeaderRequestID, rid)
	resp, err := g.client.Do(hreq)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, true, err
		}
		return nil, false, err
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		resp.Body.Close()
		return nil, true, fmt.Errorf("back end refused with %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, false, fmt.Errorf("back end answered %d", resp.StatusCode)
	}
	return resp, false, nil
}

// sseScanBuffer is the first size of the line buffer; lines may grow to
// sseMaxLine. Small to start, since ~100 streams are in flight per entry.
const (
	sseScanBuffer = 4 << 10
	sseMaxLine    = 1 << 20
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// relayStream copies the engine's events to the caller. Nothing is written
// to the caller before the first event, so a back end that stays silent can
// still be given up on cleanly (and, if idempotent, retried elsewhere).
func (g *Gateway) relayStream(c *gin.Context, resp *http.Response, rid string, b route.BackendInfo, wd *watchdog) attempt {
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, sseScanBuffer), sseMaxLine)
	var a attempt
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		wd.timer.Reset(g.timeouts.Idle)
		last := bytes.Equal(data, doneMarker)
		if !last {
			var ch openai.Chunk
			if err := json.Unmarshal(data, &ch); err != nil || ch.ID != rid {
				// Another request's chunk must never reach this caller.
				g.log.Error("gateway: chunk for another request; cutting the stream.", "backend", b.Name, "request", rid, "chunk_id", ch.ID)
				return g.breakStream(c, a, "mismatched_chunk")
			}
			a.tokens++
		}
		if !a.started {
			c.Header("Content-Type", "text/event-stream")
			c.Header("Cache-Control", "no-cache")
			c.Status(http.StatusOK)
			a.started = true
		}
		writeEvent(c, data)
		if last {
			g.scope.Counter("answers").Inc(1)
			a.whole = true
			return a
		}
	}
	a.timeout = wd.fired.Load()
	code := "stream_cut"
	if a.timeout {
		code = "backend_silent"
	}
	return g.breakStream(c, a, code)
}

// breakStream ends a stream that broke. Once it has begun the caller is told
// in band, never left waiting; before that dispatch decides what to say.
func (g *Gateway) breakStream(c *gin.Context, a attempt, code string) attempt {
	a.err = errors.New(code)
	if !a.started {
		return a
	}
	g.scope.Tagged(map[string]string{"code": code}).Counter("stream_errors").Inc(1)
	b, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{Type: openai.OutcomeUnknown, Code: code,
		Message: "the answer broke off after it began; the request may have run"}})
	writeEvent(c, b)
	return a
}

func writeEvent(c *gin.Context, data []byte) {
	_, _ = c.Writer.Write(dataPrefix)
	_, _ = c.Writer.Write(data)
	_, _ = c.Writer.Write([]byte("\n\n"))
	c.Writer.Flush()
}

func (g *Gateway) relayWhole(c *gin.Context, resp *http.Response) attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	var ans openai.ChatResponse
	if err == nil {
		err = json.Unmarshal(body, &ans)
	}
	if err != nil {
		return attempt{err: err}
	}
	c.Data(http.StatusOK, "application/json", body)
	g.scope.Counter("answers").Inc(1)
	return attempt{started: true, whole: true, tokens: ans.Usage.CompletionTokens}
}
