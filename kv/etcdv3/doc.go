// Package etcdv3 is a kv.Client over the etcd v3 API's JSON mapping. A
// transport error, or an answer that says the service is unavailable, maps
// to kv.ErrUnavailable: the caller cannot tell whether a write took effect
// and must re-read.
package etcdv3
