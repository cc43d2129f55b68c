// Package session pins a caller's session to one version of each model
// it uses, without a KV write per request. The first answer of a session carries a token
// signed by the entry (HMAC-SHA256 JWT) naming the customer, the session and
// its versions; the caller sends it back, and any entry holding the same key
// ring verifies it and keeps the session on them, across entry
// restarts and whichever entry the balancer picks.
//
// Keys rotate without breaking sessions: a ring holds one current key that
// signs and older keys that still verify, each named by a key id in the
// token header. Roll a new key to every entry as verify-only first, then make
// it current, then drop the old one once MaxAge has passed.
package session
