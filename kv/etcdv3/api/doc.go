// Package api defines the messages of the etcd v3 API that lovageweir uses, in
// that API's JSON mapping (the one etcd's own HTTP gateway serves under
// /v3/): int64 fields are strings, bytes fields are base64, enums are names.
// The client (kv/etcdv3) and the stand-in (standin/kvserver) share them.
//
// The official client and its generated types would be preferred, but the
// module proxy refuses them here (see docs/DESIGN.md). The JSON
// mapping is part of the same public API, so the client works with a real
// service without them.
package api
