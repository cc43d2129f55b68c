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
	strataNeed  = 20
	strataEvery = 8
	// mostStrata requests are counted; then all counts are halved, so that they follow
	// what is asked for.
	mostStrata = 4096
	// leastOfRoute answers of a first share for each route are worth drawing it by route:
	// of a service with few requests it is too small to be divided, and what is bad on all
	// routes shows sooner on those used most.
	leastOfRoute = 20
	// mostStratum bounds the share of one route's requests.
	mostStratum = 0.35
	// doubtedWeight is how much more a route gives on which the version is in doubt: that
	// ends sooner, whether the version is well or not.
	doubtedWeight = 3
)

func (s *strata) note(q Request) {
	if !q.stratified() {
		return
	}
	s.requests[q.Route]++
	s.all++
	if s.all < mostStrata {
		return
	}
	s.all = 0
	for route, n := range s.requests {
		if n /= 2; n == 0 {
			delete(s.requests, route)
			continue
		}
		s.requests[route] = n
		s.all += n
	}
}

// stratified reports whether a request is drawn by its route. A session may use several
// routes, and must not go back and forth between versions.
func (q Request) stratified() bool { return q.Session == "" && q.Route != "" }

// share is that of a request's route in a share of all; doubted tells the routes on which
// the version is in doubt.
func (s *strata) share(q Request, of float64, doubted func(route string) bool) float64 {
	if !q.stratified() || s.all < strataNeed || of >= mostStratum {
		return of
	}
	if s.sharesOf != of || s.shares[q.Route] == 0 || s.all < s.sharesAt || s.all-s.sharesAt >= strataEvery {
		s.shares, s.sharesOf, s.sharesAt = s.draw(of, doubted), of, s.all
	}
	return s.shares[q.Route]
}

// draw works out the share of each route's requests. Routes that are used less give more,
// as the others show what they are like when all requests move; one that would have to give
// too much gives what it may, and the others the rest.
func (s *strata) draw(of float64, doubted func(route string) bool) map[string]float64 {
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
			full = full || shares[route] > mostStratum
		}
		if !full {
			break
		}
		for route := range weights {
			if shares[route] > mostStratum {
				shares[route] = mostStratum
				rest -= mostStratum * s.part(route)
				delete(weights, route)
			}
		}
	}
	return shares
}

// part is a route's part of all requests.
func (s *strata) part(route string) float64 { return float64(s.requests[route]) / float64(s.all) }
