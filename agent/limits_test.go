package agent

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Guards against a limit that each entry grants for itself because the owner cannot be asked.
func TestLimitOwnerIsAskedOverTheWire(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	newEntryLimits := func(instance string, owner *fleet.Entry) *ratelimit.Limits {
		return ratelimit.New(ratelimit.Deps{Instance: instance, Domain: "fd-1", Entries: func() []fleet.Entry { return nil }, Owners: limitOwners{peers.HTTPDial()},
			OwnerOf: func(fleet.Endpoint) fleet.Entry { return *owner }, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	}
	owner := &fleet.Entry{Instance: "owner"}
	owning := newEntryLimits("owner", owner)
	srv := httptest.NewServer(peerpb.NewPeerServer(&peerServer{server{Limits: owning}}))
	defer srv.Close()
	owner.Address = srv.URL
	ep := fleet.Endpoint{ID: "b", Domain: "fd-1"}
	granted := 0
	for _, name := range []string{"e1", "e2"} {
		l := newEntryLimits(name, owner)
		l.Observe(ep, 1)
		for range 5 {
			if l.Take(context.Background(), ep, 0) {
				granted++
			}
		}
		is.True(l.Wait(ep, 0) > 0)
	}
	is.Equal(granted, 2) // one bucket, not one each
}
