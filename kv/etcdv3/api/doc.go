// Package api holds the messages of the etcd v3 API that lovageweir uses, in
// that API's JSON mapping (the one etcd's own HTTP gateway serves under
// /v3/): int64 fields are strings, bytes fields are base64, enums are names.
// The adapter (kv/etcdv3) and the stand-in (standin/kvserver) share them.
//
// The official client and its generated types are the first choice but the
// module proxy refuses them here; docs/DESIGN.md records that. The JSON
// mapping is part of the same public API, so the adapter meets a real
// service without them.
package api
