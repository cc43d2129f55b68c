package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a Retry-After that is not a number of seconds closing an endpoint.
func TestParseAfter(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]time.Duration{"": 0, "3": 3 * time.Second, " 0.5 ": 500 * time.Millisecond, "0": 0, "-1": 0, "NaN": 0, "soon": 0,
		"Wed, 21 Oct 2026 07:28:00 GMT": 0, "1e300": maxAfter, "+Inf": maxAfter, "1e400": 0} {
		is.Equal(ParseAfter(value), want)
	}
}
