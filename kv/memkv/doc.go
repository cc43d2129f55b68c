// Package memkv implements kv.Client in memory: a map guarded by one mutex, a
// bounded event history for watches, and leases timed by an injected clock. The
// stand-in KV server uses it as its store; unit tests use it directly.
package memkv
