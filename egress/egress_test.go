package egress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/overload"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
)

const service = "svc"

func endpoint(n int) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", n)), Service: service}
}

// Guards against taking single endpoints that are down, or many beside sound ones, for a lost link.
func TestALinkIsDownOnlyIfNoEndpointAcceptsConnections(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLinks(clock)
	for range 10 { // one endpoint, again and again
		clock.Advance(100 * time.Millisecond)
		is.True(!l.fail(endpoint(1), 9))
	}
	clock.Advance(time.Millisecond)
	l.connected(service, clock.Now())
	clock.Advance(time.Millisecond)
	is.True(!l.fail(endpoint(2), 9))
	clock.Advance(failureTTL + time.Second) // the first failure is too old to count
	is.True(!l.fail(endpoint(3), 9))
	before := clock.Now()
	clock.Advance(time.Millisecond)
	is.True(l.fail(endpoint(4), 9))
	is.True(!l.connected(service, before)) // begun before the link went down
	_, down := l.downSince(service)
	is.True(down)
	clock.Advance(time.Millisecond)
	is.True(l.connected(service, clock.Now()))
	_, down = l.downSince(service)
	is.True(!down)
	is.True(!l.anyDown())
}

// Guards against taking crashed endpoints that happen to be tried in a row for a lost link.
func TestCrashedEndpointsInARowAreNoLostLink(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := newLinks(clock)
	for round := range 50 {
		l.connected(service, clock.Now())
		for n := range 4 {
			clock.Advance(40 * time.Millisecond)
			is.True(!l.fail(endpoint(round+n), 12))
		}
		is.Equal(l.takeChecks(), []string{service})
		clock.Advance(10 * time.Millisecond)
	}
	l.connected(service, clock.Now())
	for n := range 5 {
		is.Equal(l.fail(endpoint(n), 12), n == 4)
	}
}

// Guards against giving up an entry for all services because it does not reach one of them.
func TestAnEntryThatDoesNotReachOneServiceIsUsedForOthers(t *testing.T) {
	is := is.New(t)
	p := newPeers(clockwork.NewFakeClock())
	entries := []fleet.Entry{{Instance: "i1", Address: "a1"}, {Instance: "i2", Address: "a2"}}
	p.reaches("a2", "plain")
	p.avoid("a2", "model", nil)
	e, ok := p.choose("plain", entries[0], entries, nil)
	is.True(ok)
	is.Equal(e.Instance, "i2")
	_, ok = p.choose("model", entries[0], entries, nil)
	is.True(!ok)
	p.avoidForeign("a2")
	_, ok = p.choose("plain", entries[0], entries, nil)
	is.True(!ok)
}

// Guards against all tunnels of an entry going through the first other entry that it found.
func TestTunnelsAreSpreadOverEntriesThatReachTheService(t *testing.T) {
	is := is.New(t)
	p := newPeers(clockwork.NewFakeClock())
	var entries []fleet.Entry
	for i := range 5 {
		e := fleet.Entry{Instance: fmt.Sprint("i", i), Domain: "d1", Address: fmt.Sprint("a", i)}
		entries = append(entries, e)
		p.reaches(e.Address, service)
	}
	counts := map[string]int{}
	for range 40 {
		e, ok := p.choose(service, entries[0], entries, nil)
		is.True(ok)
		p.opened(e.Address, service)
		counts[e.Instance]++
	}
	for _, e := range entries[1:] {
		is.Equal(counts[e.Instance], 10)
	}
	is.Equal(counts["i0"], 0) // itself
}

