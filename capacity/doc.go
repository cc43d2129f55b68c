// Package capacity holds how long work takes at each endpoint, as a factor of the usual time. Endpoints
// of one service differ in speed, and share their machines with other work, which slows them for
// moments. They report a figure with their answers; entries pass it on with the loads.
//
// Times of work are kept at factor 1 and multiplied by the factor of the endpoint in question where a
// time at that endpoint is needed.
package capacity
