package ingress_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against ids that fill the log, so that lines of other requests are dropped; the id itself is passed on whole.
func TestLongIDsAreClippedInTheLog(t *testing.T) {
	is := is.New(t)
	w := newEnv(t, 2)
	id := strings.Repeat("x", 12<<10)
	a := w.do(http.MethodPost, "/post/x", "body", "X-Attempt-Id", id)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "answer to "+id)
	waitFor(t, func() bool { return strings.Contains(w.logs.String(), "request ended") })
	for line := range strings.Lines(w.logs.String()) {
		if len(line) > 2<<10 {
			t.Errorf("a line of %d bytes: %.200s", len(line), line)
		}
	}
}
