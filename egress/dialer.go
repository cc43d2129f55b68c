package egress

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// maxPeersTried bounds the entries that one connection is tried through.
	maxPeersTried = 3
	// searchWait is how long a connection waits for a search for other entries. The first one takes
	// until searchedBy after the link went down.
	searchWait = 250 * time.Millisecond
	searchedBy = time.Second
	// failuresToGiveUp is how many endpoints must have failed, while no entry reaches any, for a
	// service to count as out of reach.
	failuresToGiveUp = 8
	// reachedLately is how long after some entry reached a service it is worth a try.
	reachedLately = time.Second
	// maxAskHeaderBytes bounds the head of an answer to the question whether an entry opens tunnels.
	maxAskHeaderBytes = 16 << 10
	// timedPeers is how many other entries show whether this one's link is slow.
	timedPeers = 4
	// blameSelfFor is how long after the last connect that succeeded timeouts may be this entry's own fault.
	blameSelfFor = 1500 * time.Millisecond
	// A process that is late takes a part of its lateness for each step of a connect.
	latenessFactor = 2
)

// ErrNoPath says that the entry's own link to the endpoints is down, and no other entry connects it.
var ErrNoPath = errors.New("no path to the endpoints")

// ErrLate reports a connect that timed out while this process or its link was late itself.
var ErrLate = errors.New("this entry is late itself")

// Deps are the dependencies of a Dialer.
type Deps struct {
	Instance, Domain string
	View             func() *fleet.View
	// Dial opens direct connections to endpoints, DialPeer connections to other entries; nil:
	// upstream.Dial.
	Dial, DialPeer upstream.DialFunc
	// OnDown is called when the link to a service's endpoints went down: what was held against them
	// since may have been the link's fault. May be nil.
	OnDown func(service string)
	// Lateness returns how late this process runs what is due; nil: it is never late.
	Lateness func() time.Duration
	// LinkWait returns how long packets wait for this instance's link; nil: not at all.
	LinkWait func() time.Duration
	// OnConnected is called with the time that a connect to an endpoint or to another entry took, at least; may
	// be nil.
	OnConnected func(took time.Duration)
	Clock       clockwork.Clock
	Log         *slog.Logger
	Scope       tally.Scope // nil: no metrics
}

// Dialer connects to endpoints. It is safe for concurrent use. Run must run for links to come up
// again.
type Dialer struct {
	Deps
	links *links
	peers *peers
	asks  *http.Client
	wake  chan struct{}
	// checks has a call for each service whose link is being checked.
	checks singleflight.Group
	// serving counts the tunnels that this entry serves for others.
	serving atomic.Int64
	// succeeded is when a connect to an endpoint or to another entry last succeeded, in ns.
	succeeded atomic.Int64
}

// NewDialer returns a Dialer.
func NewDialer(d Deps) *Dialer {
	if d.Dial == nil {
		d.Dial = upstream.Dial
	}
	if d.DialPeer == nil {
		d.DialPeer = upstream.Dial
	}
	if d.OnDown == nil {
		d.OnDown = func(string) {}
	}
	if d.Lateness == nil {
		d.Lateness = func() time.Duration { return 0 }
	}
	if d.LinkWait == nil {
		d.LinkWait = func() time.Duration { return 0 }
	}
	if d.OnConnected == nil {
		d.OnConnected = func(time.Duration) {}
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	asks := upstream.ValidateAnswers(&http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return d.DialPeer(ctx, address) },
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        16,
		IdleConnTimeout:     5 * time.Second,
		DisableCompression:  true,
		// The body of an answer is not read.
		MaxResponseHeaderBytes: maxAskHeaderBytes,
	})
	return &Dialer{Deps: d, links: newLinks(d.Clock), peers: newPeers(d.Clock), asks: &http.Client{Transport: asks}, wake: make(chan struct{}, 1)}
}

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	// Via is the address of the entry that it goes through; empty: none.
	Via string
}

// Purpose describes what a connection is for.
type Purpose struct {
	Request string        // id; empty: none
	Lasts   time.Duration // how long it is needed
	// Subject and Variant are what other entries may refuse to connect; zero: nothing is sent.
	Subject quarantine.Subject
	Variant quarantine.Variant
}

