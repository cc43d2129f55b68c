package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/ratelimit"
	"github.com/lovageweir/lovageweir/route"
)

// otherDomainRetry is the retry delay for a request whose rate-limited back end only entries of
// another failure domain may use; one of them or another back end may serve it then.
const otherDomainRetry = time.Second

// limitedEndpoint converts a back end to the key that package ratelimit uses.
func limitedEndpoint(b route.BackendInfo) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.EndpointID(b.Name), Domain: b.Domain}
}

// acquireLimit takes one request from the rate limit of b, if it advertises one, and
// returns how long to wait if none is left. The entries of the back end's failure domain use
// it; one of them owns the limit.
func (g *Gateway) acquireLimit(ctx context.Context, b route.BackendInfo) (wait time.Duration) {
	if g.Limits == nil || !g.Limits.Any() {
		return 0
	}
	ep := limitedEndpoint(b)
	if g.Limits.Limit(ep) > 0 && b.Domain != g.Domain {
		return otherDomainRetry
	}
	if g.Limits.Take(ctx, ep, 0) {
		return 0
	}
	return max(g.Limits.Wait(ep, 0), time.Millisecond)
}

// recordLimit records the rate limit advertised in the headers of an answer.
func (g *Gateway) recordLimit(b route.BackendInfo, h http.Header) {
	if g.Limits != nil {
		g.Limits.Observe(limitedEndpoint(b), ratelimit.Parse(h.Get(openai.HeaderRateLimit)))
	}
}

// rateLimited refuses a request whose back ends are all at their advertised rate limits.
func rateLimited(retryAfter time.Duration) *route.Refusal {
	return &route.Refusal{Code: "rate_limited", Status: http.StatusServiceUnavailable, Message: "all back ends are at the limits that they name", RetryAfter: retryAfter}
}
