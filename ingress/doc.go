// Package ingress serves callers: it finds a request's route and customer in
// the configuration in force, picks endpoints, sends the request and returns
// the answer, whole or as a stream of events.
//
// What it promises: a refusal says truly that the request did not run; what
// may not run twice is sent on only while it provably has not run; an answer
// that is not whole does not look whole; every request that is read gets an
// answer, in time, even if it is only when to come back.
package ingress
