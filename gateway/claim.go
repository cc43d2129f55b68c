package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lovageweir/lovageweir/idem"
	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
)

// claimTimeout bounds the KV call that claims an idempotency key.
const claimTimeout = 2 * time.Second

// claim claims the caller's idempotency key before a non-idempotent call, so that
// a repeat through any entry does not run again. It returns a refusal if the
// request must not proceed, and sets q.release, which frees the claim of a request
// that turns out not to have run.
//
// Without a key there is nothing to claim. The request still runs at most once,
// since it is never resent after dispatch.
func (g *Gateway) claim(q *request, dec *route.Decision) *route.Refusal {
	key := q.c.GetHeader(openai.HeaderIdempotencyKey)
	if g.Claims == nil || key == "" || len(dec.Candidates) == 0 || retryable(dec.Candidates[0]) {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.c.Request.Context(), claimTimeout)
	defer cancel()
	err := g.Claims.Claim(ctx, dec.Customer, key, q.rid)
	switch {
	case err == nil:
		q.release = func() { g.Claims.Release(dec.Customer, key, q.rid) }
		return nil
	case errors.Is(err, idem.ErrDuplicate):
		return &route.Refusal{Code: "duplicate_request", Status: http.StatusConflict,
			Message: "another request holds this Idempotency-Key; this one did not run"}
	}
	return &route.Refusal{Code: "claim_unconfirmed", Status: http.StatusServiceUnavailable, RetryAfter: retryUnknown,
		Message: "could not make sure this request runs only once; it did not run"}
}
