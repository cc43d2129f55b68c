// Package ledger bills each request exactly once. A request is opened when it
// is dispatched and gets one record when it ends. Records are written to the
// platform KV in batches, create-only under unique keys. A batch whose
// acknowledgement was lost is rewritten to the same key with the same bytes, so
// it is stored at most once. Readers count each request id once.
//
// Failures and how they are handled:
//   - An entry crashes with unwritten records or with requests in flight. Each
//     entry (the owner) copies its open requests and records to the first live
//     entry of its failure domain (the holder) before the caller sees the end
//     of the answer. The holder writes the records, and if the owner dies it
//     bills the owner's open requests as outcome_unknown.
//   - The holder crashes. The owner keeps a record until it is durable, and
//     sends it to the next holder or writes it itself after selfWriteDelay.
//   - The owner was only paused and bills as well. Read keeps the better of the
//     records of one request id.
//
// Holders also limit the KV's write rate to one batch per failure domain and
// interval, regardless of the number of entries.
package ledger
