package kvserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/rpc/kvpb"
)

// Faults are the switches of the stand-in. The zero value is a healthy
// service.
type Faults struct {
	// Down refuses every call with twirp.Unavailable.
	Down bool `json:"down"`
	// SlowMillis delays every call by this many milliseconds.
	SlowMillis int `json:"slow_ms"`
	// DropAcks applies writes and then answers Unavailable, as when the
	// answer is lost on the way back.
	DropAcks bool `json:"drop_acks"`
	// StallWatches makes watches wait out their timeout and return nothing,
	// as a connection that went silent would.
	StallWatches bool `json:"stall_watches"`
}

// Server serves kvpb.KV over a store.
type Server struct {
	store *memkv.Store

	mu     sync.Mutex
	faults Faults

	calls atomic.Int64
	byRPC sync.Map // string -> *atomic.Int64
}

// New returns a server over an empty store.
func New(clock clockwork.Clock) *Server {
	return &Server{store: memkv.New(clock)}
}

// Store exposes the underlying store for tests.
func (s *Server) Store() *memkv.Store { return s.store }

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) enter(ctx context.Context, rpc string) (Faults, error) {
	s.calls.Add(1)
	c, _ := s.byRPC.LoadOrStore(rpc, new(atomic.Int64))
	c.(*atomic.Int64).Add(1)
	f := s.currentFaults()
	if f.SlowMillis > 0 {
		select {
		case <-time.After(time.Duration(f.SlowMillis) * time.Millisecond):
		case <-ctx.Done():
			return f, twirp.NewError(twirp.DeadlineExceeded, "kv stand-in: slow")
		}
	}
	if f.Down {
		return f, twirp.NewError(twirp.Unavailable, "kv stand-in: down")
	}
	return f, nil
}

func lostAck(f Faults) error {
	if f.DropAcks {
		return twirp.NewError(twirp.Unavailable, "kv stand-in: answer lost")
	}
	return nil
}

// Range implements kvpb.KV.
func (s *Server) Range(ctx context.Context, r *kvpb.RangeRequest) (*kvpb.RangeResponse, error) {
	if _, err := s.enter(ctx, "Range"); err != nil {
		return nil, err
	}
	rev, kvs, _ := s.store.Get(ctx, r.Key, r.Prefix)
	out := &kvpb.RangeResponse{Revision: int64(rev)}
	for _, v := range kvs {
		out.Kvs = append(out.Kvs, toPB(v))
	}
	return out, nil
}

// Put implements kvpb.KV.
func (s *Server) Put(ctx context.Context, r *kvpb.PutRequest) (*kvpb.PutResponse, error) {
	f, err := s.enter(ctx, "Put")
	if err != nil {
		return nil, err
	}
	out := &kvpb.PutResponse{}
	if r.Compare {
		ok, rev, cur, err := s.store.CompareAndPut(ctx, r.Key, kv.Revision(r.ExpectModRevision), r.Value, kv.LeaseID(r.Lease))
		if err != nil {
			return nil, toTwirp(err)
		}
		out.Revision, out.Succeeded = int64(rev), ok
		if cur != nil {
			out.Current = toPB(*cur)
		}
	} else {
		rev, err := s.store.Put(ctx, r.Key, r.Value, kv.LeaseID(r.Lease))
		if err != nil {
			return nil, toTwirp(err)
		}
		out.Revision, out.Succeeded = int64(rev), true
	}
	if err := lostAck(f); err != nil {
		return nil, err
	}
	return out, nil
}

// Delete implements kvpb.KV.
func (s *Server) Delete(ctx context.Context, r *kvpb.DeleteRequest) (*kvpb.DeleteResponse, error) {
	f, err := s.enter(ctx, "Delete")
	if err != nil {
		return nil, err
	}
	rev, _ := s.store.Delete(ctx, r.Key, r.Prefix)
	if err := lostAck(f); err != nil {
		return nil, err
	}
	return &kvpb.DeleteResponse{Revision: int64(rev)}, nil
}

// maxWatchWait caps one long-poll so a stalled client frees its slot.
const maxWatchWait = 30 * time.Second

