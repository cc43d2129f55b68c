package kvserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/etcdv3/api"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/standin/control"
)

// Faults are the injected faults. The zero value is a healthy service.
type Faults struct {
	// Down fails every call as unavailable.
	Down bool `json:"down"`
	// SlowMillis delays every call by this many milliseconds.
	SlowMillis int `json:"slow_ms"`
	// DropAcks applies writes and then responds with unavailable, as if the
	// response had been lost.
	DropAcks bool `json:"drop_acks"`
	// StallWatches accepts watches and delivers no events, like a connection
	// that has gone silent.
	StallWatches bool `json:"stall_watches"`
	// Compact discards the watch history once, at the time it is set.
	Compact bool `json:"compact"`
}

// Server serves a subset of the etcd v3 API over a memkv.Store.
type Server struct {
	store *memkv.Store

	mu     sync.Mutex
	faults Faults

	calls       atomic.Int64
	callsByPath sync.Map // string -> *atomic.Int64
}

// New returns a server over an empty store.
func New(clock clockwork.Clock) *Server {
	return &Server{store: memkv.New(clock)}
}

// Store exposes the underlying store for tests.
func (s *Server) Store() *memkv.Store { return s.store }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	if f.Compact {
		s.store.Compact()
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// errUnavailable is returned to clients while the Down fault is set.
var errUnavailable = errors.New("kv stand-in: unavailable")

// beginCall counts a call and applies the faults that precede its execution.
func (s *Server) beginCall(ctx context.Context, path string) (Faults, error) {
	s.calls.Add(1)
	count, _ := s.callsByPath.LoadOrStore(path, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	f := s.currentFaults()
	if f.SlowMillis > 0 {
		select {
		case <-time.After(time.Duration(f.SlowMillis) * time.Millisecond):
		case <-ctx.Done():
			return f, errUnavailable
		}
	}
	if f.Down {
		return f, errUnavailable
	}
	return f, nil
}

// handle registers a unary call: it decodes Req, runs the call and encodes the
// response. With DropAcks set, a write gets an error in place of its response.
func handle[Req any](s *Server, mux *http.ServeMux, path string, write bool, run func(context.Context, Req) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeError(w, http.StatusBadRequest, api.CodeInvalidArgument, err)
			return
		}
		f, err := s.beginCall(r.Context(), path)
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, api.CodeUnavailable, err)
			return
		}
		out, err := run(r.Context(), req)
		switch {
		case errors.Is(err, kv.ErrLeaseNotFound):
			writeError(w, http.StatusNotFound, api.CodeNotFound, err)
		case err != nil:
			writeError(w, http.StatusBadRequest, api.CodeInvalidArgument, err)
		case write && f.DropAcks:
			writeError(w, http.StatusServiceUnavailable, api.CodeUnavailable, errors.New("kv stand-in: answer lost"))
		default:
			control.WriteJSON(w, out)
		}
	})
}

func writeError(w http.ResponseWriter, status, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.Error{Message: err.Error(), Code: code})
}

// firstClusterID is the id of the cluster until it is restored.
const firstClusterID = 0x6c6f76616765

// header returns the header of a response at a revision. Each restore makes a new cluster.
func (s *Server) header(rev kv.Revision) api.Header {
	return api.Header{ClusterID: firstClusterID ^ uint64(s.store.Era())*0x9e3779b97f4a7c15, Revision: rev.Number()}
}

func (s *Server) rangeKeys(ctx context.Context, r api.RangeRequest) (*api.RangeResponse, error) {
	rev, kvs, err := s.store.Get(ctx, string(r.Key), len(r.RangeEnd) > 0)
	if err != nil {
		return nil, err
	}
	out := &api.RangeResponse{Header: s.header(rev), Count: int64(len(kvs))}
	for _, v := range kvs {
		if r.KeysOnly {
			v.Value = nil
		}
		out.Kvs = append(out.Kvs, toAPI(v))
	}
	return out, nil
}

func (s *Server) put(ctx context.Context, r api.PutRequest) (any, error) {
	rev, err := s.store.Put(ctx, string(r.Key), r.Value, kv.LeaseID(r.Lease))
	return api.PutResponse{Header: s.header(rev)}, err
}

func (s *Server) deleteRange(ctx context.Context, r api.DeleteRangeRequest) (any, error) {
	rev, err := s.store.Delete(ctx, string(r.Key), len(r.RangeEnd) > 0)
	return api.DeleteRangeResponse{Header: s.header(rev)}, err
}

// errUnsupportedTxn describes the only form of transaction that is supported.
var errUnsupportedTxn = errors.New("kv stand-in: only one MOD EQUAL compare with one put or delete on the same key is supported")

func (s *Server) txn(ctx context.Context, r api.TxnRequest) (any, error) {
	if len(r.Compare) != 1 || len(r.Success) != 1 || r.Compare[0].Target != api.TargetMod || r.Compare[0].Result != api.ResultEqual {
		return nil, errUnsupportedTxn
	}
	key, expect := string(r.Compare[0].Key), kv.RevisionIn(s.store.Era(), r.Compare[0].ModRevision)
	var ok bool
	var err error
	rev := s.store.Revision()
	switch op := r.Success[0]; {
	case op.Put != nil && string(op.Put.Key) == key:
		ok, rev, _, err = s.store.CompareAndPut(ctx, key, expect, op.Put.Value, kv.LeaseID(op.Put.Lease))
	case op.Delete != nil && string(op.Delete.Key) == key:
		ok, err = s.store.CompareAndDelete(ctx, key, expect)
	default:
		return nil, errUnsupportedTxn
	}
	if err != nil {
		return nil, err
	}
	out := api.TxnResponse{Header: s.header(rev), Succeeded: ok}
	if !ok && len(r.Failure) == 1 && r.Failure[0].Range != nil {
		got, err := s.rangeKeys(ctx, *r.Failure[0].Range)
		if err != nil {
			return nil, err
		}
		out.Responses = []api.ResponseOp{{Range: got}}
	}
	return out, nil
}

