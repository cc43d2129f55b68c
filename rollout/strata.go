package rollout

import "math"

// strata counts the requests of a service by route, so that a first share can be drawn
// from routes by what is to be learned on each: drawn from all requests alike, it has too
// few of a route that is seldom used to tell a version that is bad on that one.
type strata struct {
	requests map[string]int
	all      int
	shares   map[string]float64 // by route, of its requests
	sharesOf float64            // the share of all requests that they make up
	sharesAt int                // requests when they were worked out
}

const (
	// strataNeed are the requests from which on the routes' parts of them are known,
	// strataEvery how many more there are until the shares are worked out anew.
	strataNeed  = 40
	strataEvery = 8
	// mostStratum bounds the share of one route's requests, in a first share.
	mostStratum = 0.35
	// doubtedWeight is how much more a route gives on which the version is in doubt: that
	// ends sooner, whether the version is well or not.
	doubtedWeight = 3
)

func (s *strata) note(route string) {
	if s.requests == nil {
		s.requests = map[string]int{}
	}
	s.requests[route]++
	s.all++
}

// share is that of a route's requests in a share of all; doubted tells the routes on which
// the version is in doubt.
func (s *strata) share(route string, of float64, doubted func(route string) bool) float64 {
	if s.all < strataNeed || of >= 1 {
		return of
	}
	if s.sharesOf != of || s.all-s.sharesAt >= strataEvery || s.shares[route] == 0 {
		s.shares, s.sharesOf, s.sharesAt = s.draw(of, doubted), of, s.all
	}
	return s.shares[route]
}

// draw works out the share of each route's requests. Routes that are used less give more,
// as the others show what they are like when all requests move; one that would have to give
// too much gives what it may, and the others the rest.
func (s *strata) draw(of float64, doubted func(route string) bool) map[string]float64 {
	most := mostStratum
	if of > most {
		most = 1
	}
	weights := make(map[string]float64, len(s.requests))
	for route := range s.requests {
		weights[route] = 1 / math.Sqrt(s.part(route))
		if doubted(route) {
			weights[route] *= doubtedWeight
		}
	}
	shares := make(map[string]float64, len(weights))
	for rest := of; len(weights) > 0; {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		full := false
		for route, w := range weights {
			shares[route] = rest * w / sum / s.part(route)
			full = full || shares[route] > most
		}
		if !full {
			break
		}
		for route := range weights {
			if shares[route] > most {
				shares[route] = most
				rest -= most * s.part(route)
				delete(weights, route)
			}
		}
	}
	return shares
}

// part is a route's part of all requests.
func (s *strata) part(route string) float64 { return float64(s.requests[route]) / float64(s.all) }
