package etcdv3

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3/api"
)

// maxResponseSize limits one response: the platform's values are at most 1 MiB,
// and a prefix read of several of them in base64 must fit.
const maxResponseSize = 64 << 20

// Client is a client of one endpoint of the service.
type Client struct {
	base string
	hc   *http.Client
}

var _ kv.Client = (*Client)(nil)

// New returns a client for the service at baseURL (e.g.
// http://127.0.0.1:2379). hc must have no overall timeout, because watches are
// long-running; deadlines come from each call's context.
func New(baseURL string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{}
	}
	return &Client{base: baseURL, hc: hc}
}

// post sends one request and returns the response body if the status is 200.
func (c *Client) post(ctx context.Context, path string, req any) (io.ReadCloser, error) {
	b, err := json.Marshal(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	hreq.Header.Set("Content-Type", "application/json")
	resp, err := c.hc.Do(hreq)
	if err != nil {
		return nil, trace.Wrap(kv.ErrUnavailable, err.Error())
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	var e api.Error
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(&e)
	if e.Code == api.CodeNotFound {
		return nil, kv.ErrLeaseNotFound
	}
	return nil, trace.Wrap(kv.ErrUnavailable, "%s: %d %s", path, resp.StatusCode, e.Message)
}

// call sends one request and decodes a response of a single message into resp.
func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	body, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxResponseSize)).Decode(resp); err != nil {
		return trace.Wrap(kv.ErrUnavailable, err.Error())
	}
	return nil
}

func fromAPI(v api.KeyValue) kv.KeyValue {
	return kv.KeyValue{
		Key: string(v.Key), Value: v.Value,
		CreateRevision: kv.Revision(v.CreateRevision), ModRevision: kv.Revision(v.ModRevision),
		Version: v.Version, Lease: kv.LeaseID(v.Lease),
	}
}

func rangeEnd(key string, prefix bool) []byte {
	if !prefix {
		return nil
	}
	return api.PrefixEnd([]byte(key))
}

// Get implements kv.KV.
func (c *Client) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	return c.read(ctx, api.RangeRequest{Key: []byte(key), RangeEnd: rangeEnd(key, prefix)})
}

// List implements kv.KV.
func (c *Client) List(ctx context.Context, prefix string) (kv.Revision, []kv.KeyValue, error) {
	return c.read(ctx, api.RangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix, true), KeysOnly: true})
}

func (c *Client) read(ctx context.Context, req api.RangeRequest) (kv.Revision, []kv.KeyValue, error) {
	var r api.RangeResponse
	if err := c.call(ctx, api.PathRange, req, &r); err != nil {
		return 0, nil, err
	}
	out := make([]kv.KeyValue, 0, len(r.Kvs))
	for _, v := range r.Kvs {
		out = append(out, fromAPI(v))
	}
	return kv.Revision(r.Header.Revision), out, nil
}

// Put implements kv.KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	var r api.PutResponse
	err := c.call(ctx, api.PathPut, api.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}, &r)
	return kv.Revision(r.Header.Revision), err
}

// modRevisionEquals returns the condition that key's mod revision is rev.
func modRevisionEquals(key string, rev kv.Revision) []api.Compare {
	return []api.Compare{{Result: api.ResultEqual, Target: api.TargetMod, Key: []byte(key), ModRevision: int64(rev)}}
}

