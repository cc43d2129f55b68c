package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// maxLimit is the highest limit that is accepted, in requests per second.
const maxLimit = 1e6

// Parse parses a limit in requests per second. It returns 0, for no limit, if s is not a valid one.
func Parse(s string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || math.IsNaN(limit) || limit <= 0 || limit > maxLimit {
		return 0
	}
	return limit
}
