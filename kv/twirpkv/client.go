// Package twirpkv is a kv.Client over the stand-in's twirp API. Transport
// errors and twirp Unavailable map to kv.ErrUnavailable: the caller cannot
// tell whether a write took effect and must re-read.
package twirpkv

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/rpc/kvpb"
)

// Client talks to one KV stand-in.
type Client struct {
	rpc kvpb.KV
}

var _ kv.Client = (*Client)(nil)

// New returns a client for the server at baseURL (e.g. http://127.0.0.1:2379).
// The HTTP client should have no overall timeout: watches wait; per-call
// deadlines come from the context.
func New(baseURL string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{}
	}
	return &Client{rpc: kvpb.NewKVProtobufClient(baseURL, hc)}
}

func convert(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) {
		switch te.Code() {
		case twirp.NotFound:
			return kv.ErrLeaseNotFound
		case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal:
			return trace.Wrap(kv.ErrUnavailable, te.Msg())
		}
	}
	return trace.Wrap(kv.ErrUnavailable, err.Error())
}

func fromPB(v *kvpb.KeyValue) kv.KeyValue {
	return kv.KeyValue{
		Key: v.Key, Value: v.Value,
		CreateRevision: kv.Revision(v.CreateRevision), ModRevision: kv.Revision(v.ModRevision),
		Version: v.Version, Lease: kv.LeaseID(v.Lease),
	}
}

// Get implements kv.KV.
func (c *Client) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	r, err := c.rpc.Range(ctx, &kvpb.RangeRequest{Key: key, Prefix: prefix})
	if err != nil {
		return 0, nil, convert(err)
	}
	out := make([]kv.KeyValue, 0, len(r.Kvs))
	for _, v := range r.Kvs {
		out = append(out, fromPB(v))
	}
	return kv.Revision(r.Revision), out, nil
}

// Put implements kv.KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	r, err := c.rpc.Put(ctx, &kvpb.PutRequest{Key: key, Value: value, Lease: int64(lease)})
	if err != nil {
		return 0, convert(err)
	}
	return kv.Revision(r.Revision), nil
}

// CompareAndPut implements kv.KV.
func (c *Client) CompareAndPut(ctx context.Context, key string, expect kv.Revision, value []byte, lease kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	r, err := c.rpc.Put(ctx, &kvpb.PutRequest{Key: key, Value: value, Lease: int64(lease), Compare: true, ExpectModRevision: int64(expect)})
	if err != nil {
		return false, 0, nil, convert(err)
	}
	var cur *kv.KeyValue
	if r.Current != nil {
		v := fromPB(r.Current)
		cur = &v
	}
	return r.Succeeded, kv.Revision(r.Revision), cur, nil
}

// Delete implements kv.KV.
func (c *Client) Delete(ctx context.Context, key string, prefix bool) (kv.Revision, error) {
	r, err := c.rpc.Delete(ctx, &kvpb.DeleteRequest{Key: key, Prefix: prefix})
	if err != nil {
		return 0, convert(err)
	}
	return kv.Revision(r.Revision), nil
}

// Grant implements kv.Lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	r, err := c.rpc.LeaseGrant(ctx, &kvpb.LeaseGrantRequest{TtlSeconds: int64(ttl / time.Second)})
	if err != nil {
		return 0, convert(err)
	}
	return kv.LeaseID(r.Id), nil
}

// KeepAlive implements kv.Lease.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	r, err := c.rpc.LeaseKeepAlive(ctx, &kvpb.LeaseKeepAliveRequest{Id: int64(id)})
	if err != nil {
		return 0, convert(err)
	}
	return time.Duration(r.TtlSeconds) * time.Second, nil
}

// Revoke implements kv.Lease.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := c.rpc.LeaseRevoke(ctx, &kvpb.LeaseRevokeRequest{Id: int64(id)})
	return convert(err)
}

// WatchOnce implements kv.Watcher.
func (c *Client) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	r, err := c.rpc.Watch(ctx, &kvpb.WatchRequest{Key: key, Prefix: prefix, AfterRevision: int64(after), TimeoutMs: int32(wait / time.Millisecond)})
	if err != nil {
		return 0, nil, convert(err)
	}
	evs := make([]kv.Event, 0, len(r.Events))
	for _, e := range r.Events {
		evs = append(evs, kv.Event{Type: kv.EventType(e.Type), KV: fromPB(e.Kv)})
	}
	return kv.Revision(r.Revision), evs, nil
}
