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
	"golang.org/x/sync/singleflight"

	"github.com/lovageweir/lovageweir/call"
	"github.com/lovageweir/lovageweir/cascade"
	"github.com/lovageweir/lovageweir/concurrency"
	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/egress"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/internal/listen"
	"github.com/lovageweir/lovageweir/internal/membudget"
	"github.com/lovageweir/lovageweir/overload"
	"github.com/lovageweir/lovageweir/place"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/retry"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/shares"
	"github.com/lovageweir/lovageweir/slowstart"
	"github.com/lovageweir/lovageweir/upstream"
)

// ConfigSource is the server's view of the fleet; fleet.Follower implements it.
type ConfigSource interface {
	View() *fleet.View
	// Age returns how long ago the view was last known to be current.
	Age() (time.Duration, bool)
	// ConfigKnown returns a channel that is closed once a configuration is known.
	ConfigKnown() <-chan struct{}
	// StoreUnreachable reports whether the store is known not to answer.
	StoreUnreachable() bool
	// AddDepartures records that endpoints leave.
	AddDepartures(from string, reports []fleet.Departure) bool
}

// Peers are the other entries as sources of what they know; mesh.Mesh implements it.
type Peers interface {
	// AwaitCurrent waits, for a moment at most, until this entry knows what the others know.
	AwaitCurrent(ctx context.Context)
}

// Deps are the dependencies and settings of a Server.
type Deps struct {
	Instance    string
	Domain      string
	Fleet       ConfigSource
	HeaderCodec call.HeaderCodec
	Board       *place.Board
	Rates       *place.Rates
	Budget      *retry.Budget
	Shares      *shares.Table // nil: requests are not told apart by urgency and customer
	Rollouts    *rollout.Controller
	// Quarantine holds the requests that crash endpoints.
	Quarantine *quarantine.Table
	// Limits are the rate limits that endpoints announce.
	Limits *ratelimit.Limits
	// Concurrency bounds the requests at brittle endpoints.
	Concurrency *concurrency.Limiter
	// SlowStart bounds the requests to cold endpoints.
	SlowStart        *slowstart.Gate
	EscalationPolicy cascade.EscalationPolicy
	// Gate counts the requests and decides which are accepted during a planned
	// stop.
	Gate *drain.Gate
	// NewConnections bounds the rate of new connections while the process gets more than it can do; nil:
	// unlimited.
	NewConnections *overload.Limiter
	// Overload tells whether the process keeps up; nil: it does.
	Overload *overload.Detector
	// BodyMemory bounds the total size of the request bodies in memory.
	BodyMemory *membudget.Budget
	// AnswerMemory bounds the total size of the buffered answers; nil: unlimited.
	AnswerMemory *membudget.Budget
	// Connections makes room for bodies; nil: it cannot.
	Connections *listen.Pool
	// MaxInFlight bounds the requests served at a time; 0: unlimited.
	MaxInFlight int64
	// LapsedGrace is how long an endpoint whose registration ended without
	// notice still gets requests for which there is no other endpoint.
	LapsedGrace time.Duration
	// Egress opens connections to endpoints.
	Egress *egress.Dialer
	// Peers are the other entries; nil: none.
	Peers Peers
	Clock clockwork.Clock
	Log   *slog.Logger
	Scope tally.Scope
}

// Server serves the caller API.
type Server struct {
	Deps
	metrics metrics
	faults  *faultLog
	prober  upstream.Prober
	// exits has a call for each address whose endpoint is being checked for its exit.
	exits    singleflight.Group
	handoffs handoffs
	// unreadAt is when a connection was last left unread, in ns.
	unreadAt atomic.Int64
	// wasStranded is the last result of stranded, to log its changes.
	wasStranded atomic.Bool
}

func New(d Deps) *Server {
	return &Server{Deps: d, metrics: newMetrics(d.Scope), faults: newFaultLog(d.Clock, d.Log, d.Scope)}
}

// Ready reports whether the server accepts new connections: it has a
// configuration, is not stopping, and reaches endpoints that it may use, in time.
func (s *Server) Ready() bool {
	return !s.Gate.Stopping() && s.Fleet.View().Config != nil && !s.stranded() && !s.Overload.Choked()
}

