package egress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/upstream"
)

const (
	// checkInterval is the time between checks of a link that is down.
	checkInterval = 250 * time.Millisecond
	// checkDelay is the time from a failure to a check of a link that is up.
	checkDelay = 10 * time.Millisecond
	// checkedEndpoints is how many endpoints a check connects to.
	checkedEndpoints = 6
	// openFor is how long an endpoint must keep a connection open that counts as accepted: a
	// middlebox may accept one for an endpoint that it does not reach.
	openFor = 20 * time.Millisecond
	// askTimeout bounds the question to another entry, which may have to connect to an endpoint.
	askTimeout = 400 * time.Millisecond
)

// Run checks the links that may be down, and looks for entries that reach the endpoints, until ctx
// ends.
func (d *Dialer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		d.startSearches(ctx, &running)
		var checks sync.WaitGroup
		for _, service := range d.links.takeChecks() {
			checks.Go(func() { d.check(ctx, service) })
		}
		if d.Lateness() > 0 { // connects to others tell when that is over
			checks.Go(func() { d.timePeers(ctx) })
		}
		checks.Wait()
		d.startSearches(ctx, &running) // for links that the checks found down
		d.Scope.Gauge("links_down").Update(float64(len(d.links.down())))
		if !d.awaitRound(ctx, d.links.anyDown() || d.Lateness() > 0) {
			return
		}
	}
}

func (d *Dialer) startSearches(ctx context.Context, running *sync.WaitGroup) {
	for _, service := range d.links.takeSearches(d.peers.reachedAt) {
		running.Go(func() { d.search(ctx, service) })
	}
}

// awaitRound waits until links are to be looked at again; it returns false once ctx has ended.
func (d *Dialer) awaitRound(ctx context.Context, anyDown bool) bool {
	if anyDown {
		select {
		case <-d.Clock.After(checkInterval):
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-d.wake:
	case <-ctx.Done():
		return false
	}
	select {
	case <-d.Clock.After(checkDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// check connects to some endpoints of a service, and reports whether one accepted the connection.
// Concurrent checks of a service are one.
func (d *Dialer) check(ctx context.Context, service string) bool {
	ctx = context.WithoutCancel(ctx) // others may wait for the result
	reached, _, _ := d.checks.Do(service, func() (any, error) { return d.checkOnce(ctx, service), nil })
	return reached.(bool)
}

// ReachesNow reports whether this entry's own link reaches an endpoint of a service, by a connection that is begun
// now.
func (d *Dialer) ReachesNow(ctx context.Context, service string) bool {
	now := d.Clock.Now()
	for range 2 { // the first check may have begun before
		if d.check(ctx, service); d.links.provenSince(service, now) {
			return true
		}
	}
	return false
}

func (d *Dialer) checkOnce(ctx context.Context, service string) bool {
	g := d.View().Group(service)
	if g == nil || len(g.Ready) == 0 {
		d.links.forget(service)
		return false
	}
	begun := d.Clock.Now()
	var wg sync.WaitGroup
	for _, ep := range d.endpointsToCheck(g) {
		wg.Go(func() { d.checkEndpoint(ctx, ep) })
	}
	wg.Wait()
	return d.links.provenSince(service, begun.Add(-1))
}

// endpointsToCheck returns random endpoints of a service, first those that have not failed: some may
// have started since the others crashed.
func (d *Dialer) endpointsToCheck(g *fleet.Group) []fleet.Endpoint {
	var out, failed []fleet.Endpoint
	for _, i := range rand.Perm(len(g.Ready)) {
		if len(out) == checkedEndpoints {
			return out
		}
		if ep := g.Ready[i]; d.links.hasFailed(ep) {
			failed = append(failed, ep)
		} else {
			out = append(out, ep)
		}
	}
	return append(out, failed[:min(len(failed), checkedEndpoints-len(out))]...)
}

func (d *Dialer) checkEndpoint(ctx context.Context, ep fleet.Endpoint) {
	begun := d.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, d.allow(upstream.DialTimeout))
	defer cancel()
	conn, err := d.Dial(bounded, ep.Address)
	if err == nil {
		err = staysOpen(conn)
	}
	if err != nil && d.ownFault(ctx, err, upstream.DialTimeout) {
		return
	}
	if err != nil {
		d.failed(ep, err)
		return
	}
	d.connected(ep.Service, begun)
}

// staysOpen closes a connection after openFor, and returns an error if it was closed before.
func staysOpen(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(openFor)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	if err == nil {
		err = errors.New("bytes before a request")
	}
	return err
}

// search asks other entries whether they reach a service.
func (d *Dialer) search(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range d.peers.toAsk(service, d.self(), d.View().Entries) {
		wg.Go(func() {
			if err := askPeer(ctx, d.asks, e.Address, service); err != nil {
				d.noteUnhelpful(e.Address, service, err)
				return
			}
			d.peers.reaches(e.Address, service)
		})
	}
	wg.Wait()
}
