package gateway

import (
	"context"
	"encoding/json"
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
	"github.com/jonboulle/clockwork"
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

// Claimer claims an idempotency key before a non-idempotent call;
// idem.Claims implements it.
type Claimer interface {
	Claim(ctx context.Context, customer, key, rid string) error
	// Release gives back the claim of a request that did not run.
	Release(customer, key, rid string)
}

// Timeouts bound a call to a back end. FirstToken catches a connection that
// went silent for good: without it a caller would wait forever with nothing
// coming back. Idle bounds the gap between streamed tokens; Whole bounds a
// call whose answer is not streamed.
type Timeouts struct {
	FirstToken time.Duration
	Idle       time.Duration
	Whole      time.Duration
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

	keys  *session.Keyring // nil: sessions are pinned by hash only
	bill  Biller           // nil: nothing is billed (benchmarks)
	idem  Claimer          // nil: idempotency keys are not claimed
	clock clockwork.Clock

	seq      atomic.Uint64
	instance string
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a gateway for an entry in domain. keys and bill may be nil.
func New(instance, domain string, tables Tables, loads *Loads, keys *session.Keyring, bill Biller, claims Claimer, to Timeouts,
	clock clockwork.Clock, log *slog.Logger, scope tally.Scope) *Gateway {
	return &Gateway{
		instance: instance, domain: domain, tables: tables, loads: loads, keys: keys, bill: bill, idem: claims, clock: clock, timeouts: to, log: log, scope: scope,
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
	release, ok := g.claim(c, dec, rid)
	if !ok {
		return
	}
	if ran := g.dispatch(c, dec, rid, body, req.Stream); !ran {
		release()
	}
}

// pin reads a session token. A token that does not verify, or names another
// session or model, is ignored: the session is then decided afresh, which is
// no worse than a caller who never had a token.
func (g *Gateway) pin(c *gin.Context, r *route.Request) {
	tok := c.GetHeader(openai.HeaderSessionToken)
	if g.keys == nil || tok == "" || r.Session == "" {
		return
	}
	cl, err := g.keys.Verify(tok, g.clock.Now())
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
	tok, err := g.keys.Sign(session.Claims{Customer: dec.Customer, Session: r.Session, Model: dec.Model, Version: dec.Version}, g.clock.Now())
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