// Guards against asking a large fleet one by one while few of its entries reach the endpoints.
func TestEntriesThatReachAServiceAreFoundInFewRounds(t *testing.T) {
	for _, n := range []int{8, 60, 300, 985} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		entries := make([]fleet.Entry, n)
		tables := make([]*peers, n)
		for i := range entries {
			entries[i] = fleet.Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%5), Address: fmt.Sprint(i)}
			tables[i] = newPeers(clock)
		}
		const sound = 3
		found, rounds := 0, 0
		for ; found < n-1 && rounds < 12; rounds++ { // three seconds
			found = 0
			clock.Advance(checkInterval)
			for i, e := range entries {
				if i == sound {
					continue
				}
				for _, other := range tables[i].toAsk(service, e, entries) {
					if other.Instance == entries[sound].Instance {
						tables[i].reaches(other.Address, service)
						continue
					}
					var asked int
					_, _ = fmt.Sscan(other.Address, &asked)
					tables[i].avoid(other.Address, service, tables[asked].reaching(service))
				}
				if len(tables[i].reaching(service)) > 0 {
					found++
				}
			}
		}
		t.Logf("%d entries: %d of %d found the one in %d rounds", n, found, n-1, rounds)
		is.Equal(found, n-1)
	}
}

// fixture is an entry that serves tunnels to one endpoint.
type fixture struct {
	server  *Server
	gate    *drain.Gate
	address string // of the entry
	ep      fleet.Endpoint
}

func newFixture(t *testing.T, serve func(net.Conn)) *fixture {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	clock := clockwork.NewRealClock()
	log := slog.New(slog.DiscardHandler)
	f := fleet.NewFollower(fleet.Entry{Instance: "i1"}, memkv.New(clock), platform.Values{}, 0, clock, log)
	e := platformtest.NewEngine(platformtest.EngineConfig{ID: "e1", Service: service, Domain: "d1", Version: "v1", Address: ln.Addr().String()})
	key, value := e.Registration(false)
	f.Merge("test", fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{{Type: kv.EventPut, KV: kv.KeyValue{Key: key, Value: value, ModRevision: 1, CreateRevision: 1}}}}, 0)
	is.Equal(len(f.View().Group(service).Ready), 1)
	x := &fixture{gate: drain.NewGate(clock), ep: f.View().Group(service).Ready[0]}
	x.server = &Server{Gate: x.gate, Dialer: NewDialer(Deps{Instance: "i1", View: f.View, Clock: clock, Log: log})}
	srv := httptest.NewServer(x.server.Middleware(http.NotFoundHandler()))
	t.Cleanup(srv.Close)
	x.address = strings.TrimPrefix(srv.URL, "http://")
	return x
}

func (x *fixture) open(ep fleet.Endpoint) (net.Conn, error) {
	return x.openFor(ep, Purpose{Lasts: 5 * time.Second})
}

func (x *fixture) openFor(ep fleet.Endpoint, p Purpose) (net.Conn, error) {
	const timeout = 200 * time.Millisecond
	d := &net.Dialer{}
	return openTunnel(context.Background(), func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }, x.address, ep,
		timeout, p.header("i2", ep, timeout))
}

// Guards against an answer that looks complete although its endpoint, or the entry in between, broke off.
func TestTheEndOfATunnelIsTheEndpointsOwnOnlyIfItClosedProperly(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reset bool
		want  error
	}{{"closed", false, nil}, {"reset", true, io.ErrUnexpectedEOF}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, 4))
				_, _ = io.WriteString(c, "answer")
				time.Sleep(20 * time.Millisecond)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			conn, err := x.open(x.ep)
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "ping")
			is.NoErr(err)
			got, err := io.ReadAll(conn)
			is.Equal(string(got), "answer")
			is.True(errors.Is(err, tt.want))
		})
	}
}

// Guards against endpoints that work on for callers that have left.
func TestClosingATunnelClosesTheConnectionToTheEndpoint(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	x := newFixture(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(left)
	})
	conn, err := x.open(x.ep)
	is.NoErr(err)
	is.Equal(x.gate.InFlight(), int64(1))
	is.NoErr(conn.Close())
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint's connection is open")
	}
}

