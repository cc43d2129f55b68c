package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/session"
)

// Tables gives the table in force; configwatch.Watcher implements it.
type Tables interface {
	Table() *route.Table
}

// Biller takes one record per request that ran; ledger.Ledger implements it.
type Biller interface {
	Add(ledger.Record)
}

// Timeouts bound a call to a back end. FirstToken catches a connection that
// went silent for good: without it a caller would wait forever with nothing
// coming back.
type Timeouts struct {
	FirstToken time.Duration
	Idle       time.Duration
}

// retryNoConfig is the Retry-After given before the first configuration.
const retryNoConfig = 1 * time.Second

// Gateway serves the caller API.
type Gateway struct {
	domain   string
	tables   Tables
	loads    *Loads
	client   *http.Client
	timeouts Timeouts
	log      *slog.Logger
	scope    tally.Scope

	keys *session.Keyring // nil: sessions are pinned by hash only
	bill Biller           // nil: nothing is billed (benchmarks)
	now  func() time.Time

	seq      atomic.Uint64
	instance string
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a gateway for an entry in domain. keys may be nil.
func New(instance, domain string, tables Tables, loads *Loads, keys *session.Keyring, bill Biller, to Timeouts, log *slog.Logger, scope tally.Scope) *Gateway {
	return &Gateway{
		instance: instance, domain: domain, tables: tables, loads: loads, keys: keys, bill: bill, now: time.Now, timeouts: to, log: log, scope: scope,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// InFlight is the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Drain makes the gateway refuse new requests (not run, with Retry-After)
// while those in flight finish.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Register adds the caller API to r.
func (g *Gateway) Register(r gin.IRoutes) {
	r.POST("/v1/chat/completions", g.chat)
}

func (g *Gateway) refuse(c *gin.Context, status int, outcome, code, msg string, retry time.Duration) {
	body := openai.ErrorBody{Error: openai.ErrorDetail{Type: outcome, Code: code, Message: msg}}
	if retry > 0 {
		secs := int((retry + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(secs))
		body.Error.RetryAfterSeconds = secs
	}
	g.scope.Tagged(map[string]string{"outcome": outcome, "code": code}).Counter("refusals").Inc(1)
	c.AbortWithStatusJSON(status, body)
}

func apiKey(c *gin.Context) string {
	return strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
}

func (g *Gateway) chat(c *gin.Context) {
	if g.draining.Load() {
		g.refuse(c, http.StatusServiceUnavailable, openai.OutcomeNotRun, "draining", "this entry is shutting down; any other entry will serve you", time.Second)
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, 4<<20))
	if err != nil {
		g.refuse(c, http.StatusBadRequest, openai.OutcomeNotRun, "bad_request", err.Error(), 0)
		return
	}
	var req openai.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		g.refuse(c, http.StatusBadRequest, openai.OutcomeNotRun, "bad_request", "body is not a chat completion request: "+err.Error(), 0)
		return
	}
	t := g.tables.Table()
	if t == nil {
		g.refuse(c, http.StatusServiceUnavailable, openai.OutcomeNotRun, "no_config", "this entry has no configuration yet", retryNoConfig)
		return
	}
	rr := route.Request{
		APIKey:      apiKey(c),
		Model:       req.Model,
		Session:     c.GetHeader(openai.HeaderSessionID),
		AffinityKey: affinity(req),
	}
	g.pin(c, &rr)
	dec, ref := t.Decide(rr, g.domain, g.loads)
	if ref != nil {
		g.refuse(c, ref.Status, openai.OutcomeNotRun, ref.Code, ref.Message, ref.RetryAfter)
		return
	}
	g.issueToken(c, rr, dec)
	rid := fmt.Sprintf("%s-%d", g.instance, g.seq.Add(1))
	c.Header(openai.HeaderRequestID, rid)
	c.Header(openai.HeaderVersion, dec.Version)
	c.Header(openai.HeaderRevision, strconv.FormatInt(int64(t.Revision), 10))
	g.dispatch(c, dec, rid, body, req.Stream)
}

// pin reads a session token. A token that does not verify, or names another
// session or model, is ignored: the session is then decided afresh, which is
// no worse than a caller who never had a token.
func (g *Gateway) pin(c *gin.Context, r *route.Request) {
	tok := c.GetHeader(openai.HeaderSessionToken)
	if g.keys == nil || tok == "" || r.Session == "" {
		return
	}
	cl, err := g.keys.Verify(tok, g.now())
	if err != nil || cl.Session != r.Session || cl.Model != r.Model {
		g.scope.Counter("session_tokens_ignored").Inc(1)
		return
	}
	r.PinnedVersion, r.PinnedCustomer = cl.Version, cl.Customer
}

// issueToken gives a new session its pin.
func (g *Gateway) issueToken(c *gin.Context, r route.Request, dec *route.Decision) {
	if g.keys == nil || r.Session == "" || r.PinnedVersion == dec.Version {
		return
	}
	tok, err := g.keys.Sign(session.Claims{Customer: dec.Customer, Session: r.Session, Model: dec.Model, Version: dec.Version}, g.now())
	if err != nil {
		g.log.Error("gateway: could not sign a session token.", "error", err)
		return
	}
	c.Header(openai.HeaderSessionToken, tok)
}

// affinity keys a request by the start of its first message: requests that
// share a prompt prefix share cache on an engine.
func affinity(r openai.ChatRequest) string {
	const prefixBytes = 256
	if len(r.Messages) == 0 {
		return ""
	}
	s := r.Messages[0].Content
	if len(s) > prefixBytes {
		s = s[:prefixBytes]
	}
	return s
}

// dispatch tries candidates in order while the request has provably not
// run (connection refused, engine refused for capacity); once a back end may
// have started it, no other is tried.
func (g *Gateway) dispatch(c *gin.Context, dec *route.Decision, rid string, body []byte, stream bool) {
	for _, b := range dec.Candidates {
		resp, notRun, err := g.call(c.Request.Context(), b, rid, body)
		if err != nil && notRun {
			g.log.Info("gateway: back end did not take the request; trying the next.", "backend", b.Name, "request", rid, "error", err)
			continue
		}
		if err != nil {
			g.record(dec, rid, 0, openai.OutcomeUnknown)
			g.refuse(c, http.StatusGatewayTimeout, openai.OutcomeUnknown, "backend_failed",
				fmt.Sprintf("back end %s failed after the request was sent; it may have run", b.Name), 0)
			return
		}
		c.Header(openai.HeaderBackend, b.Name)
		tokens, whole := g.relay(c, resp, rid, stream, b)
		outcome := "ok"
		if !whole {
			outcome = openai.OutcomeUnknown
		}
		g.record(dec, rid, tokens, outcome)
		return
	}
	g.refuse(c, http.StatusServiceUnavailable, openai.OutcomeNotRun, "no_capacity",
		fmt.Sprintf("no back end of %s@%s took the request", dec.Model, dec.Version), 2*time.Second)
}

// call sends the request. notRun is true only when the back end provably did
// not start it: the dial failed, or it answered 429/503 before any work.
func (g *Gateway) call(ctx context.Context, b route.BackendInfo, rid string, body []byte) (*http.Response, bool, error) {
	done := g.loads.Begin(b.Name)
	defer done()
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

// record bills a request that ran, or may have run, exactly once: the
// gateway calls it once per request id, on the one path that ends it.
func (g *Gateway) record(dec *route.Decision, rid string, tokens int, outcome string) {
	if g.bill == nil {
		return
	}
	g.bill.Add(ledger.Record{RequestID: rid, Customer: dec.Customer, Model: dec.Model, Version: dec.Version, Tokens: tokens, Outcome: outcome})
}

// relay copies the answer to the caller and returns the tokens relayed and
// whether the answer arrived whole.
func (g *Gateway) relay(c *gin.Context, resp *http.Response, rid string, stream bool, b route.BackendInfo) (int, bool) {
	defer resp.Body.Close()
	if !stream {
		return g.relayWhole(c, resp)
	}
	c.Header("Content-Type", "text/event-stream")
	c.Header("Cache-Control", "no-cache")
	c.Status(http.StatusOK)
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	tokens := 0
	for sc.Scan() {
		line := sc.Bytes()
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		data := line[len("data: "):]
		if !bytes.Equal(data, []byte("[DONE]")) {
			var ch openai.Chunk
			if err := json.Unmarshal(data, &ch); err != nil || ch.ID != rid {
				// Another request's chunk must never reach this caller.
				g.log.Error("gateway: chunk for another request; cutting the stream.", "backend", b.Name, "request", rid, "chunk_id", ch.ID)
				g.streamError(c, "mismatched_chunk")
				return tokens, false
			}
			tokens++
		}
		_, _ = c.Writer.Write([]byte("data: "))
		_, _ = c.Writer.Write(data)
		_, _ = c.Writer.Write([]byte("\n\n"))
		c.Writer.Flush()
		if bytes.Equal(data, []byte("[DONE]")) {
			g.scope.Counter("answers").Inc(1)
			return tokens, true
		}
	}
	g.streamError(c, "stream_cut")
	return tokens, false
}

func (g *Gateway) relayWhole(c *gin.Context, resp *http.Response) (int, bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	var ans openai.ChatResponse
	if err == nil {
		err = json.Unmarshal(body, &ans)
	}
	if err != nil {
		g.refuse(c, http.StatusBadGateway, openai.OutcomeUnknown, "answer_cut", "the back end's answer broke off; the request may have run", 0)
		return 0, false
	}
	c.Data(http.StatusOK, "application/json", body)
	g.scope.Counter("answers").Inc(1)
	return ans.Usage.CompletionTokens, true
}

// streamError ends a stream that broke after it began: the caller is told in
// band, never left waiting.
func (g *Gateway) streamError(c *gin.Context, code string) {
	g.scope.Tagged(map[string]string{"code": code}).Counter("stream_errors").Inc(1)
	b, _ := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{Type: openai.OutcomeUnknown, Code: code,
		Message: "the answer broke off after it began; the request may have run"}})
	_, _ = c.Writer.Write([]byte("data: "))
	_, _ = c.Writer.Write(b)
	_, _ = c.Writer.Write([]byte("\n\n"))
	c.Writer.Flush()
}
