package retry

import (
	"strconv"
	"strings"
	"time"
)

// maxAfter bounds how long an endpoint gets no requests because it asked for that. One that asked for
// more is tried again after it, as it may have recovered.
const maxAfter = 10 * time.Minute

// ParseAfter parses the Retry-After of an endpoint: a number of seconds, with or without fractions. It
// returns 0, for none, if s is not a positive number; dates are not supported, as clocks differ.
func ParseAfter(s string) time.Duration {
	n, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(min(n, maxAfter.Seconds()) * float64(time.Second))
}
