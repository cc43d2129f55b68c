package configwatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/route"
)

// watchWait is how long one long-poll waits. Each waiting watch counts as
// one KV call, so this sets the idle call rate: 1/watchWait per entry.
const watchWait = 10 * time.Second

// Watcher owns the table in force.
type Watcher struct {
	kv  kv.Client
	log *slog.Logger

	current  atomic.Pointer[route.Table]
	raw      atomic.Pointer[[]byte]
	rejected atomic.Int64
	kvErrors atomic.Int64
	lastOK   atomic.Int64 // unix nanos of the last successful KV answer
}

// New returns a watcher with no table in force.
func New(c kv.Client, log *slog.Logger) *Watcher {
	return &Watcher{kv: c, log: log}
}

// Table returns the table in force, or nil before the first configuration.
func (w *Watcher) Table() *route.Table { return w.current.Load() }

// Raw returns the stored bytes of the configuration in force.
func (w *Watcher) Raw() (kv.Revision, []byte) {
	t, b := w.current.Load(), w.raw.Load()
	if t == nil || b == nil {
		return 0, nil
	}
	return t.Revision, *b
}

// Offer considers a stored configuration seen at rev, from the KV or from a
// peer. It is swapped in only when newer than the table in force and valid;
// it returns whether it was taken.
func (w *Watcher) Offer(rev kv.Revision, value []byte) bool {
	cur := w.current.Load()
	if cur != nil && rev <= cur.Revision {
		return false
	}
	env, err := config.Unmarshal(value)
	if err != nil {
		w.rejected.Add(1)
		w.log.Warn("config: stored value does not decode; keeping the one in force.", "revision", rev, "error", err)
		return false
	}
	if fs := config.Validate(&env.Document); len(fs) > 0 {
		w.rejected.Add(1)
		w.log.Warn("config: stored value fails validation; keeping the one in force.", "revision", rev, "findings", len(fs))
		return false
	}
	t := route.NewTable(rev, &env.Document)
	for {
		cur = w.current.Load()
		if cur != nil && rev <= cur.Revision {
			return false
		}
		if w.current.CompareAndSwap(cur, t) {
			v := append([]byte(nil), value...)
			w.raw.Store(&v)
			w.log.Info("config: new revision in force.", "revision", rev, "apply_id", env.ApplyID)
			return true
		}
	}
}

// Run reads and watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 100 * time.Millisecond
	bo.MaxInterval = 5 * time.Second
	after := kv.Revision(0)
	synced := false
	for ctx.Err() == nil {
		var err error
		if !synced {
			after, err = w.readOnce(ctx)
			synced = err == nil
		} else {
			after, err = w.watchOnce(ctx, after)
			synced = err == nil
		}
		if errors.Is(err, kv.ErrCompacted) {
			continue // the history is gone: read again at once
		}
		if err != nil {
			w.kvErrors.Add(1)
			wait := bo.NextBackOff()
			w.log.Warn("config: KV call failed; keeping the configuration in force.", "error", err, "retry_in", wait)
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			continue
		}
		bo.Reset()
		w.lastOK.Store(time.Now().UnixNano())
	}
}

func (w *Watcher) readOnce(ctx context.Context) (kv.Revision, error) {
	rctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	rev, kvs, err := w.kv.Get(rctx, config.Key, false)
	if err != nil {
		return 0, err
	}
	for _, v := range kvs {
		w.Offer(v.ModRevision, v.Value)
	}
	return rev, nil
}

func (w *Watcher) watchOnce(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	wctx, cancel := context.WithTimeout(ctx, watchWait+5*time.Second)
	defer cancel()
	rev, evs, err := w.kv.WatchOnce(wctx, config.Key, false, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, ev := range evs {
		if ev.Type == kv.EventPut {
			w.Offer(ev.KV.ModRevision, ev.KV.Value)
		}
		if ev.KV.ModRevision > after {
			after = ev.KV.ModRevision
		}
	}
	if rev > after {
		after = rev
	}
	return after, nil
}

// State is the watcher's part of the state dump.
type State struct {
	Revision   kv.Revision `json:"revision"`
	Rejected   int64       `json:"rejected"`
	KVErrors   int64       `json:"kv_errors"`
	LastKVOKAt time.Time   `json:"last_kv_ok_at"`
}

// State returns the current dump.
func (w *Watcher) State() State {
	st := State{Rejected: w.rejected.Load(), KVErrors: w.kvErrors.Load()}
	if t := w.current.Load(); t != nil {
		st.Revision = t.Revision
	}
	if n := w.lastOK.Load(); n > 0 {
		st.LastKVOKAt = time.Unix(0, n).UTC()
	}
	return st
}
