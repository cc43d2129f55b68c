// Package ratelimit keeps the limits that endpoints name: so many requests a second from
// all entries together.
//
// Each entry keeps a leaky bucket for each limited endpoint, which the requests of all
// entries fill, as they tell each other. An entry that does not hear most of the others
// keeps to its part of the limit.
package ratelimit
