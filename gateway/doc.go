// Package gateway is the caller-facing HTTP API of an entry instance: chat
// completions (streamed or not) and calls to plain services.
//
// A request is read (chat.go, service.go), matched with its session's pinned
// versions (pin.go), routed (package route) and claimed under its idempotency key
// (claim.go). It is then dispatched to the candidate back ends in order (run.go,
// over the connection pools of connpool.go); the answer is validated and relayed
// or buffered (relay.go, output.go), rated for cascades and guards (rate.go), and
// billed. A sink receives the answer: output writes it to the caller,
// bufferedAnswer keeps it in memory, serviceAnswer holds that of a plain service.
//
// A refusal carries the type "not_run" only when nothing reached a back end or
// the back end provably rejected the request; once a request may have started,
// the type is "outcome_unknown". Every refusal worth retrying carries
// Retry-After, and refusals are sent without delay.
//
// The mutexes here (connPools.mu, retryBudget.mu) guard in-memory state only and
// are never held during a network call. The routing table is read through an
// atomic pointer and stays the same for the whole request.
package gateway
