// Package kv is the port through which lovageweir meets the platform's
// key-value service: small interfaces for reads and writes (KV), leases
// (Lease) and change notification (Watcher), with revisions and lease ids as
// their own types. Adapters live in sub-packages: memkv keeps everything in
// memory (tests and the stand-in server), etcdv3 speaks the etcd v3 API
// to the platform (or to the stand-in).
//
// The platform's service has outages and can lose an acknowledgement after a
// write took effect, so every caller must treat ErrUnavailable as "may or may
// not have happened" and re-read before writing again.
package kv
