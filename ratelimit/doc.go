// Package ratelimit enforces the request rate limits that endpoints announce; each limit
// applies to all entries together.
//
// Each limited endpoint has an owner among the entries that may use it. The owner keeps the
// limit's leaky bucket, and the others ask it before each request: counts that entries
// exchange are too late when several send at the same moment. The owner is the first entry
// in rendezvous order that is heard, so that all agree on it without coordination. An owner
// that does not hear from most of the entries restricts itself to their share of the limit,
// so that the sides of a network partition together stay within one and a half times the limit.
//
// Entries of builds that do not ask are counted by what they report.
package ratelimit
