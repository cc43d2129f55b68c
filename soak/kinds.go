package soak

import (
	"slices"
	"time"
)

// Kinds of requests; each has a route of its own. A call and a long stream go
// to the slow service, and are sent only while stops come in series.
const (
	kindPost   = "post"
	kindGet    = "get"
	kindOnce   = "once"   // a stream that may not be resumed
	kindResume = "resume" // one that may
	kindMark   = "mark"   // its route tells which configuration is in force
	kindCall   = "call"
	kindLong   = "long"
	// kindFragile goes to the fragile service; kindPoison is the one of them that crashes
	// its engines.
	kindFragile = "fragile"
	kindPoison  = "poison"
)

// kinds are those that callers draw from.
func (s *callers) kinds() []string {
	kinds := []string{kindPost, kindGet, kindOnce, kindResume, kindMark}
	if s.series {
		kinds = append(kinds, kindCall, kindCall, kindCall)
	}
	if s.fragile {
		kinds = append(slices.Repeat([]string{kindFragile}, poisonEvery-1), kindPoison, kindPost, kindGet)
	}
	return kinds
}

func isStream(kind string) bool {
	return kind == kindOnce || kind == kindResume || kind == kindLong || kind == kindFragile || kind == kindPoison
}

// mayRepeat reports whether a request may run more than once.
func mayRepeat(kind string) bool {
	return kind == kindGet || kind == kindResume || kind == kindMark || kind == kindFragile || kind == kindPoison
}

// limitOf is how long a request may take.
func limitOf(kind string) time.Duration {
	if kind == kindLong {
		return longLimit
	}
	return requestLimit
}

// pathOf is where a request goes; the engines stream where a path says so.
func pathOf(kind string, version int64) string {
	switch {
	case kind == kindMark:
		return "/" + mark(version) + "/x"
	case kind == kindPoison:
		return "/" + kindFragile + "/stream"
	case isStream(kind):
		return "/" + kind + "/stream"
	}
	return "/" + kind + "/x"
}

// bodyOf is a request's own, but for the one that crashes engines, which comes again.
func bodyOf(id, kind string) string {
	if kind == kindPoison {
		return poisonBody
	}
	return "body of " + id
}
