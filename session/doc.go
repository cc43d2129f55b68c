// Package session pins a caller's session to one version of each model it uses,
// without a KV write per request. The first answer of a session carries a token
// signed by the entry (HMAC-SHA256 JWT) that names the customer, the session and
// its versions. The caller sends it back, and any entry with the same keyring
// verifies it and keeps those versions, across entry restarts and whichever entry
// the load balancer picks.
//
// Keys rotate without breaking sessions: a keyring holds one current key that
// signs, and further keys that only verify, each named by a key id in the token
// header. Roll out a new key to every entry as verify-only first, then make it
// current, then remove the old one once MaxAge has passed.
package session
