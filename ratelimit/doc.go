// Package ratelimit keeps the limits that endpoints name: so many requests a second from
// all entries together.
//
// Each entry keeps a bucket for each limited endpoint. A request adds one to it, whichever
// entry sends it, and it leaks at the limit; an endpoint takes another request while there
// is room. Entries tell each other how many requests they have sent, with each of them and
// regularly, so that all buckets hold about the same, whoever has the requests. What two
// send at the same moment is made up for by the next ones.
//
// An entry that does not hear the others keeps to its part of the limit.
package ratelimit