const (
	// largeBody is the size from which bodies leave a part of BodyMemory to smaller ones.
	largeBody      = 64 << 10
	largeBodyShare = 0.5
	// bodyShare is the share of BodyMemory that may be in use for new connections to be accepted.
	bodyShare = 0.9
)

// Reasons for which a connection is left unread.
const (
	unreadRequests = "requests" // too many in progress
	unreadBodies   = "bodies"   // they fill the memory
	unreadStranded = "stranded" // no endpoint is reached
	unreadLate     = "late"     // work waits in the process
	unreadLink     = "link"     // packets wait for the instance's link, or callers use their share of it
	unreadRate     = "rate"     // the process gets more than it can do
)

const (
	// measuredFrom is how many connections must be in use for lateness and waits to count: with fewer, they are
	// those of a pause or of a slow endpoint.
	measuredFrom = 8
	// unreadPause is how long callers are refused, at least, after a connection was left unread.
	unreadPause = 50 * time.Millisecond
	// linkPauses is how many times the wait for the link the pause lasts beside that, until its queue is gone.
	linkPauses = 2
	// maxUnreadPause bounds the pause.
	maxUnreadPause = 500 * time.Millisecond
	// unreadAgain is the time within which a second connection that is left unread shows that the first was no
	// exception: the address is closed for longer then.
	unreadAgain = 500 * time.Millisecond
)

// RefusesConnection returns why not to read from one more connection, beside so many on which a request may
// be in progress, and how long to refuse further ones; empty: it is read. What is read is answered; what this
// entry could not serve in time is left unread, so that the caller turns to another entry at once.
func (s *Server) RefusesConnection(busy int) (reason string, pause time.Duration) {
	wait := s.Overload.LinkWait()
	switch {
	case s.MaxInFlight > 0 && int64(busy) >= s.MaxInFlight:
		reason = unreadRequests
	case s.BodyMemory.Filled(bodyShare):
		reason = unreadBodies
	case s.wasStranded.Load() && s.stranded(): // endpoints may be reached again
		reason = unreadStranded
	case busy < measuredFrom:
		return "", 0
	case s.Overload.Late():
		reason = unreadLate
	case wait > 0 || s.Overload.LinkFull():
		reason = unreadLink
	case !s.NewConnections.Accept():
		reason = unreadRate
	default:
		return "", 0
	}
	s.NewConnections.NoteTurnedAway()
	now := s.Clock.Now().UnixNano()
	if now-s.unreadAt.Swap(now) > int64(unreadAgain) {
		return reason, unreadPause
	}
	return reason, min(max(unreadPause, s.NewConnections.Interval())+linkPauses*wait, maxUnreadPause)
}

// ConnectionMakesRoom reports whether a connection that ends could be served in place of one that is left unread
// for a reason.
func (s *Server) ConnectionMakesRoom(reason string) bool {
	return reason == unreadRequests || reason == unreadBodies
}

// Handler returns the caller API, which takes any method, host and path.
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
	// Bound before any wait, so that the end of a stop ends the waits too.
	ctx, unbind := s.Gate.BindContext(r.Context())
	defer unbind()
	x := &exchange{server: s, w: w, r: r, received: s.Clock.Now(), metadata: s.HeaderCodec.Request(r.Header)}
	defer x.logRequest()
	x.boundWrites(time.Now().Add(defaultRouteTimeout + writeMargin))
	if ref := x.admit(ctx); ref != nil {
		x.refuse(ref)
		return
	}
	defer func() { s.BodyMemory.Release(x.bodyReserved) }()
	x.boundWrites(time.Now().Add(x.remaining() + writeMargin))
	ctx, cancel := context.WithDeadlineCause(ctx, time.Now().Add(x.remaining()), errDeadline)
	defer cancel()
	if ref := x.readBody(ctx); ref != nil {
		x.refuse(ref)
		return
	}
	defer x.releaseReserved()
	x.subject = x.identify()
	if ref := x.checkQuarantine(); ref != nil {
		x.refuse(ref)
		return
	}
	x.run(ctx)
	x.answered.Store(x.outcome == "answered")
}

// errDeadline is the context's cause when a request's deadline has passed.
var errDeadline = errors.New("deadline passed")

