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
	"github.com/lovageweir/lovageweir/upstream"
)

// maxResponseSize limits one response: the platform's values are at most 1 MiB,
// and a prefix read of several of them in base64 must fit.
const maxResponseSize = 64 << 20

// Client is a client of one endpoint of the service.
type Client struct {
	base string
	hc   *http.Client
	eras eras
}

var (
	_ kv.Client    = (*Client)(nil)
	_ kv.EraReader = (*Client)(nil)
)

// New returns a client for the service at baseURL (e.g.
// http://127.0.0.1:2379). hc must have no overall timeout, because watches are
// long-running; deadlines come from each call's context. If hc is nil, answers
// are checked and bounded.
func New(baseURL string, hc *http.Client) *Client {
	if hc == nil {
		hc = upstream.NewClient(http.DefaultTransport.(*http.Transport).Clone(), maxResponseSize)
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

func fromAPI(era kv.Era, v api.KeyValue) kv.KeyValue {
	return kv.KeyValue{
		Key: string(v.Key), Value: v.Value,
		CreateRevision: kv.RevisionIn(era, v.CreateRevision), ModRevision: kv.RevisionIn(era, v.ModRevision),
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
	for _, v := range r.Kvs {
		c.noteRecord(v)
	}
	era, err := c.eraOf(ctx, r.Header)
	if err != nil {
		return 0, nil, err
	}
	out := make([]kv.KeyValue, 0, len(r.Kvs))
	for _, v := range r.Kvs {
		out = append(out, fromAPI(era, v))
	}
	return kv.RevisionIn(era, r.Header.Revision), out, nil
}

// Put implements kv.KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease kv.LeaseID) (kv.Revision, error) {
	var r api.PutResponse
	if err := c.call(ctx, api.PathPut, api.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}, &r); err != nil {
		return 0, err
	}
	return c.revisionOf(ctx, r.Header)
}

// revisionOf returns the revision that a header tells.
func (c *Client) revisionOf(ctx context.Context, h api.Header) (kv.Revision, error) {
	era, err := c.eraOf(ctx, h)
	return kv.RevisionIn(era, h.Revision), err
}

// noteRecord notes the revision of the era's record, if a key is that.
func (c *Client) noteRecord(v api.KeyValue) {
	if string(v.Key) == EraKey {
		c.eras.noteRecord(v.ModRevision)
	}
}

// holds reports whether a condition on a revision may hold: one of an earlier era has been given out
// again, maybe to another write of the key.
func (c *Client) holds(expect kv.Revision) bool { return expect == 0 || expect.Era() == c.Era() }

// modRevisionEquals returns the condition that key's mod revision is rev.
func modRevisionEquals(key string, rev kv.Revision) []api.Compare {
	return []api.Compare{{Result: api.ResultEqual, Target: api.TargetMod, Key: []byte(key), ModRevision: rev.Number()}}
}

// checkEra returns an error if a write whose condition held was of another era than the condition.
func checkEra(expect, rev kv.Revision) error {
	if expect != 0 && expect.Era() != rev.Era() {
		return trace.Wrap(kv.ErrUnavailable, kv.ErrNewEra.Error())
	}
	return nil
}

// CompareAndPut implements kv.KV.
func (c *Client) CompareAndPut(ctx context.Context, key string, expect kv.Revision, value []byte, lease kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	req := api.TxnRequest{
		Compare: modRevisionEquals(key, expect),
		Success: []api.RequestOp{{Put: &api.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
		Failure: []api.RequestOp{{Range: &api.RangeRequest{Key: []byte(key)}}},
	}
	if !c.holds(expect) {
		_, kvs, err := c.Get(ctx, key, false)
		if err != nil || len(kvs) == 0 {
			return false, 0, nil, err
		}
		return false, 0, &kvs[0], nil
	}
	var r api.TxnResponse
	if err := c.call(ctx, api.PathTxn, req, &r); err != nil {
		return false, 0, nil, err
	}
	rev, err := c.revisionOf(ctx, r.Header)
	if err == nil && r.Succeeded {
		err = checkEra(expect, rev)
	}
	if err != nil {
		return false, 0, nil, err
	}
	if r.Succeeded || len(r.Responses) == 0 || r.Responses[0].Range == nil || len(r.Responses[0].Range.Kvs) == 0 {
		return r.Succeeded, rev, nil, nil
	}
	cur := fromAPI(rev.Era(), r.Responses[0].Range.Kvs[0])
	return false, rev, &cur, nil
}

// CompareAndDelete implements kv.KV.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expect kv.Revision) (bool, error) {
	req := api.TxnRequest{
		Compare: modRevisionEquals(key, expect),
		Success: []api.RequestOp{{Delete: &api.DeleteRangeRequest{Key: []byte(key)}}},
	}
	if !c.holds(expect) {
		return false, nil
	}
	var r api.TxnResponse
	if err := c.call(ctx, api.PathTxn, req, &r); err != nil {
		return false, err
	}
	rev, err := c.revisionOf(ctx, r.Header)
	if err == nil && r.Succeeded {
		err = checkEra(expect, rev)
	}
	return err == nil && r.Succeeded, err
}

// Delete implements kv.KV.
func (c *Client) Delete(ctx context.Context, key string, prefix bool) (kv.Revision, error) {
	var r api.DeleteRangeResponse
	if err := c.call(ctx, api.PathDeleteRange, api.DeleteRangeRequest{Key: []byte(key), RangeEnd: rangeEnd(key, prefix)}, &r); err != nil {
		return 0, err
	}
	return c.revisionOf(ctx, r.Header)
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
		Key: []byte(key), RangeEnd: rangeEnd(key, prefix), StartRevision: after.Number() + 1}})
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
		r := m.Result
		for _, e := range r.Events {
			c.noteRecord(e.KV)
		}
		era, err := c.eraOf(ctx, r.Header)
		if err != nil {
			return after, nil, ignoreWaitExpired(ctx, wctx, err)
		}
		switch {
		case after != 0 && era > after.Era():
			return after, nil, kv.ErrNewEra // a watch from a revision to come would wait for it
		case era < after.Era():
			return after, nil, trace.Wrap(kv.ErrUnavailable, "the service answers from an earlier era")
		case r.CompactRevision > 0:
			return after, nil, kv.ErrCompacted
		case r.Canceled:
			return after, nil, trace.Wrap(kv.ErrUnavailable, "watch canceled")
		case len(r.Events) > 0:
			return kv.RevisionIn(era, r.Header.Revision), fromEvents(era, r.Events), nil
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

func fromEvents(era kv.Era, in []api.Event) []kv.Event {
	out := make([]kv.Event, 0, len(in))
	for _, e := range in {
		t := kv.EventPut
		if e.Type == api.EventDelete {
			t = kv.EventDelete
		}
		out = append(out, kv.Event{Type: t, KV: fromAPI(era, e.KV)})
	}
	return out
}
