// Package memkv is an in-memory kv.Client: a single map guarded by one mutex,
// a bounded event history for watches, and leases timed by an injected
// clock. The stand-in KV server serves it; unit tests use it directly.
package memkv
