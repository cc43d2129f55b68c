package drain

import (
	"context"
	"net/http"
	"time"
)

// InterruptReading aborts reads of a request's body when ctx is done, until the
// returned function is called. net/http does not do this itself: a caller that
// sends its body slowly would outlast a graceful shutdown, and never learn that
// its request did not run.
func InterruptReading(ctx context.Context, w http.ResponseWriter) (stop func() bool) {
	conn := http.NewResponseController(w)
	return context.AfterFunc(ctx, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // only test recorders do not support deadlines
	})
}