func (s *Server) grant(ctx context.Context, r api.LeaseGrantRequest) (any, error) {
	id, err := s.store.Grant(ctx, time.Duration(r.TTL)*time.Second)
	return api.LeaseGrantResponse{ID: int64(id), TTL: r.TTL}, err
}

func (s *Server) keepAlive(ctx context.Context, r api.LeaseID) (any, error) {
	ttl, err := s.store.KeepAlive(ctx, kv.LeaseID(r.ID))
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		return nil, err
	}
	// As in etcd, the response for an expired or revoked lease has TTL 0.
	return api.KeepAliveMessage{Result: api.KeepAliveResponse{ID: r.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (s *Server) revoke(ctx context.Context, r api.LeaseID) (any, error) {
	return struct{}{}, s.store.Revoke(ctx, kv.LeaseID(r.ID))
}

// futureWatchPoll is how often a watch from a revision to come looks whether it has come.
const futureWatchPoll = 20 * time.Millisecond

// maxWatchWait bounds one wait for events; a watch waits again afterwards.
const maxWatchWait = 60 * time.Second

// watch streams a created message and then events until the client disconnects
// or the start revision has been compacted.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req api.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, api.CodeInvalidArgument, err)
		return
	}
	f, err := s.beginCall(r.Context(), api.PathWatch)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, api.CodeUnavailable, err)
		return
	}
	send := func(m api.WatchResponse) {
		_ = json.NewEncoder(w).Encode(api.WatchMessage{Result: m})
		w.(http.Flusher).Flush()
	}
	w.Header().Set("Content-Type", "application/json")
	send(api.WatchResponse{Header: s.header(s.store.Revision()), Created: true})
	if f.StallWatches {
		<-r.Context().Done()
		return
	}
	after := kv.RevisionIn(s.store.Era(), req.Create.StartRevision-1)
	if req.Create.StartRevision == 0 {
		after = s.store.Revision()
	}
	for r.Context().Err() == nil {
		if after > s.store.Revision() { // as in etcd, a watch from a revision to come waits
			time.Sleep(futureWatchPoll)
			continue
		}
		rev, evs, err := s.store.WatchOnce(r.Context(), string(req.Create.Key), len(req.Create.RangeEnd) > 0, after, maxWatchWait)
		if errors.Is(err, kv.ErrCompacted) || errors.Is(err, kv.ErrNewEra) {
			send(api.WatchResponse{Header: s.header(rev), Canceled: true, CompactRevision: after.Number() + 1})
			return
		}
		if err != nil {
			return
		}
		if len(evs) > 0 {
			send(api.WatchResponse{Header: s.header(rev), Events: toEvents(evs)})
		}
		after = rev
	}
}

func toEvents(in []kv.Event) []api.Event {
	out := make([]api.Event, 0, len(in))
	for _, ev := range in {
		e := api.Event{KV: toAPI(ev.KV)}
		if ev.Type == kv.EventDelete {
			e.Type = api.EventDelete
		}
		out = append(out, e)
	}
	return out
}

func toAPI(v kv.KeyValue) api.KeyValue {
	return api.KeyValue{
		Key: []byte(v.Key), Value: v.Value,
		CreateRevision: v.CreateRevision.Number(), ModRevision: v.ModRevision.Number(),
		Version: v.Version, Lease: int64(v.Lease),
	}
}

// State is the state dump of a Server.
type State struct {
	Store       memkv.Stats      `json:"store"`
	Faults      Faults           `json:"faults"`
	Calls       int64            `json:"calls"`
	CallsByPath map[string]int64 `json:"calls_by_path"`
}

// State returns the current dump.
func (s *Server) State() State {
	st := State{Store: s.store.Stats(), Faults: s.currentFaults(), Calls: s.calls.Load(), CallsByPath: map[string]int64{}}
	s.callsByPath.Range(func(k, v any) bool {
		st.CallsByPath[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return st
}

// Handler serves the API, GET /debug/state and PUT /fault (Faults as JSON).
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(s, mux, api.PathRange, false, func(ctx context.Context, r api.RangeRequest) (any, error) { return s.rangeKeys(ctx, r) })
	handle(s, mux, api.PathPut, true, s.put)
	handle(s, mux, api.PathDeleteRange, true, s.deleteRange)
	handle(s, mux, api.PathTxn, true, s.txn)
	handle(s, mux, api.PathLeaseGrant, true, s.grant)
	handle(s, mux, api.PathKeepAlive, false, s.keepAlive)
	handle(s, mux, api.PathRevoke, true, s.revoke)
	mux.HandleFunc("POST "+api.PathWatch, s.watch)
	control.State(mux, func() any { return s.State() })
	control.Faults(mux, s.SetFaults)
	return mux
}
