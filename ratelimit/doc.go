// Package ratelimit enforces the request rate limits that endpoints announce; each limit
// applies to all entries together.
//
// An entry keeps one leaky bucket for each limited endpoint. Entries exchange the number of
// requests they have sent, so that the requests of all of them fill the bucket. An entry
// that does not hear from most of the others restricts itself to its share of the limit.
package ratelimit
