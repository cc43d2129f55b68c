// Package engine is the stand-in for a model engine: it serves one model
// version over the OpenAI-style chat API, streams one token per step,
// runs concurrent requests up to a capacity, keeps a bounded prefix cache,
// reports its load with a lag, takes orders with a fencing number, and has
// fault switches (silence, cuts, failures, another version's answers).
//
// Its answers are deterministic: token i of a request is "<prefix>-<i>"
// where prefix comes from the request id, so a test can check that an
// answer is whole, in order, and the caller's own.
package engine
