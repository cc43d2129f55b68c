package soak

import (
	"slices"
	"time"
)

// Kinds of requests, each with its own route. Calls and long streams go to the
// slow service and are sent only if entries are stopped in series.
const (
	kindPost         = "post"
	kindGet          = "get"
	kindNonResumable = "once"   // a stream that may not be resumed
	kindResumable    = "resume" // a stream that may be resumed
	kindVersion      = "mark"   // its route identifies the configuration version in force
	kindCall         = "call"
	kindLong         = "long"
	// kindFragile goes to the fragile service; so does kindPoison, which crashes its
	// engines.
	kindFragile = "fragile"
	kindPoison  = "poison"
)

// kinds returns the kinds that callers draw from, repeated by weight.
func (s *callers) kinds() []string {
	kinds := []string{kindPost, kindGet, kindNonResumable, kindResumable, kindVersion}
	if s.series {
		kinds = append(kinds, kindCall, kindCall, kindCall)
	}
	if s.fragile {
		kinds = append(slices.Repeat([]string{kindFragile}, poisonEvery-1), kindPoison, kindPost, kindGet)
	}
	return kinds
}

func isStream(kind string) bool {
	return kind == kindNonResumable || kind == kindResumable || kind == kindLong || kind == kindFragile || kind == kindPoison
}

// mayRepeat reports whether a request may run more than once.
func mayRepeat(kind string) bool {
	return kind == kindGet || kind == kindResumable || kind == kindVersion || kind == kindFragile || kind == kindPoison
}

// timeoutOf returns how long a request of a kind may take.
func timeoutOf(kind string) time.Duration {
	if kind == kindLong {
		return longTimeout
	}
	return requestTimeout
}

// pathOf returns the path of a request; engines stream if it ends in /stream.
func pathOf(kind string, version int64) string {
	switch {
	case kind == kindVersion:
		return "/" + versionRoute(version) + "/x"
	case kind == kindPoison:
		return "/" + kindFragile + "/stream"
	case isStream(kind):
		return "/" + kind + "/stream"
	}
	return "/" + kind + "/x"
}

// bodyOf returns the body of a request. It is unique to the request, except that all
// requests that crash engines have the same.
func bodyOf(id, kind string) string {
	if kind == kindPoison {
		return poisonBody
	}
	return "body of " + id
}
