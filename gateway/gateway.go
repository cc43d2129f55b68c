package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/endpoints"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/ledger"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rater"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/session"
	"github.com/lovageweir/lovageweir/upstream"
)

// Tables provides the routing table in force; configwatch.Watcher implements it.
type Tables interface {
	Table() *route.Table
	// Refresh updates the table if it may be stale, as after a pause of the process.
	// It returns within a short time in any case.
	Refresh(ctx context.Context)
}

// Biller bills each request that ran; ledger.Ledger implements it.
type Biller interface {
	// Open records a request before its dispatch; Settle bills it, Drop discards
	// the record because the request did not run.
	Open(ledger.Record)
	Settle(context.Context, ledger.Record)
	Drop(requestID string)
}

// Claimer claims an idempotency key before a non-idempotent call;
// idem.Claims implements it.
type Claimer interface {
	Claim(ctx context.Context, customer, key, rid string) error
	// Release releases the claim of a request that did not run.
	Release(customer, key, rid string)
}

// Guard counts the answers of guarded versions and tracks which are halted;
// guard.Guard implements it.
type Guard interface {
	route.Halts
	Observe(subject string, bad bool)
}

// Timeouts bound a call to a back end. FirstToken detects half-open connections,
// on which a caller would otherwise wait forever. Idle bounds the gap between
// streamed tokens; Unary bounds a call whose answer is not streamed.
type Timeouts struct {
	FirstToken time.Duration
	Idle       time.Duration
	Unary      time.Duration
}

// Deps are the dependencies of a Gateway. Fields marked optional may be nil.
type Deps struct {
	Instance    string
	Incarnation int64 // incarnation of the process; makes request ids unique across restarts
	Domain      string
	Tables      Tables
	Endpoints   *endpoints.Table
	Keys        *session.Keyring // optional: without it, sessions are pinned by hash only
	Bill        Biller           // optional: without it, nothing is billed
	Claims      Claimer          // optional: without it, idempotency keys are not claimed
	Guard       Guard            // optional: without it, no version is guarded
	Rater       rater.Rater      // optional: without it, answers are not rated
	Planner     *cascade.Planner // optional: without it, every step of a cascade is tried
	Gate        *drain.Gate      // optional: without it, the gateway never drains
	// Quarantine tracks requests that crash back ends; optional: without it, none is
	// quarantined.
	Quarantine *quarantine.Table
	// Limits are the rate limits that back ends advertise; optional: without it, they are
	// not enforced.
	Limits *ratelimit.Limits
	// BodyMemory bounds the memory of request bodies, as sent and as decoded; nil: unlimited.
	BodyMemory *membudget.Budget
	// AnswerMemory bounds the memory of buffered answers; nil: unlimited.
	AnswerMemory *membudget.Budget
	// Connections makes room for bodies; optional: without it, none is made.
	Connections *listen.Pool
	Timeouts    Timeouts
	Clock       clockwork.Clock
	Log         *slog.Logger
	Scope       tally.Scope
}

// Gateway serves the caller API.
type Gateway struct {
	Deps
	connPools *connPools
	prober    upstream.Prober
	budget    *retryBudget
	ratings   chan rating

	seq atomic.Uint64
}

// New returns a Gateway with dependencies d.
func New(d Deps) *Gateway {
	if d.Gate == nil {
		d.Gate = drain.NewGate(d.Clock)
	}
	return &Gateway{Deps: d, connPools: newConnPools(), budget: newRetryBudget(), ratings: make(chan rating, ratingQueueSize)}
}

// Register adds the routes of the caller API to r.
func (g *Gateway) Register(r gin.IRoutes) {
	r.POST(chatPath, g.admit(g.chat))
	r.POST(ServicePrefix+":name/*path", g.admit(g.service))
}

// refuse sends an error response. The outcome must state truthfully whether the
// request ran; a retry other than zero is sent as Retry-After.
func (g *Gateway) refuse(c *gin.Context, status int, outcome, code, msg string, retry time.Duration) {
	body := openai.ErrorBody{Error: openai.ErrorDetail{Type: outcome, Code: code, Message: msg}}
	if retry > 0 {
		secs := int((retry + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(secs))
		body.Error.RetryAfterSeconds = secs
	}
	g.Scope.Tagged(map[string]string{"outcome": outcome, "code": code}).Counter("refusals").Inc(1)
	g.closeConnIfStopping(c)
	c.AbortWithStatusJSON(status, body)
}

func (g *Gateway) refuseNotRun(c *gin.Context, r *route.Refusal) {
	g.refuse(c, r.Status, openai.OutcomeNotRun, r.Code, r.Message, r.RetryAfter)
}

// Refusals issued before anything is sent to a back end.
var (
	errDraining = &route.Refusal{Code: "draining", Status: http.StatusServiceUnavailable,
		Message: "this entry is shutting down; any other entry will serve you", RetryAfter: time.Second}
	errNoConfig = &route.Refusal{Code: "no_config", Status: http.StatusServiceUnavailable,
		Message: "this entry has no configuration yet", RetryAfter: time.Second}
	errMemory = &route.Refusal{Code: "bodies_fill_memory", Status: http.StatusServiceUnavailable,
		Message: "the bodies of other requests fill the memory; the request did not run", RetryAfter: time.Second}
	errTooLarge = &route.Refusal{Code: "too_large", Status: http.StatusRequestEntityTooLarge, Message: "the body is too large"}
)

func badRequest(msg string) *route.Refusal {
	return &route.Refusal{Code: "bad_request", Status: http.StatusBadRequest, Message: msg}
}

func apiKey(c *gin.Context) string {
	return strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
}
