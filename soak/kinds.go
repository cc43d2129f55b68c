package soak

import "time"

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
)

// kinds are those that callers draw from.
func (s *callers) kinds() []string {
	kinds := []string{kindPost, kindGet, kindOnce, kindResume, kindMark}
	if s.series {
		kinds = append(kinds, kindCall, kindCall, kindCall)
	}
	return kinds
}

func isStream(kind string) bool {
	return kind == kindOnce || kind == kindResume || kind == kindLong
}

// mayRepeat reports whether a request may run more than once.
func mayRepeat(kind string) bool {
	return kind == kindGet || kind == kindResume || kind == kindMark
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
	case isStream(kind):
		return "/" + kind + "/stream"
	}
	return "/" + kind + "/x"
}
