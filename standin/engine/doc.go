// Package engine is the stand-in for a model engine: it serves one model
// version over the OpenAI-style chat API, streams one token per step,
// batches concurrent requests up to a capacity, reports its load, and has
// fault switches (a bad version, connections that go silent for good).
//
// Its answers are deterministic: token i of a request is "<prefix>-<i>"
// where prefix comes from the request id, so a test can check that an
// answer is whole, in order, and the caller's own.
package engine
