// Package guard halts a version that gives too many bad answers during its
// roll-out. Each entry counts the good and bad answers of guarded versions and
// gossips its counts; every entry runs the same sequential test (CUSUM) on the
// merged counts, and the first to cross the threshold halts the version.
//
// Halts form a grow-only set. A halt names one attempt at one version, is
// gossiped at once, is kept by every entry that receives it, and is written
// create-only to the platform's KV so that entries started later learn it.
// This needs no agreement, and while the KV is down a halt still reaches every
// entry that gossip reaches.
package guard
