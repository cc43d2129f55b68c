package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// claimWait bounds the KV call that claims an idempotency key.
const claimWait = 2 * time.Second

// claim holds the caller's idempotency key before a non-idempotent call, so
// a repeat through any entry does not run again. It answers the caller
// itself and returns ok false when the request must not go on; release gives
// the key back when the request then turns out not to have run.
//
// Without a key there is nothing to hold the caller to: the request still
// runs at most once, since it is never sent again after dispatch.
func (g *Gateway) claim(c *gin.Context, dec *route.Decision, rid string) (release func(), ok bool) {
	key := c.GetHeader(openai.HeaderIdempotencyKey)
	if g.idem == nil || key == "" || len(dec.Candidates) == 0 || mayRepeat(dec.Candidates[0]) {
		return func() {}, true
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), claimWait)
	defer cancel()
	err := g.idem.Claim(ctx, dec.Customer, key, rid)
	switch {
	case err == nil:
		return func() { g.idem.Release(dec.Customer, key, rid) }, true
	case errors.Is(err, idem.ErrDuplicate):
		g.refuse(c, http.StatusConflict, openai.OutcomeNotRun, "duplicate_request",
			"another request holds this Idempotency-Key; this one did not run", 0)
	default:
		g.refuse(c, http.StatusServiceUnavailable, openai.OutcomeNotRun, "claim_unconfirmed",
			"could not make sure this request runs only once; it did not run", retryUnknown)
	}
	return nil, false
}
