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
	// watchTimeout is how long one watch waits before the key is read instead.
	// A watch on a stalled connection cannot be distinguished from one without
	// changes, so without the read an entry could miss a change permanently.
	// The read limits the delay to this time.
	watchTimeout = 5 * time.Second
	// readTimeout bounds one read.
	readTimeout = 3 * time.Second
	// standbyCheckInterval is how often an entry that does not watch checks
	// whether it should, because a watching entry of its domain died.
	standbyCheckInterval = time.Second
	// MaxStaleness is the time since the table was last confirmed to be current
	// after which a request triggers a read (Refresh): the time within which
	// users want a change to take effect. It covers one watchTimeout and the
	// gossip rounds that propagate the result.
	MaxStaleness = 11 * time.Second
	// refreshTimeout bounds how long that read may delay the request.
	refreshTimeout = 300 * time.Millisecond
	// refreshInterval limits these reads during an outage of the KV to one per
	// interval, so that not every request is delayed.
	refreshInterval = time.Second
)

// Watcher owns the current route.Table.
type Watcher struct {
	kv          kv.Client
	clock       clockwork.Clock
	log         *slog.Logger
	shouldWatch func() bool      // whether this entry should watch the KV itself
	onChange    func()           // called after a new revision took effect
	onKey       func(key string) // called for each other live key that is read or written

	current  atomic.Pointer[snapshot]
	rejected atomic.Int64
	kvErrors atomic.Int64
	watching atomic.Bool

	// offerMu serializes decoding: several peers announce a change at once, and
	// each decoding allocates ten times the stored size in garbage.
	offerMu sync.Mutex
	// applied are the apply ids of the configurations that were in force, latest last;
	// guarded by offerMu.
	applied []string

	mu          sync.Mutex // guards the two times; never held across a call
	confirmedAt time.Time  // when the current table was last confirmed to be up to date
	refreshedAt time.Time  // when Refresh last read
}

// snapshot is one configuration revision: compiled, as stored and as JSON.
type snapshot struct {
	table    *route.Table
	applyID  string
	stored   []byte
	plain    []byte
	previous []previousRevision // earlier revisions to make deltas from, newest first
}

// previousRevision is the JSON of a replaced revision.
type previousRevision struct {
	rev   kv.Revision
	plain []byte
}

// maxApplied is how many apply ids of earlier configurations are kept.
const maxApplied = 256

// maxPrevious is how many earlier revisions are kept to make deltas from: peers
// are rarely further behind, and each costs memory of the size of its JSON.
const maxPrevious = 2

// Option configures a new Watcher.
type Option func(*Watcher)

// WatchWhen makes the watcher watch the KV only while shouldWatch returns true.
// Otherwise it relies on revisions from peers (Offer, OfferDelta).
func WatchWhen(shouldWatch func() bool) Option {
	return func(w *Watcher) { w.shouldWatch = shouldWatch }
}

