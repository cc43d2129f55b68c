// Package idem makes a non-idempotent request (a tenant reminder, a pallet
// posting) run at most once across all entries. Before dispatch the entry
// claims the caller's idempotency key in the platform KV, create-only; a
// second request with the same key, through any entry, finds the claim and
// is refused without running.
//
// What goes wrong without care, and what is done:
//   - The claim's answer is lost after the write took effect: the claim is
//     re-read, and our own request id in it means we hold it.
//   - The KV cannot confirm either way: the request is refused as not run,
//     since running it could make it run twice. The claim may have landed,
//     and would then refuse the caller's repeat of a request that never ran;
//     so it is queued and released once the KV answers.
//   - A claimed request turns out not to have run (no capacity): the claim is
//     released, by compare-and-delete so a repeated release never removes
//     another request's claim.
//   - Claims would pile up: each hangs on a lease and vanishes with it.
package idem
