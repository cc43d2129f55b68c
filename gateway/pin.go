package gateway

import (
	"maps"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/route"
	"github.com/lovageweir/lovageweir/session"
)

// readPins reads the session token. A token that does not verify or belongs to
// another session is ignored, and the session's versions are then chosen as for
// a caller without a token.
func (g *Gateway) readPins(q *request) {
	tok := q.c.GetHeader(openai.HeaderSessionToken)
	if g.Keys == nil || tok == "" || q.route.Session == "" {
		return
	}
	cl, err := g.Keys.Verify(tok, g.Clock.Now())
	if err != nil || cl.Session != q.route.Session {
		g.Scope.Counter("session_tokens_ignored").Inc(1)
		return
	}
	q.route.Pins, q.route.PinnedCustomer = cl.Versions, cl.Customer
}

// pin records that the session used a version and, unless the caller's token
// already says so, sets a new one in the response. It must be called before the
// first byte of the answer.
func (g *Gateway) pin(q *request, dec *route.Decision) {
	if g.Keys == nil || q.route.Session == "" || q.route.Pins[dec.Model] == dec.Version && q.route.PinnedCustomer == dec.Customer {
		return
	}
	if q.pins == nil {
		q.pins = map[string]string{}
		if q.route.PinnedCustomer == dec.Customer {
			maps.Copy(q.pins, q.route.Pins)
		}
	}
	q.pins[dec.Model] = dec.Version
	tok, err := g.Keys.Sign(session.Claims{Customer: dec.Customer, Session: q.route.Session, Versions: q.pins}, g.Clock.Now())
	if err != nil {
		g.Log.Error("gateway: could not sign a session token.", "error", err)
		return
	}
	q.c.Header(openai.HeaderSessionToken, tok)
}