// New returns a watcher that has no table yet and always watches the KV, unless
// WatchWhen is given.
func New(c kv.Client, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Watcher {
	w := &Watcher{kv: c, clock: clock, log: log, shouldWatch: func() bool { return true }, onChange: func() {}, onKey: func(string) {}}
	for _, o := range opts {
		o(w)
	}
	return w
}

// OnKey sets the callback for the other keys under config.LivePrefix, which
// share the watch; it must be set before Run.
func (w *Watcher) OnKey(f func(key string)) { w.onKey = f }

// OnChange sets the callback for after a new revision took effect; it must be set
// before Run.
func (w *Watcher) OnChange(f func()) { w.onChange = f }

// Table returns the current table, or nil before the first configuration.
func (w *Watcher) Table() *route.Table {
	if c := w.current.Load(); c != nil {
		return c.table
	}
	return nil
}

// Revision returns the current revision, or 0 before the first configuration.
func (w *Watcher) Revision() kv.Revision {
	if c := w.current.Load(); c != nil {
		return c.table.Revision
	}
	return 0
}

// Since returns what an entry at revision have needs to update to the current
// one: a delta if have is one of the last few revisions and the delta is smaller
// than the stored bytes, else the stored bytes. Both are nil if have is not older
// than the current revision.
func (w *Watcher) Since(have kv.Revision) (rev kv.Revision, delta, stored []byte) {
	c := w.current.Load()
	if c == nil || have >= c.table.Revision {
		return have, nil, nil
	}
	for _, p := range c.previous {
		if p.rev != have {
			continue
		}
		if d, err := config.Delta(p.plain, c.plain); err == nil && len(d) < len(c.stored) {
			return c.table.Revision, d, nil
		}
	}
	return c.table.Revision, nil, c.stored
}

// OfferDelta applies a delta between two revisions and offers the result. It
// returns false if from is not the current revision, if the delta does not apply
// or if the result is not accepted.
func (w *Watcher) OfferDelta(from, rev kv.Revision, delta []byte) bool {
	c := w.current.Load()
	if c == nil || c.table.Revision != from {
		return false
	}
	plain, err := config.Patch(c.plain, delta)
	if err != nil {
		w.log.Warn("config: delta from a peer does not apply.", "from", from, "to", rev, "error", err)
		return false
	}
	return w.Offer(rev, plain)
}

// Offer makes a stored configuration read at rev, from the KV or from a peer,
// the current one if it is newer and valid. It reports whether it did.
func (w *Watcher) Offer(rev kv.Revision, value []byte) bool {
	w.offerMu.Lock()
	defer w.offerMu.Unlock()
	if rev <= w.Revision() {
		return false
	}
	plain, err := config.Decompress(value)
	var env config.Envelope
	if err == nil {
		env, err = config.Unmarshal(plain)
	}
	if err != nil {
		w.rejected.Add(1)
		w.log.Warn("config: stored value does not decode; keeping the current configuration.", "revision", rev, "error", err)
		return false
	}
	if fs := config.Validate(&env.Document); len(fs) > 0 {
		w.rejected.Add(1)
		w.log.Warn("config: stored value fails validation; keeping the current configuration.", "revision", rev, "findings", len(fs))
		return false
	}
	if w.wasReplaced(rev, env.ApplyID) {
		w.log.Warn("config: the KV came back with an earlier configuration; keeping the current one.", "revision", rev, "era", rev.Era(), "apply_id", env.ApplyID)
		return false
	}
	w.applied = append(slices.DeleteFunc(w.applied, func(id string) bool { return id == env.ApplyID }), env.ApplyID)
	w.applied = w.applied[max(0, len(w.applied)-maxApplied):]
	next := &snapshot{table: route.NewTable(rev, &env.Document), applyID: env.ApplyID, stored: slices.Clone(value), plain: slices.Clone(plain)}
	if c := w.current.Load(); c != nil {
		next.previous = append([]previousRevision{{c.table.Revision, c.plain}}, c.previous[:min(len(c.previous), maxPrevious-1)]...)
	}
	w.current.Store(next)
	w.log.Info("config: new revision in force.", "revision", rev, "apply_id", env.ApplyID)
	w.onChange()
	return true
}

// wasReplaced reports whether a configuration of a later era than the current one had been in force
// before that: the KV was restored from a copy and has lost the current one.
func (w *Watcher) wasReplaced(rev kv.Revision, applyID string) bool {
	c := w.current.Load()
	return c != nil && rev.Era() > c.table.Revision.Era() && applyID != c.applyID && slices.Contains(w.applied, applyID)
}

// writeAgain writes the current configuration to a KV that was restored from a copy and has an
// earlier one, or none, at revision stored. Of several entries that do, one succeeds.
func (w *Watcher) writeAgain(ctx context.Context, stored kv.Revision) error {
	c := w.current.Load()
	ok, rev, _, err := w.kv.CompareAndPut(ctx, config.Key, stored, c.stored, 0)
	if err != nil {
		return err
	}
	w.log.Warn("config: the KV had lost the current configuration; written again.", "apply_id", c.applyID, "revision", rev, "written", ok)
	if ok {
		w.Offer(rev, c.stored)
	}
	return nil
}

// Run keeps the table up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 100 * time.Millisecond
	bo.MaxInterval = 5 * time.Second
	after, err := w.read(ctx, readTimeout)
	synced := true // whether a watch from revision after on misses no change
	for ctx.Err() == nil {
		switch {
		case errors.Is(err, kv.ErrCompacted), errors.Is(err, kv.ErrNewEra): // the history is gone: read
			after, err = w.read(ctx, readTimeout)
		case err != nil:
			w.kvErrors.Add(1)
			wait := bo.NextBackOff()
			w.log.Warn("config: KV call failed; keeping the current configuration.", "error", err, "retry_in", wait)
			w.sleep(ctx, wait)
			after, err = w.read(ctx, readTimeout)
		case !w.shouldWatch():
			w.watching.Store(false)
			synced = false
			w.sleep(ctx, standbyCheckInterval)
		case !synced: // took over the watch: first read what was missed
			after, err = w.read(ctx, readTimeout)
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
// lists the revisions first: the value is a hundred kilobytes at the target
// size, and most reads find no change.
func (w *Watcher) read(ctx context.Context, wait time.Duration) (kv.Revision, error) {
	requestedAt := w.clock.Now()
	rctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rev, keys, err := w.kv.List(rctx, config.LivePrefix)
	if err != nil {
		return 0, err
	}
	var stored kv.Revision
	for _, k := range keys {
		if k.Key != config.Key {
			w.onKey(k.Key)
			continue
		}
		stored = k.ModRevision
		if k.ModRevision <= w.Revision() {
			continue
		}
		if _, kvs, err := w.kv.Get(rctx, config.Key, false); err != nil {
			return 0, err
		} else if len(kvs) == 1 {
			w.Offer(kvs[0].ModRevision, kvs[0].Value)
		}
	}
	if current := w.Revision(); current != 0 && current.Era() < rev.Era() && w.shouldWatch() {
		if err := w.writeAgain(rctx, stored); err != nil {
			return 0, err
		}
	}
	w.confirm(requestedAt)
	return rev, nil
}

// watchThenRead waits for a change. If none arrives it reads, because the
// connection of the watch may have stalled.
func (w *Watcher) watchThenRead(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	w.watching.Store(true)
	requestedAt := w.clock.Now()
	wctx, cancel := context.WithTimeout(ctx, watchTimeout+readTimeout)
	defer cancel()
	rev, evs, err := w.kv.WatchOnce(wctx, config.LivePrefix, true, after, watchTimeout)
	if err != nil {
		return after, err
	}
	if len(evs) == 0 {
		return w.read(ctx, readTimeout)
	}
	for _, ev := range evs {
		if ev.Type == kv.EventPut {
			w.handlePut(ev.KV)
		}
	}
	// Not the present time: the event may have waited in a socket buffer while
	// this process was paused.
	w.confirm(requestedAt)
	return max(rev, after), nil
}

func (w *Watcher) handlePut(v kv.KeyValue) {
	if v.Key == config.Key {
		w.Offer(v.ModRevision, v.Value)
		return
	}
	w.onKey(v.Key)
}

// confirm records that the current table was up to date at t.
func (w *Watcher) confirm(t time.Time) {
	w.mu.Lock()
	if t.After(w.confirmedAt) {
		w.confirmedAt = t
	}
	w.mu.Unlock()
}

// Age returns how long ago the table was last confirmed to be current; ok is
// false if it never was.
func (w *Watcher) Age() (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() {
		return 0, false
	}
	return w.clock.Now().Sub(w.confirmedAt), true
}

// Refresh is called before each routing decision. An entry that resumes after a
// pause still has its old table and would send new work to a version withdrawn
// meanwhile until its watch catches up. So if the table was not confirmed within
// MaxStaleness, Refresh reads first, for refreshTimeout at most. If the KV does
// not respond, the entry continues with its table, so that a partitioned failure
// domain keeps serving.
func (w *Watcher) Refresh(ctx context.Context) {
	now := w.clock.Now()
	w.mu.Lock()
	due := now.Sub(w.confirmedAt) > MaxStaleness && now.Sub(w.refreshedAt) >= refreshInterval
	if due {
		w.refreshedAt = now
	}
	w.mu.Unlock()
	if !due {
		return
	}
	if _, err := w.read(ctx, refreshTimeout); err != nil {
		w.kvErrors.Add(1)
	}
}

// State is the watcher's section of the state dump.
type State struct {
	Revision   kv.Revision `json:"revision"`
	Watching   bool        `json:"watching"`
	AgeSeconds float64     `json:"age_seconds"`
	Rejected   int64       `json:"rejected"`
	KVErrors   int64       `json:"kv_errors"`
}

// State returns the current state; AgeSeconds is -1 if the table was never
// confirmed to be current.
func (w *Watcher) State() State {
	st := State{Revision: w.Revision(), Watching: w.watching.Load(), Rejected: w.rejected.Load(), KVErrors: w.kvErrors.Load(), AgeSeconds: -1}
	if age, ok := w.Age(); ok {
		st.AgeSeconds = age.Seconds()
	}
	return st
}
