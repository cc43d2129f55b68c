// Package etcdv3 implements kv.Client over the etcd v3 API's JSON mapping. The
// error code NotFound maps to kv.ErrLeaseNotFound. A transport error or any other
// error response maps to kv.ErrUnavailable: the caller cannot tell whether a
// write took effect and must read again.
package etcdv3