// CompareAndPut implements kv.KV.
func (c *Client) CompareAndPut(ctx context.Context, key string, expect kv.Revision, value []byte, lease kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	req := api.TxnRequest{
		Compare: modRevisionEquals(key, expect),
		Success: []api.RequestOp{{Put: &api.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
		Failure: []api.RequestOp{{Range: &api.RangeRequest{Key: []byte(key)}}},
	}
	var r api.TxnResponse
	if err := c.call(ctx, api.PathTxn, req, &r); err != nil {
		return false, 0, nil, err
	}
	rev := kv.Revision(r.Header.Revision)
	if r.Succeeded || len(r.Responses) == 0 || r.Responses[0].Range == nil || len(r.Responses[0].Range.Kvs) == 0 {
		return r.Succeeded, rev, nil, nil
	}
	cur := fromAPI(r.Responses[0].Range.Kvs[0])
	return false, rev, &cur, nil
}

// CompareAndDelete implements kv.KV.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expect kv.Revision) (bool, error) {
	req := api.TxnRequest{
		Compare: modRevisionEquals(key, expect),
		Success: []api.RequestOp{{Delete: &api.DeleteRangeRequest{Key: []byte(key)}}},
	}
	var r api.TxnResponse
	err := c.call(ctx, api.PathTxn, req, &r)
	return r.Succeeded, err
}

// Delete implements kv.KV.
func (c *Client) Delete(ctx context.Context, key string, prefix bool) (kv.Revision, error) {
	var r api.DeleteRangeResponse
	err := c.call(ctx, api.PathDeleteRange, api.DeleteRangeRequest{Key: []byte(key), RangeEnd: rangeEnd(key, prefix)}, &r)
	return kv.Revision(r.Header.Revision), err
}

// Grant implements kv.Lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var r api.LeaseGrantResponse
	err := c.call(ctx, api.PathLeaseGrant, api.LeaseGrantRequest{TTL: int64(ttl / time.Second)}, &r)
	return kv.LeaseID(r.ID), err
}

// KeepAlive implements kv.Lease.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	var r api.KeepAliveMessage
	if err := c.call(ctx, api.PathKeepAlive, api.LeaseID{ID: int64(id)}, &r); err != nil {
		return 0, err
	}
	if r.Result.TTL <= 0 {
		return 0, kv.ErrLeaseNotFound
	}
	return time.Duration(r.Result.TTL) * time.Second, nil
}

// Revoke implements kv.Lease.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	var r struct{}
	return c.call(ctx, api.PathRevoke, api.LeaseID{ID: int64(id)}, &r)
}

// WatchOnce implements kv.Watcher: it opens a watch, waits for its first
// events and closes it. If none arrives within wait it returns after unchanged,
// never a newer revision of the service: a watch on a stalled connection has
// delivered nothing, so no change may be skipped.
func (c *Client) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	wctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, err := c.post(wctx, api.PathWatch, api.WatchRequest{Create: api.WatchCreate{
		Key: []byte(key), RangeEnd: rangeEnd(key, prefix), StartRevision: int64(after) + 1}})
	if err != nil {
		return after, nil, ignoreWaitExpired(ctx, wctx, err)
	}
	defer body.Close()
	dec := json.NewDecoder(body)
	for {
		var m api.WatchMessage
		if err := dec.Decode(&m); err != nil {
			return after, nil, ignoreWaitExpired(ctx, wctx, trace.Wrap(kv.ErrUnavailable, err.Error()))
		}
		switch r := m.Result; {
		case r.CompactRevision > 0:
			return after, nil, kv.ErrCompacted
		case r.Canceled:
			return after, nil, trace.Wrap(kv.ErrUnavailable, "watch canceled")
		case len(r.Events) > 0:
			return kv.Revision(r.Header.Revision), fromEvents(r.Events), nil
		}
	}
}

// ignoreWaitExpired returns nil instead of err if the watch ended because its
// wait expired.
func ignoreWaitExpired(ctx, wctx context.Context, err error) error {
	if ctx.Err() == nil && errors.Is(wctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return err
}

func fromEvents(in []api.Event) []kv.Event {
	out := make([]kv.Event, 0, len(in))
	for _, e := range in {
		t := kv.EventPut
		if e.Type == api.EventDelete {
			t = kv.EventDelete
		}
		out = append(out, kv.Event{Type: t, KV: fromAPI(e.KV)})
	}
	return out
}
