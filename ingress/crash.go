package ingress

import (
	"errors"
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

// noteCrash notes that an attempt broke off, if its endpoint crashed.
func (x *exchange) noteCrash(c *sent, stage quarantine.Stage) {
	if c.watch.why() != "" || !x.server.crashed(c.endpoint) {
		return
	}
	x.attempts[c.index].crashed = true
	x.server.Log.Info("ingress: endpoint crashed under a request.", "id", x.facts.ID, "fingerprint", x.fingerprint.String(), "endpoint", c.endpoint.ID, "stage", stage.String())
}

// crashed reports whether an endpoint whose connection broke has ended: nothing listens
// at its address. One that only lost the connection accepts another.
func (s *Server) crashed(ep fleet.Endpoint) bool {
	_, err, _ := s.checks.Do(string(ep.ID), func() (any, error) { return nil, upstream.Check(ep.Address) })
	return errors.Is(err, syscall.ECONNREFUSED)
}
