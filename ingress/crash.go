package ingress

import (
	"net/http"

	"github.com/lovageweir/lovageweir/quarantine"
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
	if c.watch.why() != "" || group == nil || !group.IsReady(c.endpoint.ID) || !x.server.probes.Ended(c.endpoint.Address) {
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
