package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// mostLimit is the highest limit that counts as one, in requests a second.
const mostLimit = 1e6

// Parse reads a limit of requests a second; what is none counts as not named.
func Parse(s string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || math.IsNaN(limit) || limit <= 0 || limit > mostLimit {
		return 0
	}
	return limit
}
