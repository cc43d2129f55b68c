package ingress

import (
	"net/http"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
)

// fingerprintOf identifies what is asked for and by whom, whichever attempt it is.
func (x *exchange) fingerprintOf() quarantine.Fingerprint {
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	return quarantine.Of(customer, x.r.Method, x.r.Host, x.r.RequestURI, x.body)
}

// noteCrash notes that an attempt broke off, if its endpoint crashed.
func (x *exchange) noteCrash(c *sent, stage quarantine.Stage) {
	if c.watch.why() == "" {
		x.attempts[c.index].crashed = x.server.noteCrash(x.facts.ID, x.fingerprint, c.endpoint, stage)
	}
}

// noteCrash notes that an endpoint's answer broke off and reports whether the endpoint
// crashed. One that was leaving has ended as planned.
func (s *Server) noteCrash(id string, of quarantine.Fingerprint, ep fleet.Endpoint, stage quarantine.Stage) bool {
	group := s.Fleet.View().Group(ep.Service)
	known := group != nil && (group.IsReady(ep.ID) || group.HasLapsed(ep.ID))
	if !known || !s.probes.Ended(ep.Address) {
		s.Log.Info("ingress: answer broke off, endpoint did not crash.", "id", id, "fingerprint", of.String(), "endpoint", ep.ID, "stage", stage.String(), "leaving", !known)
		return false
	}
	s.Quarantine.Crashed(of, ep.ID, stage)
	s.Log.Info("ingress: endpoint crashed under a request.", "id", id, "fingerprint", of.String(), "endpoint", ep.ID, "stage", stage.String())
	return true
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
