package drain

import (
	"context"
	"net/http"
	"time"
)

// InterruptReading ends the reading of a request's body when ctx ends, until the
// returned function is called. net/http does not do so by itself: a caller that
// sends its body slowly would outlast a planned stop, and not be told that its
// request did not run.
func InterruptReading(ctx context.Context, w http.ResponseWriter) (stop func() bool) {
	conn := http.NewResponseController(w)
	return context.AfterFunc(ctx, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // a writer without deadlines belongs to a test's recorder
	})
}
