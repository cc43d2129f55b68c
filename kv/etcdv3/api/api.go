package api

// Paths of the calls, relative to the service's base URL.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathWatch       = "/v3/watch"
	PathLeaseGrant  = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
)

// Header is part of every response; Revision is the store's revision at that
// time. ClusterID is another one after a restore from a snapshot.
type Header struct {
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	Revision  int64  `json:"revision,string,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads Key, or [Key, RangeEnd) when RangeEnd is set; KeysOnly
// omits the values.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse is the response to PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest removes Key, or [Key, RangeEnd).
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Compare targets and results used here.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is one condition of a transaction: Key's mod revision equals
// ModRevision (0: the key is absent).
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range  *RangeResponse       `json:"response_range,omitempty"`
	Put    *PutResponse         `json:"response_put,omitempty"`
	Delete *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success when every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate watches Key (or a range) from StartRevision on.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the type of a deletion; a write has an empty type or "PUT".
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch. If the history from StartRevision on
// has been compacted, CompactRevision is set and the watch is canceled.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchMessage wraps a WatchResponse, as the JSON mapping does for streams.
type WatchMessage struct {
	Result WatchResponse `json:"result"`
}

// LeaseGrantRequest requests a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse is the response to LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

// LeaseID identifies a lease to renew or revoke.
type LeaseID struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is the response to a renewal; TTL 0 means that the lease has
// expired or does not exist.
type KeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveMessage wraps a KeepAliveResponse, as the JSON mapping does for
// streams.
type KeepAliveMessage struct {
	Result KeepAliveResponse `json:"result"`
}

// Codes of Error, a subset of the gRPC status codes.
const (
	CodeInvalidArgument  = 3
	CodeDeadlineExceeded = 4
	CodeNotFound         = 5
	CodeUnavailable      = 14
)

// Error is the body of a response with a status other than 200.
type Error struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the end of the range [p, end) that contains every key with
// prefix p.
func PrefixEnd(p []byte) []byte {
	end := append([]byte(nil), p...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
