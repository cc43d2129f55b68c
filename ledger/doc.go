// Package ledger bills each request exactly once without a KV write per
// request. An entry appends one Record per request it ran (keyed by the
// request id) to a buffer, and a flush writes the buffer as one batch under
// a key of its own, create-only (compare-and-swap on "absent"). So:
//
//   - a retried flush after a lost acknowledgement writes the same bytes to
//     the same key; the compare fails and the re-read shows our own batch,
//     so nothing is written twice;
//   - a batch is never overwritten, because its key carries the entry's
//     instance, a start epoch and a sequence number;
//   - the write rate is entries / flush interval, whatever the request rate.
//
// Readers sum batches and drop repeated request ids, so a record that was
// written twice by a bug elsewhere still bills once. What is not covered: a
// crash loses at most one flush interval of records; see docs/PROOFS.md.
package ledger
