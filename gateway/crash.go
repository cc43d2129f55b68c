package gateway

import (
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/route"
)

// restartTakes is how long a back end that crashed takes to serve again under its name:
// crashes of one within this time are the same.
const restartTakes = 10 * time.Second

// fingerprintFor identifies what a customer asks for, whichever attempt it is.
func (q *request) fingerprintFor(customer string) quarantine.Fingerprint {
	path := chatPath
	if q.service != nil {
		path = ServicePrefix + q.name + q.service.path
	}
	return quarantine.Of(customer, http.MethodPost, "", path, q.body)
}

// quarantined refuses a request that crashes back ends.
func (g *Gateway) quarantined(q *request) *route.Refusal {
	if g.Quarantine == nil {
		return nil
	}
	v := g.Quarantine.Check(q.fingerprint)
	if !v.Quarantined {
		return nil
	}
	return &route.Refusal{Code: "quarantined", Status: http.StatusServiceUnavailable, Message: "back ends crashed under this request", RetryAfter: v.For}
}

// noteCrash notes a try that failed, if its back end crashed.
func (g *Gateway) noteCrash(q *request, b route.BackendInfo, a attempt) {
	if g.Quarantine == nil || a.notRun || a.silent || !g.probes.Ended(b.Address) {
		return
	}
	epoch := g.Clock.Now().Truncate(restartTakes).UnixMilli()
	g.Log.Warn("gateway: back end crashed under a request.", "backend", b.Name, "request", q.rid, "fingerprint", q.fingerprint.String(), "stage", a.stage().String())
	g.Quarantine.Crashed(q.fingerprint, fleet.IncarnationID(b.Name, epoch), a.stage())
}

// stage is how far a failed try had come.
func (a attempt) stage() quarantine.Stage {
	switch {
	case a.tokens > 0:
		return quarantine.Running
	case a.code != "":
		return quarantine.Started
	}
	return quarantine.Waiting
}

// served notes that a request was answered whole.
func (g *Gateway) served(q *request) {
	if g.Quarantine != nil {
		g.Quarantine.Served(q.fingerprint)
	}
}