// header returns what an entry in between is told.
func (p Purpose) header(instance string, ep fleet.Endpoint, timeout time.Duration) http.Header {
	h := http.Header{headerService: {ep.Service}, headerTimeout: {formatMS(timeout)}, headerLasts: {formatMS(p.Lasts)}, headerFrom: {instance}}
	if p.Request != "" {
		h.Set(headerRequest, clip(p.Request))
	}
	if p.Subject.Request != 0 {
		h.Set(headerSubject, p.Subject.Encode())
		h.Set(headerVariant, strconv.FormatUint(uint64(p.Variant), 16))
	}
	return h
}

// parsePurpose reads of a purpose's header what the quarantine needs. Clients of an earlier build do not send it.
func parsePurpose(h http.Header) Purpose {
	subject, err := quarantine.ParseSubject(h.Get(headerSubject))
	variant, errVariant := strconv.ParseUint(h.Get(headerVariant), 16, 32)
	if err != nil || errVariant != nil {
		return Purpose{}
	}
	return Purpose{Subject: subject, Variant: quarantine.Variant(variant)}
}

// Connect connects to an endpoint, within timeout on each way that it tries. Its error says that the
// endpoint received nothing; ErrNoPath, that this is not the endpoint's fault.
func (d *Dialer) Connect(ctx context.Context, ep fleet.Endpoint, timeout time.Duration, p Purpose) (*Conn, error) {
	if _, down := d.links.downSince(ep.Service); !down {
		conn, err := d.direct(ctx, ep, timeout)
		if err == nil {
			return &Conn{Conn: conn}, nil
		}
		if _, down := d.links.downSince(ep.Service); !down || ctx.Err() != nil {
			return nil, err
		}
	}
	conn, err := d.tunnel(ctx, ep, timeout, p)
	if err == nil || !errors.Is(err, ErrNoPath) || ctx.Err() != nil || d.links.hasFailed(ep) {
		return conn, err
	}
	raw, err := d.direct(ctx, ep, timeout) // it may have started since
	if err != nil {
		return nil, errors.Join(ErrNoPath, err)
	}
	return &Conn{Conn: raw}, nil
}

// direct connects over this entry's own link, and records the outcome.
func (d *Dialer) direct(ctx context.Context, ep fleet.Endpoint, timeout time.Duration) (net.Conn, error) {
	begun := d.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, d.allow(timeout))
	defer cancel()
	conn, err := d.Dial(bounded, ep.Address)
	switch {
	case err == nil:
		d.noteSuccess(d.Clock.Since(begun))
		d.connected(ep.Service, begun)
	case ctx.Err() != nil:
	case d.ownFault(ctx, err, timeout):
		d.OnConnected(d.Clock.Since(begun))
		d.Scope.Counter("timeouts_while_late").Inc(1)
		err = errors.Join(ErrLate, err)
	default:
		d.failed(ep, err)
	}
	return conn, err
}

func (d *Dialer) connected(service string, begun time.Time) {
	if d.links.connected(service, begun) {
		d.Log.Info("egress: endpoints are reached directly again.", "service", service)
		d.Scope.Counter("links_restored").Inc(1)
	}
}

// failed records that an endpoint accepted no connection, whoever asked for it.
func (d *Dialer) failed(ep fleet.Endpoint, err error) {
	defer func() {
		select {
		case d.wake <- struct{}{}:
		default: // Run is to look already
		}
	}()
	endpoints := 0
	if g := d.View().Group(ep.Service); g != nil {
		endpoints = len(g.Ready)
	}
	if d.links.fail(ep, max(1, endpoints)) {
		d.Log.Warn("egress: endpoints accept no connections from this entry; connecting through other entries.", "service", ep.Service, "endpoint", ep.ID, "error", err)
		d.Scope.Counter("links_lost").Inc(1)
		for _, g := range d.View().Groups() {
			d.links.requestCheck(g.Service.Name)
		}
		d.OnDown(ep.Service)
	}
}

