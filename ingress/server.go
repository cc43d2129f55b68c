package ingress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/upstream"
)

// Knowledge is what the server needs of the fleet; fleet.Follower
// implements it.
type Knowledge interface {
	View() *fleet.View
	// Age is how long ago the view was last known to be current.
	Age() (time.Duration, bool)
	// Known is closed once a configuration is known.
	Known() <-chan struct{}
	// StoreAway reports whether the store does not answer.
	StoreAway() bool
}

// Deps is what a server is made of.
type Deps struct {
	Instance string
	Domain   string
	Fleet    Knowledge
	Wire     call.Wire
	Board    *place.Board
	Rates    *place.Rates
	Budget   *retry.Budget
	Rollouts *rollout.Controller
	// Quarantine knows the requests that crash endpoints.
	Quarantine *quarantine.Table
	// Limits are those that endpoints name.
	Limits *ratelimit.Limits
	Ladder cascade.Ladder
	// Gate counts the requests, and at a planned stop says which are taken.
	Gate *drain.Gate
	// BodyMemory bounds the bytes of request bodies held at a time.
	BodyMemory int64
	// MaxInFlight bounds the requests served at a time; 0: they are not
	// bounded.
	MaxInFlight int64
	// LapsedFor is how long an endpoint whose registration ended without
	// notice may still get requests that no other endpoint can take.
	LapsedFor time.Duration
	Clock     clockwork.Clock
	Log       *slog.Logger
	Scope     tally.Scope
}

// Server serves callers.
type Server struct {
	Deps
	metrics metrics
	bodies  atomic.Int64
	probes  upstream.Probes
}

// New returns a server.
func New(d Deps) *Server { return &Server{Deps: d, metrics: newMetrics(d.Scope)} }

// Ready reports whether the server wants new connections: it knows a
// configuration and is not stopping.
func (s *Server) Ready() bool { return !s.Gate.Stopping() && s.Fleet.View().Config != nil }

// Handler returns the caller API: any method, host and path.
func (s *Server) Handler() http.Handler {
	r := gin.New()
	r.RedirectTrailingSlash = false
	r.NoRoute(func(c *gin.Context) { s.serve(c.Writer, c.Request) })
	return r
}

// serve answers one request.
func (s *Server) serve(w gin.ResponseWriter, r *http.Request) {
	s.Gate.Enter()
	defer s.Gate.Leave()
	// Bound before anything is waited for, so that the end of a stop ends that too.
	ctx, unbind := s.Gate.Bound(r.Context())
	defer unbind()
	x := &exchange{server: s, w: w, r: r, received: s.Clock.Now(), facts: s.Wire.Request(r.Header)}
	defer x.logged()
	if ref := x.admit(ctx); ref != nil {
		x.refuse(ref)
		return
	}
	if ref := x.readBody(ctx); ref != nil {
		x.refuse(ref)
		return
	}
	defer s.bodies.Add(-int64(len(x.body)))
	x.fingerprint = x.fingerprintOf()
	if ref := x.quarantined(); ref != nil {
		x.refuse(ref)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, time.Now().Add(x.left()), errDeadline)
	defer cancel()
	x.run(ctx)
	x.answered.Store(x.outcome == "answered")
}

// errDeadline is the cause when a request's time is over.
var errDeadline = errors.New("deadline passed")

// staleAfter is how old knowledge may be for an entry to say that a route or
// key does not exist: the store was heard from at least every watch's wait.
// An entry that knows less answers that it cannot tell now.
const staleAfter = 4 * time.Second

func (s *Server) stale() bool {
	age, ok := s.Fleet.Age()
	return !ok || age > staleAfter
}

// admit finds the request's route and customer.
func (x *exchange) admit(ctx context.Context) *refusal {
	s := x.server
	x.view = s.Fleet.View()
	if s.Gate.Closed() {
		return refuseStopping
	}
	if s.MaxInFlight > 0 && s.Gate.InFlight() > s.MaxInFlight {
		return refuseCrowded
	}
	if x.view.Config == nil {
		s.awaitConfig(ctx)
		x.view = s.Fleet.View()
	}
	if cut(ctx) {
		return refuseStopping
	}
	if x.view.Config == nil {
		return refuseNoConfig
	}
	if len(x.r.RequestURI) == 0 || x.r.RequestURI[0] != '/' {
		return refuseBadTarget
	}
	x.route = x.view.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		if s.stale() {
			return refuseStale
		}
		return refuseNoRoute
	}
	if !s.Gate.Admits(x.allowed()) {
		return refuseStopping
	}
	x.customer = x.view.Customer(x.facts.Key)
	if x.customer == nil && !x.route.Public && x.view.HasCustomers() {
		if s.stale() {
			return refuseStale
		}
		return refuseKey
	}
	if x.facts.ID == "" {
		return refuseNoID
	}
	x.deadline = x.received.Add(x.allowed())
	s.Budget.Earn(x.target())
	return nil
}

// awaitConfig waits a moment for the first configuration. After all entries
// were killed, the callers that lost their answers come as soon as the first
// listens, some milliseconds before it has read the store, and many come only
// once: a refusal was their last answer. Where the store is known not to
// answer there is nothing to wait for.
func (s *Server) awaitConfig(ctx context.Context) {
	if s.Fleet.StoreAway() {
		return
	}
	select {
	case <-s.Fleet.Known():
	case <-s.Clock.After(configurationTakes):
	case <-ctx.Done():
	}
}

// allowed is how long the request may take: what the caller waits, and not
// more than the route's timeout.
func (x *exchange) allowed() time.Duration {
	allowed := x.route.Timeout
	if allowed <= 0 {
		allowed = longestRequest
	}
	if x.facts.Remaining > 0 {
		allowed = min(allowed, x.facts.Remaining)
	}
	return allowed
}

// longestRequest bounds requests on routes without a timeout.
const longestRequest = time.Minute

// readBody reads the whole body: what may have to be sent to a second
// endpoint must be kept.
func (x *exchange) readBody(ctx context.Context) *refusal {
	limit := x.view.Config.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return refuseTooLarge
	}
	x.hasBody = x.r.ContentLength >= 0 && (x.r.Header.Get("Content-Length") != "") || x.r.ContentLength < 0
	if x.r.ContentLength > 0 && x.server.bodies.Load()+x.r.ContentLength > x.server.BodyMemory {
		return refuseMemory
	}
	var body io.Reader = x.r.Body
	if x.r.ContentLength < 0 {
		// Nobody has said how long it is: it may take what memory is left.
		left := x.server.BodyMemory - x.server.bodies.Load()
		if limit <= 0 || limit > left {
			limit = max(0, left)
		}
	}
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	letRead := drain.InterruptReading(ctx, x.w)
	raw, err := readSized(body, x.r.ContentLength)
	letRead()
	switch {
	case err != nil && cut(ctx):
		return refuseStopping
	case err != nil:
		return refuseBody
	}
	if limit > 0 && int64(len(raw)) > limit {
		return refuseTooLarge
	}
	x.server.bodies.Add(int64(len(raw)))
	x.body = raw
	return nil
}

// readSized reads all of r, into a buffer of the right size if it is told.
func readSized(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	if size == 0 {
		return nil, nil
	}
	raw := make([]byte, size)
	_, err := io.ReadFull(r, raw)
	return raw, err
}
