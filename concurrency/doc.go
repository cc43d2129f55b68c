// Package concurrency keeps the requests of all entries together within the slots of
// brittle endpoints, which fall over if they have to turn too many away.
//
// Each brittle endpoint has an owner among the entries, which counts the permits in use. The
// others ask it before each request and tell it when one has ended. The owner is the first
// entry in rendezvous order that answers, so that all agree on it without coordination. An
// entry that stands in for an owner that does not answer, or that has just become the owner, does
// not know all permits in use and grants fewer.
//
// An endpoint that turns requests away all the same, as something else uses its slots, gets none
// while it has turned away half of what it bears.
package concurrency
