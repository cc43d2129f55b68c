// Package guard halts a version that answers badly in the middle of its
// roll-out. Each entry counts the good and bad answers of guarded versions
// and gossips its counts; every entry runs the same sequential test (a
// CUSUM) on the merged stream of counts, and the first to cross the
// threshold halts the version.
//
// A halt is a word that only grows: it names one attempt at one version, is
// passed on at once, is kept by every entry that hears it, and is written
// to the platform's KV create-only so that entries started later learn it.
// Nothing needs to be agreed, and the KV may be down: a halt still reaches
// every entry that gossip reaches.
package guard
