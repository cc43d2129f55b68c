// Package gateway is the caller-facing HTTP API of an entry instance: it
// admits a chat completion, asks route for a decision under the table in
// force, calls the chosen back end and relays the answer, streamed or whole.
//
// Refusals are typed and truthful. "not_run" is said only when nothing
// reached a back end (decided before dispatch, or the connection was
// refused); once a request may have reached a back end the answer is
// "outcome_unknown". Every retryable refusal carries Retry-After at once.
//
// Lock order: Loads.mu is the only lock here and is never held while
// calling out; the table in force is read through an atomic pointer.
package gateway
