package ingress

import (
	"errors"
	"net/http"
	"syscall"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/upstream"
)

func (x *exchange) fingerprintOf() quarantine.Fingerprint {
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	return quarantine.Of(customer, x.r.Method, x.r.Host, x.r.RequestURI, x.body)
}

// noteCrash notes that an attempt broke off, if its endpoint crashed. One that was leaving
// has ended as planned.
func (x *exchange) noteCrash(c *sent, stage quarantine.Stage) {
	group := x.server.Fleet.View().Group(c.endpoint.Service)
	if c.watch.why() != "" || group == nil || !group.IsReady(c.endpoint.ID) || !x.server.crashed(c.endpoint) {
		return
	}
	x.attempts[c.index].crashed = true
	x.server.Quarantine.Crashed(x.fingerprint, c.endpoint.ID, stage)
	x.server.Log.Info("ingress: endpoint crashed under a request.", "id", x.facts.ID, "fingerprint", x.fingerprint.String(), "endpoint", c.endpoint.ID, "stage", stage.String())
}

// quarantined refuses a request that crashes endpoints.
func (x *exchange) quarantined() *refusal {
	v := x.server.Quarantine.Check(x.fingerprint)
	if !v.Quarantined {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "quarantined", v.For}
}

// suspect reports whether endpoints crashed while the request was there. It is served,
// and nothing more of it is run than that takes.
func (x *exchange) suspect() bool { return x.server.Quarantine.Check(x.fingerprint).Suspect }

// crashed reports whether an endpoint whose connection broke has ended: nothing listens
// at its address. One that only lost the connection accepts another.
func (s *Server) crashed(ep fleet.Endpoint) bool {
	_, err, _ := s.checks.Do(string(ep.ID), func() (any, error) { return nil, upstream.Check(ep.Address) })
	return errors.Is(err, syscall.ECONNREFUSED)
}