// Guards against tunnels to addresses that are no endpoint's, and against new ones during a stop.
func TestTunnelsThatAreNotOpened(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	other := x.ep
	other.Address = x.address
	_, err := x.open(other)
	var atEndpoint *endpointError
	is.True(errors.As(err, &atEndpoint))
	is.Equal(atEndpoint.reason, reasonUnknown)

	x.server.MaxTunnels = 1
	conn, err := x.open(x.ep)
	is.NoErr(err)
	_, err = x.open(x.ep)
	var atPeer *peerError
	is.True(errors.As(err, &atPeer)) // busy
	is.NoErr(conn.Close())
	x.server.MaxTunnels = 0

	is.NoErr(askPeer(context.Background(), http.DefaultClient, x.address, service))
	go x.gate.Drain(drain.Times{AcceptAllFor: time.Second, ServeAtLeast: time.Second, End: time.Second}, func() {})
	for !x.gate.Stopping() {
		time.Sleep(time.Millisecond)
	}
	_, err = x.open(x.ep)
	is.True(errors.As(err, &atPeer))
	is.True(askPeer(context.Background(), http.DefaultClient, x.address, service) != nil)
}

// Guards against taking a program without tunnels for an endpoint that is down.
func TestAProgramWithoutTunnelsIsRecognized(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	x := &fixture{address: strings.TrimPrefix(srv.URL, "http://")}
	_, err := x.open(fleet.Endpoint{Service: service, Address: "127.0.0.1:1"})
	var atPeer *peerError
	is.True(errors.As(err, &atPeer))
	is.True(atPeer.foreign)
}

// Guards against checks that follow each other without a pause where endpoints refuse connections at once.
func TestChecksOfALostLinkArePaced(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, func(c net.Conn) { _ = c.Close() })
	d := x.server.Dialer
	var dials atomic.Int64
	d.Dial = func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, syscall.ECONNREFUSED
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			_, _ = d.Connect(ctx, x.ep, time.Second, Purpose{}) // refused
			time.Sleep(20 * time.Millisecond)
		}
	}()
	d.Run(ctx)
	t.Logf("%d connections in a second", dials.Load())
	is.True(dials.Load() < 10) // a check each 250 ms, and the first request
}

// Guards against a link that is never checked again, as it was found down by a check for another entry.
func TestALinkThatACheckFoundDownIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	x := newFixture(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	d := x.server.Dialer
	var refuses atomic.Bool
	dial := d.Dial
	d.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if refuses.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return dial(ctx, address)
	}
	go d.Run(t.Context())
	time.Sleep(50 * time.Millisecond)
	refuses.Store(true)
	is.True(askPeer(t.Context(), http.DefaultClient, x.address, service) != nil)
	is.True(d.AnyDown())
	refuses.Store(false)
	for until := time.Now().Add(2 * time.Second); d.AnyDown() && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!d.AnyDown())
}

// Guards against an entry that takes its own slow link for the endpoints' and refuses callers.
func TestASlowLinkOfThisEntryIsNoLostLink(t *testing.T) {
	for name, tt := range map[string]struct {
		peersTake time.Duration
		succeeded time.Duration // before
		down      bool
	}{
		"everything is slow":      {300 * time.Millisecond, time.Second, false},
		"only endpoints are slow": {time.Millisecond, time.Second, true},
		"nobody answers":          {time.Hour, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
			d := x.server.Dialer
			view := *d.View()
			view.Entries = []fleet.Entry{{Instance: "i1", Address: "self"}, {Instance: "i2", Address: "a2"}, {Instance: "i3", Address: "a3"}}
			d.View = func() *fleet.View { return &view }
			detector := &overload.Detector{Link: overload.NewLink(0)}
			d.Lateness, d.LinkWait, d.OnConnected = detector.Lateness, detector.LinkWait, detector.Connected
			detector.Connected(time.Millisecond)
			d.succeeded.Store(time.Now().Add(-tt.succeeded).UnixNano())
			slow := func(takes time.Duration) func(context.Context, string) (net.Conn, error) {
				return func(ctx context.Context, _ string) (net.Conn, error) {
					select {
					case <-time.After(takes):
						c, _ := net.Pipe()
						return c, nil
					case <-ctx.Done():
						return nil, os.ErrDeadlineExceeded
					}
				}
			}
			d.Dial, d.DialPeer = slow(time.Hour), slow(tt.peersTake)
			time.Sleep(300 * time.Millisecond) // the first connect is not recent any more
			_, err := d.direct(t.Context(), x.ep, 60*time.Millisecond)
			is.Equal(errors.Is(err, ErrLate), !tt.down)
			_, down := d.links.downSince(service)
			is.Equal(down, tt.down)
		})
	}
}

