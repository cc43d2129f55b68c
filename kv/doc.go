// Package kv defines the interface to the platform's key-value service: reads
// and writes (KV), leases (Lease) and change notification (Watcher), with
// revisions and lease ids as their own types. The implementations are in
// sub-packages: memkv keeps everything in memory (for tests and the stand-in
// server), etcdv3 is a client of the etcd v3 API of the platform (or of the
// stand-in).
//
// The platform's service has outages and can lose an acknowledgement after a
// write took effect, so every caller must treat ErrUnavailable as an unknown
// outcome and read again before it writes again.
package kv
