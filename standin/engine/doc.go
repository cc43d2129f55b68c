// Package engine simulates a model engine. It serves one model version over
// the OpenAI-style chat API, streams one token per step, runs concurrent
// requests up to a capacity, keeps a bounded prefix cache, reports its load
// with a lag and accepts orders that carry a fencing token. Injectable faults
// are hanging requests, broken connections, failures and responses in the name
// of another version.
//
// Responses are deterministic: token i of a request is "<request id>-<i> ", so
// a test can check that a response is complete, in order, and belongs to its
// request.
package engine
