package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lovageweir/lovageweir/drain"
	"github.com/lovageweir/lovageweir/route"
)

// noTimeLimit is the assumed duration of a request: callers set no deadline, and a
// stream lasts as long as its tokens keep coming. A request that arrives during a
// planned stop is therefore never sure to finish before its end.
const noTimeLimit time.Duration = math.MaxInt64

// admit passes requests through the drain gate, refuses those for which a planned
// stop leaves no time, and writes the refusals that handle returns.
func (g *Gateway) admit(handle func(*gin.Context) *route.Refusal) gin.HandlerFunc {
	return func(c *gin.Context) {
		g.Gate.Enter()
		defer g.Gate.Leave()
		defer releaseBody(c)
		if !g.Gate.Admits(noTimeLimit) {
			g.refuseNotRun(c, errDraining)
			return
		}
		ctx, unbind := g.Gate.BindContext(c.Request.Context())
		defer unbind()
		c.Request = c.Request.WithContext(ctx)
		if ref := handle(c); ref != nil {
			g.refuseNotRun(c, ref)
		}
	}
}

// cutByDrain reports whether the request was ended by the end of a planned stop
// rather than by its caller.
func cutByDrain(c *gin.Context) bool {
	return errors.Is(context.Cause(c.Request.Context()), drain.ErrDeadline)
}

// codeStopped is the error code of a request that a planned stop cut off after a
// back end may have started it.
const codeStopped = "entry_stopped"

// failureCode is the error code of a request that gets no complete answer: code,
// or codeStopped if a planned stop cut it off. Without the distinction an operator
// would look for a fault in the back end.
func (g *Gateway) failureCode(q *request, code string) string {
	if !cutByDrain(q.c) {
		return code
	}
	g.Log.Warn("gateway: the planned stop has cut off a request; it may have run.", "request", q.rid, "customer", q.customer)
	return codeStopped
}

// closeConnIfStopping makes the answer that follows the last on its connection
// while the entry stops. A caller that reuses the connection could otherwise send
// a request as the entry closes it, and get no answer.
func (g *Gateway) closeConnIfStopping(c *gin.Context) {
	if g.Gate.Stopping() {
		c.Header("Connection", "close")
	}
}
