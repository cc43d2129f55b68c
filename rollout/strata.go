package rollout

import "math"

// strata counts a service's requests by route, for stratified sampling of the canary share.
// Sampled uniformly, the share has too few requests of a rarely used route to detect a
// version that is bad on it.
type strata struct {
	requests        map[string]int
	total           int
	shares          map[string]float64 // sampling share by route
	sharesOf        float64            // the overall share that they were computed for
	sharesCountedAt int                // total when they were computed
}

const (
	// minStrataRequests are needed to know the routes' traffic shares. The sampling shares
	// are recomputed every strataRefreshRequests.
	minStrataRequests     = 20
	strataRefreshRequests = 8
	// All counts are halved when their total reaches maxStrataCount, so that they follow
	// changes in traffic.
	maxStrataCount = 4096
	// Sampling by route needs minAnswersPerRoute expected canary answers for each route.
	// With fewer, the canary share is too small to be divided, and a version that is bad on
	// all routes is detected sooner on the most used ones.
	minAnswersPerRoute = 20
	// maxRouteShare bounds the sampling share of one route.
	maxRouteShare = 0.35
	// doubtedWeight is the factor for routes on which the version is in doubt: the doubt is
	// resolved sooner, whether the version is good or bad.
	doubtedWeight = 3
)

func (s *strata) count(q Request) {
	if !q.stratified() {
		return
	}
	s.requests[q.Route]++
	s.total++
	if s.total < maxStrataCount {
		return
	}
	s.total = 0
	for route, n := range s.requests {
		if n /= 2; n == 0 {
			delete(s.requests, route)
			continue
		}
		s.requests[route] = n
		s.total += n
	}
}

// stratified reports whether a request is sampled by its route. Requests of a session are
// not: a session may use several routes, and must not move back and forth between versions.
func (q Request) stratified() bool { return q.Session == "" && q.Route != "" }

// share returns the sampling share of a request's route for an overall share; doubted
// reports the routes on which the version is in doubt.
func (s *strata) share(q Request, overall float64, doubted func(route string) bool) float64 {
	if !q.stratified() || s.total < minStrataRequests || overall >= maxRouteShare {
		return overall
	}
	if s.sharesOf != overall || s.shares[q.Route] == 0 || s.total < s.sharesCountedAt || s.total-s.sharesCountedAt >= strataRefreshRequests {
		s.shares, s.sharesOf, s.sharesCountedAt = s.allocate(overall, doubted), overall, s.total
	}
	return s.shares[q.Route]
}

// allocate computes the sampling share of each route. Rarely used routes get a higher one,
// as the others produce enough answers after promotion. A route that would exceed
// maxRouteShare gets that, and the others the rest.
func (s *strata) allocate(overall float64, doubted func(route string) bool) map[string]float64 {
	weights := make(map[string]float64, len(s.requests))
	for route := range s.requests {
		weights[route] = 1 / math.Sqrt(s.trafficShare(route))
		if doubted(route) {
			weights[route] *= doubtedWeight
		}
	}
	shares := make(map[string]float64, len(weights))
	for rest := overall; len(weights) > 0; {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		full := false
		for route, w := range weights {
			shares[route] = rest * w / sum / s.trafficShare(route)
			full = full || shares[route] > maxRouteShare
		}
		if !full {
			break
		}
		for route := range weights {
			if shares[route] > maxRouteShare {
				shares[route] = maxRouteShare
				rest -= maxRouteShare * s.trafficShare(route)
				delete(weights, route)
			}
		}
	}
	return shares
}

// trafficShare returns a route's share of all requests.
func (s *strata) trafficShare(route string) float64 {
	return float64(s.requests[route]) / float64(s.total)
}