// quarantineWith returns a quarantine, and a function that makes it refuse a prompt part.
func quarantineWith(part quarantine.Fingerprint) (*quarantine.Table, func()) {
	q := quarantine.New(quarantine.Deps{Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler)})
	return q, func() {
		for n := range 4 {
			q.Crashed(quarantine.Subject{Request: quarantine.Fingerprint(100 + n), Parts: []quarantine.Fingerprint{part}}, endpoint(100+n).ID, 1, quarantine.Started)
		}
		for until := time.Now().Add(2 * time.Second); !q.Refuses(quarantine.Subject{Request: 1, Parts: []quarantine.Fingerprint{part}}, 1) && time.Now().Before(until); {
			time.Sleep(quarantine.Interval / 4)
			q.Tick(context.Background())
		}
	}
}

// Guards against a request that crashes endpoints reaching them through an entry that knows of it, for one that does not.
func TestNoTunnelIsOpenedForAQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	const part = quarantine.Fingerprint(7)
	var connections atomic.Int64
	x := newFixture(t, func(c net.Conn) {
		connections.Add(1)
		_, _ = io.Copy(io.Discard, c)
	})
	q, refuse := quarantineWith(part)
	x.server.Quarantine = q
	refuse()
	_, err := x.openFor(x.ep, Purpose{Subject: quarantine.Subject{Request: 1, Parts: []quarantine.Fingerprint{6, part}}, Variant: 1})
	var quarantined *QuarantinedError
	is.True(errors.As(err, &quarantined))
	is.True(quarantined.RetryAfter > 0)
	is.Equal(connections.Load(), int64(0))
	for _, p := range []Purpose{{Subject: quarantine.Subject{Request: 2, Parts: []quarantine.Fingerprint{6}}, Variant: 1}, {}} {
		conn, err := x.openFor(x.ep, p)
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
}

// Guards against the same where the entry in between learns of it once the tunnel is open; an answer that has begun goes on.
func TestATunnelIsClosedIfItsRequestIsQuarantinedBeforeTheAnswer(t *testing.T) {
	for _, answers := range []bool{false, true} {
		t.Run(fmt.Sprint("answer begun: ", answers), func(t *testing.T) {
			is := is.New(t)
			const part = quarantine.Fingerprint(7)
			x := newFixture(t, func(c net.Conn) {
				if answers {
					_, _ = io.WriteString(c, "head")
				}
				_, _ = io.Copy(io.Discard, c)
			})
			q, refuse := quarantineWith(part)
			x.server.Quarantine = q
			conn, err := x.openFor(x.ep, Purpose{Subject: quarantine.Subject{Request: 1, Parts: []quarantine.Fingerprint{part}}, Variant: 1})
			is.NoErr(err)
			defer conn.Close()
			if answers {
				_, err = io.ReadFull(conn, make([]byte, 4))
				is.NoErr(err)
			}
			refuse()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
			_, err = conn.Read(make([]byte, 1))
			is.Equal(errors.Is(err, os.ErrDeadlineExceeded), answers)
		})
	}
}
