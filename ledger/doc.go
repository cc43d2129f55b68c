// Package ledger bills each request exactly once. A request is opened when
// it is dispatched and gets one record when it ends; records are written to
// the platform KV in batches, create-only under unique keys, and a batch
// whose acknowledgement was lost is written again to the same key with the
// same bytes, so it lands at most once. Readers count each request id once.
//
// What goes wrong, and what is done:
//   - An entry crashes with records not yet written, or with requests in
//     flight: each entry copies what it opens and records to the first live
//     entry of its failure domain (the holder), before the caller sees the
//     end of the answer. The holder writes the records; when the owner dies
//     it bills what was open as outcome_unknown.
//   - The holder crashes: the owner keeps a record until it is durable, and
//     hands it to the next holder, or writes it itself after ownAfter.
//   - The owner was only paused, and bills too: the reader keeps the better
//     record of a request id.
//
// Holders also keep the KV's write rate at one batch a failure domain and
// interval, whatever the number of entries.
package ledger
