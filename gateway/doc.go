// Package gateway is the caller-facing HTTP API of an entry instance: chat
// completions (streamed or whole) and calls to plain services.
//
// One request goes: read (chat.go, service.go), session pins (pin.go),
// decision (package route), idempotency claim (claim.go), back ends in turn
// (run.go, over the connections of lines.go), the answer checked and passed
// on or kept (relay.go, output.go), rating for cascades and guards (rate.go),
// bill. A sink is where an answer goes: output to the caller, answer into
// memory, serviceAnswer for a plain service.
//
// Refusals are typed and truthful. "not_run" is said only when nothing
// reached a back end or it provably refused; once a request may have begun
// the answer is "outcome_unknown". Every refusal worth repeating carries
// Retry-After, and none is held back.
//
// The locks here (lines.mu, retryBudget.mu) guard map work only and are never
// held while calling out; the table in force is read through an atomic
// pointer and fixed for the whole request.
package gateway
