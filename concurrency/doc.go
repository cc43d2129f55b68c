// Package concurrency keeps the requests of all entries together within the slots of brittle
// endpoints, which fall over if they have to turn too many away.
//
// Each brittle endpoint has an owner among the entries, the first in rendezvous order that answers.
// It counts the permits in use; the others ask it before each request and tell it of the end. One that
// stands in for it, or has just become the owner, does not know all of them and grants fewer.
package concurrency
