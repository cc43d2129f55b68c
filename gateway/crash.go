package gateway

import (
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/route"
)

// restartWindow is how long a crashed back end takes to serve again under its name.
// Crashes of one back end in the same window count as one.
const restartWindow = 10 * time.Second

// subjectFor identifies the content of a customer's request, which its repeats share, and the messages
// but the last, which other requests have too.
func (q *request) subjectFor(customer string) quarantine.Subject {
	path := chatPath
	if q.service != nil {
		path = ServicePrefix + q.name + q.service.path
	}
	s := quarantine.Subject{Request: quarantine.FingerprintOf(customer, http.MethodPost, "", path, q.body)}
	if n := len(q.chat.Messages); n > 1 {
		ids := make([]string, 0, n-1)
		for _, m := range q.chat.Messages[:n-1] {
			ids = append(ids, m.Role+"\x00"+m.Content)
		}
		s.Parts = quarantine.PartFingerprints(path, ids)
	}
	return s
}

func variantOf(b route.BackendInfo) quarantine.Variant {
	return quarantine.VariantOf(b.Model, b.Version)
}

// checkQuarantine refuses a request that is quarantined for crashing back ends.
func (g *Gateway) checkQuarantine(q *request) *route.Refusal {
	if g.Quarantine == nil {
		return nil
	}
	v := g.Quarantine.Check(q.subject)
	if !v.Quarantined && !v.Restricted {
		return nil
	}
	return &route.Refusal{Code: "quarantined", Status: http.StatusServiceUnavailable, Message: "back ends crashed under this request", RetryAfter: v.RetryAfter}
}

// recordCrash reports a failed attempt to the quarantine if its back end crashed.
func (g *Gateway) recordCrash(q *request, b route.BackendInfo, a attempt) {
	if g.Quarantine == nil || a.notRun || a.timedOut || !g.prober.Exited(b.Address) {
		return
	}
	epoch := g.Clock.Now().Truncate(restartWindow).UnixMilli()
	g.Log.Warn("gateway: back end crashed while handling a request.", "backend", b.Name, "request", q.rid, "fingerprint", q.subject.Request, "parts", q.subject.PartsString(), "stage", a.stage().String())
	g.Quarantine.Crashed(q.subject, fleet.IncarnationID(b.Name, epoch), variantOf(b), a.stage())
}

// stage is how far a failed attempt had got.
func (a attempt) stage() quarantine.Stage {
	switch {
	case a.tokens > 0:
		return quarantine.Running
	case a.code != "":
		return quarantine.Started
	}
	return quarantine.Waiting
}

// recordServed reports to the quarantine that a request was answered completely.
func (g *Gateway) recordServed(q *request, b route.BackendInfo) {
	if g.Quarantine != nil {
		g.Quarantine.Served(q.subject, variantOf(b), g.Quarantine.Clock.Now())
	}
}
