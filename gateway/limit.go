package gateway

import (
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/route"
)

// holderTakes is when a request that is left to the entry that uses a limited back end
// may be taken by it, or by another back end.
const holderTakes = time.Second

// limitedEndpoint is a back end as limits know it.
func limitedEndpoint(b route.BackendInfo) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.EndpointID(b.Name), Domain: b.Domain}
}

// room takes a request from the limit that a back end names, if it names one, and returns
// how long until it has room if it has none now. One entry of the back end's failure
// domain uses all of the limit: entries hear of each other too seldom to share it.
func (g *Gateway) room(b route.BackendInfo) (wait time.Duration) {
	if g.Limits == nil || !g.Limits.Any() {
		return 0
	}
	ep := limitedEndpoint(b)
	if g.Limits.Limit(ep) > 0 && !(b.Domain == g.Domain && g.HoldsLimit(b.Name)) {
		return holderTakes
	}
	if g.Limits.Take(ep, 0) {
		return 0
	}
	return max(g.Limits.Wait(ep, 0), time.Millisecond)
}

// noteLimit notes what an answer says of its back end's limit.
func (g *Gateway) noteLimit(b route.BackendInfo, h http.Header) {
	if g.Limits != nil {
		g.Limits.Named(limitedEndpoint(b), ratelimit.Parse(h.Get(openai.HeaderRateLimit)))
	}
}

// limited refuses a request whose back ends are all at the limits that they name.
func limited(again time.Duration) *route.Refusal {
	return &route.Refusal{Code: "rate_limited", Status: http.StatusServiceUnavailable, Message: "all back ends are at the limits that they name", RetryAfter: again}
}
