// Package duty elects one process at a time to hold a duty: a key in the platform
// KV attached to a lease. The revision at which the key was created is the holder's
// fencing token; a later holder's token is always higher.
//
// A holder may be paused, lose its lease to another process and then resume as if
// nothing had happened. A holder therefore acts only until a deadline on its own
// monotonic clock, counted from before it requested the renewal and short of the
// lease by safetyMargin. Its actions carry the fencing token, so that a receiver
// that checks it rejects those of an earlier holder.
package duty