// staleAfter is the age of the view beyond which an entry does not answer that a
// route or key does not exist, but that it cannot tell now. While the store is
// reachable, the view is confirmed at least once per wait of its watch.
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
	if s.MaxInFlight > 0 && s.Gate.InFlight()-s.Egress.Serving() > s.MaxInFlight {
		return refuseTooManyRequests
	}
	if x.view.Config == nil {
		s.awaitConfig(ctx)
		x.view = s.Fleet.View()
	}
	if cutByStop(ctx) {
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
	if !s.Gate.Admits(x.timeLimit()) {
		return refuseStopping
	}
	if s.stranded() {
		return refuseStranded
	}
	if s.tooSlow(x.timeLimit()) {
		return refuseLinkFull
	}
	x.customer = x.view.Customer(x.metadata.Key)
	if x.customer == nil && x.view.RequiresKey(x.route) {
		if s.stale() {
			return refuseStale
		}
		return refuseUnknownKey
	}
	if x.metadata.ID == "" {
		return refuseNoID
	}
	x.deadline = x.received.Add(x.timeLimit())
	if !x.isHandedOff() { // it is counted where its caller sent it
		s.Budget.AddRequest(x.target())
		s.Shares.AddDemand(x.target(), x.customerName(), x.engineTime(x.modelName()))
	}
	return nil
}

// awaitConfig waits up to configLoadTime for the first configuration. After all
// entries were killed, callers that lost their answers retry as soon as the first
// entry listens, some milliseconds before it has read the store, and many retry
// only once, so that a refusal was their last answer. It does not wait if the
// store is known not to answer.
func (s *Server) awaitConfig(ctx context.Context) {
	if s.Fleet.StoreUnreachable() {
		return
	}
	select {
	case <-s.Fleet.ConfigKnown():
	case <-s.Clock.After(configLoadTime):
	case <-ctx.Done():
	}
}

// timeLimit returns how long the request may take: the time that the caller
// waits, but at most the route's timeout.
func (x *exchange) timeLimit() time.Duration {
	timeLimit := x.route.Timeout
	if timeLimit <= 0 {
		timeLimit = defaultRouteTimeout
	}
	if x.metadata.Remaining > 0 {
		timeLimit = min(timeLimit, x.metadata.Remaining)
	}
	return timeLimit
}

// defaultRouteTimeout applies to routes without a timeout.
const defaultRouteTimeout = time.Minute

// readBody reads the whole body into memory, as the request may have to be sent
// to a second endpoint.
func (x *exchange) readBody(ctx context.Context) *refusal {
	limit := x.view.Config.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return refuseTooLarge
	}
	x.hasBody = x.r.ContentLength >= 0 && (x.r.Header.Get("Content-Length") != "") || x.r.ContentLength < 0
	if !x.reserveBody(max(0, x.r.ContentLength)) {
		return refuseMemory
	}
	var body io.Reader = x.r.Body
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	if x.r.ContentLength < 0 {
		body = reservingReader{body, x}
	}
	release := drain.InterruptReading(ctx, x.w)
	raw, err := readSized(body, x.r.ContentLength)
	release()
	switch {
	case errors.Is(err, errBodyMemory), errors.Is(err, listen.ErrNoMemory):
		return refuseMemory
	case err != nil && cutByStop(ctx):
		return refuseStopping
	case err != nil && errors.Is(context.Cause(ctx), errDeadline):
		return refuseDeadline
	case err != nil:
		return refuseBrokenBody
	}
	if limit > 0 && int64(len(raw)) > limit {
		return refuseTooLarge
	}
	x.body = raw
	return nil
}

// reserveBody reserves memory for bytes of the body before they arrive, and reports whether there was
// enough.
func (x *exchange) reserveBody(n int64) bool {
	s, share := x.server, 1.0
	if x.bodyReserved+n > largeBody {
		share = largeBodyShare
	}
	take := func() bool { return s.BodyMemory.ReserveWithin(n, x.bodyReserved, share) }
	if !take() && (s.Connections == nil || !s.Connections.Reserve(take)) {
		return false
	}
	x.bodyReserved += n
	return true
}

// errBodyMemory: the bodies of other requests fill the memory.
var errBodyMemory = errors.New("bodies fill the memory")

// reservingReader reserves memory for a body of unknown length as it is read.
type reservingReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader. The buffers of io.ReadAll grow to at most twice what was read.
func (r reservingReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if !r.x.reserveBody(2 * int64(n)) {
		return 0, errBodyMemory
	}
	return n, err
}

// readSized reads all of r, into a buffer of the given size unless that is
// negative.
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
