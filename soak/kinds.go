package soak

import (
	"fmt"
	"math/rand/v2"
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
	// kindDeadlyPart is a fragile request that crashes its engine by a part of its prompt; no two are
	// alike.
	kindDeadlyPart = "part"
	// kindRevoked has an API key that the configuration before the latest one has.
	kindRevoked = "revoked"
)

// kinds returns the kinds that callers draw from, repeated by weight.
func (s *callers) kinds() []string {
	kinds := []string{kindPost, kindGet, kindNonResumable, kindResumable, kindVersion}
	if s.restores {
		kinds = append(kinds, kindRevoked)
	}
	if s.series {
		kinds = append(kinds, kindCall, kindCall, kindCall)
	}
	if s.fragile {
		kinds = append(slices.Repeat([]string{kindFragile}, poisonEvery-1), kindPoison, kindDeadlyPart, kindPost, kindGet)
	}
	return kinds
}

func isStream(kind string) bool {
	return kind == kindNonResumable || kind == kindResumable || kind == kindLong || isFragile(kind)
}

// isFragile reports whether requests of a kind go to the fragile service.
func isFragile(kind string) bool {
	return kind == kindFragile || kind == kindPoison || kind == kindDeadlyPart
}

func crashesEngines(kind string) bool { return kind == kindPoison || kind == kindDeadlyPart }

// promptOf returns the prompt of a request to the fragile service, of a first, a middle and a last part.
func promptOf(rng *rand.Rand, id, kind string) string {
	middle := fmt.Sprintf("m%d", rng.IntN(middleParts))
	if kind == kindDeadlyPart {
		middle = deadlyPartID
	}
	return fmt.Sprintf("f%d:40,%s:40,own-%s:20", rng.IntN(firstParts), middle, id)
}

// mayRepeat reports whether a request may run more than once.
func mayRepeat(kind string) bool {
	return kind == kindGet || kind == kindRevoked || kind == kindResumable || kind == kindVersion || isFragile(kind)
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
	case kind == kindRevoked:
		return "/" + kindGet + "/x"
	case isFragile(kind):
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