// allow returns the time for a connect that takes at most timeout while this process is on time.
func (d *Dialer) allow(timeout time.Duration) time.Duration {
	return min(timeout+latenessFactor*d.Lateness(), max(timeout, upstream.MaxDialTimeout))
}

// ownFault reports whether the timeout of a connect may come from the lateness of this process or of its link:
// the endpoint may have accepted the connection in time. If this entry is not known to be as late, connects to
// other entries show whether it is.
func (d *Dialer) ownFault(ctx context.Context, err error, timeout time.Duration) bool {
	if upstream.Reason(err) != "timeout" {
		return false
	}
	if d.Clock.Now().UnixNano()-d.succeeded.Load() > int64(blameSelfFor) {
		return false // it reaches nobody
	}
	explained := func() bool { return d.LinkWait() > 0 || latenessFactor*d.Lateness() >= timeout }
	if explained() {
		return true
	}
	_, _, _ = d.checks.Do(peerCheck, func() (any, error) { d.timePeers(ctx); return nil, nil })
	return explained()
}

func (d *Dialer) noteSuccess(took time.Duration) {
	d.succeeded.Store(d.Clock.Now().UnixNano())
	d.OnConnected(took)
}

// peerCheck is the key of the check of other entries, which is no service's name.
const peerCheck = "\x00peers"

// timePeers connects to a few other entries, and records how long the fastest took, at least.
func (d *Dialer) timePeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	begun, entries := d.Clock.Now(), d.View().Entries
	took := make(chan time.Duration, timedPeers)
	asked := 0
	for _, i := range rand.Perm(len(entries)) {
		if e := entries[i]; e.Instance != d.Instance && e.Address != "" && asked < timedPeers {
			asked++
			go func() {
				conn, err := d.DialPeer(ctx, e.Address)
				if err != nil {
					took <- 0
					return
				}
				took <- d.Clock.Since(begun)
				_ = conn.Close()
			}()
		}
	}
	for range asked {
		if t := <-took; t > 0 {
			d.noteSuccess(t)
			return
		}
	}
	if asked > 0 {
		d.OnConnected(d.Clock.Since(begun))
	}
}

// self is this entry as one of the fleet.
func (d *Dialer) self() fleet.Entry { return fleet.Entry{Instance: d.Instance, Domain: d.Domain} }

// tunnel connects through another entry.
func (d *Dialer) tunnel(ctx context.Context, ep fleet.Endpoint, timeout time.Duration, p Purpose) (*Conn, error) {
	found := d.peers.await()
	conn, err := d.tryPeers(ctx, ep, timeout, p, map[string]bool{})
	since, down := d.links.downSince(ep.Service)
	searching := d.Clock.Since(since) <= searchedBy || d.Clock.Since(d.peers.reachedAt(ep.Service)) < reachedLately
	if !errors.Is(err, ErrNoPath) || !down || !searching {
		return conn, err
	}
	select {
	case <-found:
		return d.tryPeers(ctx, ep, timeout, p, map[string]bool{})
	case <-d.Clock.After(searchWait):
	case <-ctx.Done():
	}
	return nil, err
}