// Watch implements kvpb.KV.
func (s *Server) Watch(ctx context.Context, r *kvpb.WatchRequest) (*kvpb.WatchResponse, error) {
	f, err := s.enter(ctx, "Watch")
	if err != nil {
		return nil, err
	}
	wait := time.Duration(r.TimeoutMs) * time.Millisecond
	if wait <= 0 || wait > maxWatchWait {
		wait = maxWatchWait
	}
	if f.StallWatches {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return &kvpb.WatchResponse{Revision: r.AfterRevision}, nil
	}
	rev, evs, err := s.store.WatchOnce(ctx, r.Key, r.Prefix, kv.Revision(r.AfterRevision), wait)
	if err != nil {
		return nil, twirp.NewError(twirp.Canceled, err.Error())
	}
	out := &kvpb.WatchResponse{Revision: int64(rev)}
	for _, ev := range evs {
		out.Events = append(out.Events, &kvpb.Event{Type: kvpb.Event_Type(ev.Type), Kv: toPB(ev.KV)})
	}
	return out, nil
}

// LeaseGrant implements kvpb.KV.
func (s *Server) LeaseGrant(ctx context.Context, r *kvpb.LeaseGrantRequest) (*kvpb.LeaseGrantResponse, error) {
	f, err := s.enter(ctx, "LeaseGrant")
	if err != nil {
		return nil, err
	}
	id, _ := s.store.Grant(ctx, time.Duration(r.TtlSeconds)*time.Second)
	if err := lostAck(f); err != nil {
		return nil, err
	}
	return &kvpb.LeaseGrantResponse{Id: int64(id), TtlSeconds: r.TtlSeconds}, nil
}

// LeaseKeepAlive implements kvpb.KV.
func (s *Server) LeaseKeepAlive(ctx context.Context, r *kvpb.LeaseKeepAliveRequest) (*kvpb.LeaseKeepAliveResponse, error) {
	if _, err := s.enter(ctx, "LeaseKeepAlive"); err != nil {
		return nil, err
	}
	ttl, err := s.store.KeepAlive(ctx, kv.LeaseID(r.Id))
	if err != nil {
		return nil, toTwirp(err)
	}
	return &kvpb.LeaseKeepAliveResponse{Id: r.Id, TtlSeconds: int64(ttl / time.Second)}, nil
}

// LeaseRevoke implements kvpb.KV.
func (s *Server) LeaseRevoke(ctx context.Context, r *kvpb.LeaseRevokeRequest) (*kvpb.LeaseRevokeResponse, error) {
	if _, err := s.enter(ctx, "LeaseRevoke"); err != nil {
		return nil, err
	}
	if err := s.store.Revoke(ctx, kv.LeaseID(r.Id)); err != nil {
		return nil, toTwirp(err)
	}
	return &kvpb.LeaseRevokeResponse{}, nil
}

func toTwirp(err error) error {
	if err == kv.ErrLeaseNotFound {
		return twirp.NewError(twirp.NotFound, err.Error())
	}
	return twirp.InternalErrorWith(err)
}

func toPB(v kv.KeyValue) *kvpb.KeyValue {
	return &kvpb.KeyValue{
		Key: v.Key, Value: v.Value,
		CreateRevision: int64(v.CreateRevision), ModRevision: int64(v.ModRevision),
		Version: v.Version, Lease: int64(v.Lease),
	}
}

// State is the stand-in's state dump.
type State struct {
	Store  memkv.Stats      `json:"store"`
	Faults Faults           `json:"faults"`
	Calls  int64            `json:"calls"`
	ByRPC  map[string]int64 `json:"calls_by_rpc"`
}

// State returns the current dump.
func (s *Server) State() State {
	st := State{Store: s.store.Stats(), Faults: s.currentFaults(), Calls: s.calls.Load(), ByRPC: map[string]int64{}}
	s.byRPC.Range(func(k, v any) bool {
		st.ByRPC[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return st
}

// Handler serves the twirp API plus /debug/state (GET) and /fault (PUT,
// a JSON Faults body).
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	tw := kvpb.NewKVServer(s)
	mux.Handle(tw.PathPrefix(), tw)
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.State())
	})
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
