package configwatch

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/route"
)

// Bounds of the watch.
const (
	// watchWait is how long one watch waits before the key is read instead.
	// A watch whose connection went silent looks just like a quiet one, so
	// without the read an entry could miss a change for good; with it, the
	// change is late by at most this long.
	watchWait = 5 * time.Second
	// readWait bounds one read.
	readWait = 3 * time.Second
	// idleCheck is how often an entry that does not watch looks whether it
	// should (a holder of its domain died).
	idleCheck = time.Second
	// FreshFor is how old an entry's knowledge of being current may be
	// before a request makes it ask again (Refresh): the time within which
	// the users want a change in force. It covers one watchWait and the
	// gossip rounds that carry its answer.
	FreshFor = 11 * time.Second
	// refreshWait bounds what that asking may cost the request.
	refreshWait = 300 * time.Millisecond
	// refreshEvery limits it during an outage to one request in this time.
	refreshEvery = time.Second
)

// Watcher owns the table in force.
type Watcher struct {
	kv    kv.Client
	clock clockwork.Clock
	log   *slog.Logger
	holds func() bool      // whether this entry should watch the KV itself
	news  func()           // called after a new revision came into force
	other func(key string) // called for other live keys that exist

	current  atomic.Pointer[inForce]
	rejected atomic.Int64
	kvErrors atomic.Int64
	watching atomic.Bool

	// offering lets one revision be decoded at a time: several peers tell of
	// a change at once, and each decoding costs ten times the stored bytes in
	// garbage.
	offering sync.Mutex

	mu          sync.Mutex // guards the two times; never held across a call
	freshAt     time.Time  // when the table in force was last known current
	refreshedAt time.Time  // when Refresh last asked
}

// inForce is one configuration revision, compiled, as stored and as JSON.
type inForce struct {
	table  *route.Table
	stored []byte
	plain  []byte
	before []old // the revisions before it, newest first, for deltas
}

// old is the JSON of a revision no longer in force.
type old struct {
	rev   kv.Revision
	plain []byte
}

// keepOld is how many old revisions deltas are made from: peers are rarely
// further behind, and each costs the size of the JSON.
const keepOld = 2

// Option changes a new Watcher.
type Option func(*Watcher)

// HoldsWhen makes the watcher watch the KV only while holds reports true;
// it then learns from peers (Offer).
func HoldsWhen(holds func() bool) Option { return func(w *Watcher) { w.holds = holds } }

