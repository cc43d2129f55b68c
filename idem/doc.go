// Package idem makes a non-idempotent request (a tenant reminder, a pallet
// posting) run at most once across all entries. Before dispatch the entry claims
// the caller's idempotency key in the platform KV, create-only. A second request
// with the same key, through any entry, finds the claim and is refused without
// running.
//
// Failures and how they are handled:
//   - The answer to a claim is lost after the write took effect. The claim is read
//     back; if it contains the request's own id, the request holds it.
//   - The KV cannot confirm either way. The request is refused as not run, because
//     running it could run it twice. The claim may still have been written and
//     would then refuse a retry of a request that never ran, so it is queued and
//     released once the KV answers.
//   - A claimed request did not run (no capacity). Its claim is released by
//     compare-and-delete, so that a repeated release never removes another
//     request's claim.
//   - Claims would accumulate. Each is attached to a lease and expires with it.
package idem