// tryPeers tries to connect through entries not yet tried, until one is found that can tell of the
// endpoint.
func (d *Dialer) tryPeers(ctx context.Context, ep fleet.Endpoint, timeout time.Duration, p Purpose, tried map[string]bool) (*Conn, error) {
	entries := d.View().Entries
	last := errors.New("no other entry is known to reach them")
	header := p.header(d.Instance, ep, timeout)
	for range maxPeersTried {
		e, ok := d.peers.choose(ep.Service, d.self(), entries, tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried[e.Address] = true
		conn, err := openTunnel(ctx, d.DialPeer, e.Address, ep, timeout, header)
		var atEndpoint *endpointError
		var quarantined *QuarantinedError
		switch {
		case err == nil:
			d.Scope.Counter("tunnels_opened").Inc(1)
			d.peers.opened(e.Address, ep.Service)
			t := conn.(*tunnelConn)
			t.onClose = func() { d.peers.closed(e.Address) }
			return &Conn{Conn: t, Via: e.Address}, nil
		case errors.As(err, &atEndpoint):
			d.peers.reaches(e.Address, ep.Service)
			return nil, err
		case errors.As(err, &quarantined):
			return nil, err
		case ctx.Err() != nil:
			return nil, err
		}
		last = err
		d.noteUnhelpful(e.Address, ep.Service, err)
	}
	d.Scope.Counter("tunnels_failed").Inc(1)
	return nil, errors.Join(ErrNoPath, last)
}

// noteUnhelpful records that an entry opened no tunnel.
func (d *Dialer) noteUnhelpful(address, service string, err error) {
	if bound := upstream.BoundOf(err); bound != "" {
		d.Scope.Tagged(map[string]string{"bound": string(bound)}).Counter("bounds_exceeded_total").Inc(1)
		d.Log.Warn("egress: entry's answer exceeds its bound; connection closed.", "bound", bound, "address", address)
	}
	if defect := upstream.DefectOf(err); defect != "" {
		d.Scope.Tagged(map[string]string{"defect": string(defect)}).Counter("invalid_answers_total").Inc(1)
		d.Log.Warn("egress: entry's answer is not valid; connection closed.", "defect", defect, "address", address)
	}
	var p *peerError
	switch {
	case !errors.As(err, &p):
		d.peers.avoid(address, service, nil)
	case p.foreign:
		d.peers.avoidForeign(address)
	default:
		d.peers.avoid(address, service, p.hints)
	}
}

// Check connects to an endpoint and closes the connection again. It fails if the endpoint is dead or
// partitioned; with ErrNoPath, this entry cannot tell.
func (d *Dialer) Check(ctx context.Context, ep fleet.Endpoint) error {
	conn, err := d.Connect(ctx, ep, upstream.DialTimeout, Purpose{Lasts: upstream.DialTimeout})
	if err != nil {
		return err
	}
	return conn.Close()
}

// DialDirect returns a DialFunc that connects to an endpoint over this entry's own link.
func (d *Dialer) DialDirect(ep fleet.Endpoint) upstream.DialFunc {
	return func(ctx context.Context, _ string) (net.Conn, error) { return d.direct(ctx, ep, upstream.DialTimeout) }
}

// ConnectThroughPeers connects to an endpoint through another entry, whatever the state of this entry's
// own link.
func (d *Dialer) ConnectThroughPeers(ctx context.Context, ep fleet.Endpoint) (net.Conn, error) {
	conn, err := d.tryPeers(ctx, ep, upstream.DialTimeout, Purpose{Lasts: upstream.DialTimeout}, map[string]bool{})
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// PeerAnswers reports whether an entry that tunnels go through still answers.
func (d *Dialer) PeerAnswers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := d.DialPeer(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// DownSince returns since when this entry's own link to a service's endpoints is down; ok is false
// if it is up.
func (d *Dialer) DownSince(service string) (since time.Time, ok bool) {
	return d.links.downSince(service)
}

// AnyDown reports whether the link to the endpoints of any service is down.
func (d *Dialer) AnyDown() bool { return d.links.anyDown() }

// Reaches reports whether a service's endpoints may be reached, directly or through other entries.
func (d *Dialer) Reaches(g *fleet.Group) bool {
	since, down := d.links.downSince(g.Service.Name)
	if !down || d.Clock.Since(since) < searchWait || d.Clock.Since(d.peers.reachedAt(g.Service.Name)) < reachedLately {
		return true
	}
	return len(d.peers.reaching(g.Service.Name)) > 0 || d.links.failures(g.Service.Name) < min(len(g.Ready), failuresToGiveUp)
}

// Serving returns how many tunnels this entry serves for others.
func (d *Dialer) Serving() int64 { return d.serving.Load() }

// State is the dialer's part of the state dump.
type State struct {
	// Down are the services that this entry does not reach directly, with the entries that do.
	Down map[string][]string `json:"down,omitempty"`
}

// State returns the current state dump.
func (d *Dialer) State() State {
	s := State{}
	for _, service := range d.links.down() {
		if s.Down == nil {
			s.Down = map[string][]string{}
		}
		s.Down[service] = d.peers.reaching(service)
	}
	return s
}
