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

// unbounded is how long a request may take here: a stream goes on as long as
// its tokens come, and a caller names no deadline. So none that comes during a
// stop is sure to have its answer before the end.
const unbounded time.Duration = math.MaxInt64

// admit takes requests through the gate, refuses those that a planned stop has
// no time left for, and answers the refusals that handle returns.
func (g *Gateway) admit(handle func(*gin.Context) *route.Refusal) gin.HandlerFunc {
	return func(c *gin.Context) {
		g.Gate.Enter()
		defer g.Gate.Leave()
		if !g.Gate.Admits(unbounded) {
			g.refuseNotRun(c, errDraining)
			return
		}
		ctx, unbind := g.Gate.Bound(c.Request.Context())
		defer unbind()
		c.Request = c.Request.WithContext(ctx)
		if ref := handle(c); ref != nil {
			g.refuseNotRun(c, ref)
		}
	}
}

// cutOff reports whether the end of a planned stop has ended the request, and
// not its caller.
func cutOff(c *gin.Context) bool {
	return errors.Is(context.Cause(c.Request.Context()), drain.ErrCut)
}

// codeStopped is the code of an answer that the end of a planned stop has cut
// off after a back end may have run the request.
const codeStopped = "entry_stopped"

// endCode is why q ends without its whole answer: code, unless the stop has
// ended it. What the stop cuts off looks like a back end's failure otherwise,
// and an operator would look for it there.
func (g *Gateway) endCode(q *request, code string) string {
	if !cutOff(q.c) {
		return code
	}
	g.Log.Warn("gateway: the planned stop has cut off a request; it may have run.", "request", q.rid, "customer", q.customer)
	return codeStopped
}

// lastIfStopping makes the answer about to begin the last on its connection if
// the entry stops. A caller that keeps the connection sends its next request
// on it, and one that crosses the close gets no answer.
func (g *Gateway) lastIfStopping(c *gin.Context) {
	if g.Gate.Stopping() {
		c.Header("Connection", "close")
	}
}