// New returns a watcher with no table in force, which watches the KV always
// unless HoldsWhen says otherwise.
func New(c kv.Client, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Watcher {
	w := &Watcher{kv: c, clock: clock, log: log, holds: func() bool { return true }, news: func() {}, other: func(string) {}}
	for _, o := range opts {
		o(w)
	}
	return w
}

// OnKey sets what takes the other keys under config.LivePrefix, which share
// the watch; it must be set before Run.
func (w *Watcher) OnKey(f func(key string)) { w.other = f }

// OnNews sets what to call after a new revision came into force; it must be
// set before Run.
func (w *Watcher) OnNews(f func()) { w.news = f }

// Table returns the table in force, or nil before the first configuration.
func (w *Watcher) Table() *route.Table {
	if c := w.current.Load(); c != nil {
		return c.table
	}
	return nil
}

// Revision is the revision in force, 0 before the first.
func (w *Watcher) Revision() kv.Revision {
	if c := w.current.Load(); c != nil {
		return c.table.Revision
	}
	return 0
}

// Since returns what an entry that has revision have needs to come up to the
// one in force: a delta if have is among the last few, else the stored
// bytes. It is empty when nothing newer is in force.
func (w *Watcher) Since(have kv.Revision) (rev kv.Revision, delta, stored []byte) {
	c := w.current.Load()
	if c == nil || have >= c.table.Revision {
		return have, nil, nil
	}
	for _, o := range c.before {
		if o.rev != have {
			continue
		}
		if d, err := config.Delta(o.plain, c.plain); err == nil && len(d) < len(c.stored) {
			return c.table.Revision, d, nil
		}
	}
	return c.table.Revision, nil, c.stored
}

// OfferDelta considers a delta to revision rev made from revision from.
func (w *Watcher) OfferDelta(from, rev kv.Revision, delta []byte) bool {
	c := w.current.Load()
	if c == nil || c.table.Revision != from {
		return false
	}
	plain, err := config.Patch(c.plain, delta)
	if err != nil {
		w.log.Warn("config: a peer's delta does not apply.", "from", from, "to", rev, "error", err)
		return false
	}
	return w.Offer(rev, plain)
}

// Offer considers a stored configuration seen at rev, from the KV or from a
// peer. It is swapped in only when newer than the table in force and valid;
// it returns whether it was taken.
func (w *Watcher) Offer(rev kv.Revision, value []byte) bool {
	w.offering.Lock()
	defer w.offering.Unlock()
	if rev <= w.Revision() {
		return false
	}
	plain, err := config.Plain(value)
	var env config.Envelope
	if err == nil {
		env, err = config.Unmarshal(plain)
	}
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
	next := &inForce{table: route.NewTable(rev, &env.Document), stored: slices.Clone(value), plain: slices.Clone(plain)}
	if c := w.current.Load(); c != nil {
		next.before = append([]old{{c.table.Revision, c.plain}}, c.before[:min(len(c.before), keepOld-1)]...)
	}
	w.current.Store(next)
	w.log.Info("config: new revision in force.", "revision", rev, "apply_id", env.ApplyID)
	w.news()
	return true
}

// Run keeps the table current until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 100 * time.Millisecond
	bo.MaxInterval = 5 * time.Second
	after, err := w.read(ctx, readWait)
	synced := true // whether a watch from after on misses nothing
	for ctx.Err() == nil {
		switch {
		case errors.Is(err, kv.ErrCompacted): // the history is gone: read
			after, err = w.read(ctx, readWait)
		case err != nil:
			w.kvErrors.Add(1)
			wait := bo.NextBackOff()
			w.log.Warn("config: KV call failed; keeping the configuration in force.", "error", err, "retry_in", wait)
			w.sleep(ctx, wait)
			after, err = w.read(ctx, readWait)
		case !w.holds():
			w.watching.Store(false)
			synced = false
			w.sleep(ctx, idleCheck)
		case !synced: // took over the watch: what was missed comes first
			after, err = w.read(ctx, readWait)
			synced = true
		default:
			bo.Reset()
			after, err = w.watchThenRead(ctx, after)
		}
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	t := w.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// read offers the stored configuration and returns the store's revision. It
// asks for the revisions first: the value is a hundred kilobytes at the
// target size, and most reads find nothing new.
func (w *Watcher) read(ctx context.Context, wait time.Duration) (kv.Revision, error) {
	asked := w.clock.Now()
	rctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rev, keys, err := w.kv.List(rctx, config.LivePrefix)
	if err != nil {
		return 0, err
	}
	for _, k := range keys {
		if k.Key != config.Key {
			w.other(k.Key)
			continue
		}
		if k.ModRevision <= w.Revision() {
			continue
		}
		if _, kvs, err := w.kv.Get(rctx, config.Key, false); err != nil {
			return 0, err
		} else if len(kvs) == 1 {
			w.Offer(kvs[0].ModRevision, kvs[0].Value)
		}
	}
	w.confirm(asked)
	return rev, nil
}

// watchThenRead waits for one change; when none comes it reads, since the
// watch may have gone silent.
func (w *Watcher) watchThenRead(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	w.watching.Store(true)
	asked := w.clock.Now()
	wctx, cancel := context.WithTimeout(ctx, watchWait+readWait)
	defer cancel()
	rev, evs, err := w.kv.WatchOnce(wctx, config.LivePrefix, true, after, watchWait)
	if err != nil {
		return after, err
	}
	if len(evs) == 0 {
		return w.read(ctx, readWait)
	}
	for _, ev := range evs {
		if ev.Type == kv.EventPut {
			w.take(ev.KV)
		}
	}
	// Not the time now: the event may have lain in a socket while this
	// process was paused.
	w.confirm(asked)
	return max(rev, after), nil
}

func (w *Watcher) take(v kv.KeyValue) {
	if v.Key == config.Key {
		w.Offer(v.ModRevision, v.Value)
		return
	}
	w.other(v.Key)
}

// confirm notes that the table in force was current at t.
func (w *Watcher) confirm(t time.Time) {
	w.mu.Lock()
	if t.After(w.freshAt) {
		w.freshAt = t
	}
	w.mu.Unlock()
}

// Age is how long ago the table in force was last known to be current;
// ok is false when it never was.
func (w *Watcher) Age() (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freshAt.IsZero() {
		return 0, false
	}
	return w.clock.Now().Sub(w.freshAt), true
}

// Refresh is called before each decision. An entry that was paused and
// resumes still holds the table of before, and would send new work to a
// version withdrawn meanwhile until its watch catches up; so when its
// knowledge is older than FreshFor it reads first, for refreshWait at most.
// When the KV does not answer it goes on with what it has: a failure domain
// that is cut off keeps serving.
func (w *Watcher) Refresh(ctx context.Context) {
	now := w.clock.Now()
	w.mu.Lock()
	due := now.Sub(w.freshAt) > FreshFor && now.Sub(w.refreshedAt) >= refreshEvery
	if due {
		w.refreshedAt = now
	}
	w.mu.Unlock()
	if !due {
		return
	}
	if _, err := w.read(ctx, refreshWait); err != nil {
		w.kvErrors.Add(1)
	}
}

// State is the watcher's part of the state dump.
type State struct {
	Revision   kv.Revision `json:"revision"`
	Watching   bool        `json:"watching"`
	AgeSeconds float64     `json:"age_seconds"`
	Rejected   int64       `json:"rejected"`
	KVErrors   int64       `json:"kv_errors"`
}

// State returns the current dump; AgeSeconds is -1 when the table was never
// known to be current.
func (w *Watcher) State() State {
	st := State{Revision: w.Revision(), Watching: w.watching.Load(), Rejected: w.rejected.Load(), KVErrors: w.kvErrors.Load(), AgeSeconds: -1}
	if age, ok := w.Age(); ok {
		st.AgeSeconds = age.Seconds()
	}
	return st
}
