// Package ingress serves callers: it finds a request's route and customer in
// the configuration in force, picks endpoints, sends the request and returns
// the answer, complete or as a stream of events.
//
// Its guarantees: a request that is refused has not run; a request that may not
// run twice is sent again only while it provably has not run; an incomplete
// answer never looks complete; every request that is read is answered in time,
// if only with the time to retry.
package ingress
