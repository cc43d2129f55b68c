// Package peers is membership between entry instances: each entry gossips
// with one random live peer a second, and what one learns the others learn
// within a few rounds.
//
// It agrees on nothing. Everything it spreads either only grows (halts),
// carries its own order (configuration revisions, the instance list's
// revision, beats that only their owner raises) or is a hint (loads), so a
// merge may happen in any order and any number of times. What must be agreed
// goes through the platform's KV service.
//
// Membership also keeps the KV's call rate from growing with the fleet: the
// entries of a failure domain rank themselves by rendezvous hash, and only
// the first few hold watches (Holds); the others learn from them. Two
// entries that disagree on who is alive both watch, which costs a call, not
// a promise. An entry that sees no peer watches itself, so the failure mode
// is more calls, never silence.
package peers
