// Package peers implements gossip membership between entry instances: each
// entry exchanges digests with one random live peer per second, and an update
// reaches all entries within a few rounds.
//
// It provides no consensus. Every value it propagates either only grows
// (halts), is versioned (configuration revisions, the instance list's revision,
// heartbeat counters that only their owner increments) or is a hint (loads), so
// merges are commutative and idempotent. State that needs agreement goes
// through the platform's KV service.
//
// Membership also keeps the KV's call rate from growing with the fleet: the
// entries of a failure domain rank themselves by rendezvous hash, and only the
// first few watch the KV (IsResponsible); the others learn from them. Entries that
// disagree on which members are alive may both watch, which costs extra calls
// but breaks no guarantee. An entry that sees no peer watches the KV itself, so
// a membership failure leads to more calls, never to missed updates.
package peers
