package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/kv"
)

// Timing of watches and of reliance on other entries.
const (
	// watcherPollWait is how long one watch call waits at a watcher. The other entries
	// detect from the age of a watcher's data whether it still receives the store's
	// changes, so this is a lower bound of maxCurrentAge. The store gets one call a
	// second from each of these few entries.
	watcherPollWait = time.Second
	// relayedPollWait replaces watcherPollWait in a large domain, where data reaches most
	// entries by another exchange.
	relayedPollWait = 500 * time.Millisecond
	// fallbackPollWait is how long one watch call waits at an entry that has no watcher to
	// rely on. It is longer, as there may be many such entries; maxCurrentAge plus this
	// wait stays below the 4 s beyond which an entry cannot tell that a route or a key
	// does not exist. A dead connection, or a store that went away, is noticed by this
	// much and a second more later.
	fallbackPollWait = 2 * time.Second
	// batchDelay is how long to collect further changes after some came, before the next
	// watch call: a burst, as when a service is replaced, then costs a few calls instead
	// of one per change. It delays changes by as much.
	batchDelay = 250 * time.Millisecond
	// startupBatchDelay replaces batchDelay until an entry finds itself in the list of
	// entries. When hundreds start together, each receives the registrations of all
	// others in as many calls as it makes meanwhile.
	startupBatchDelay = 500 * time.Millisecond
	// peerTimeout is how long an entry relies on others after a peer with current data
	// last answered. Exchanges are 0.3 s apart: after three failures in a row the entry
	// watches the store itself, well within the two seconds in which a change must be in
	// force.
	peerTimeout = time.Second
	// maxCurrentAge is the age up to which data counts as current. An entry whose
	// connection to the store is dead believes that it watches until its call times out,
	// and entries that rely on it would serve revoked keys until then; the age of its
	// data shows the fault sooner. Without faults, batching (0.25 s), a watch call (1 s)
	// and the time between exchanges (0.38 s at most) add up to 1.63 s. An entry that
	// reaches the store applies a change within maxCurrentAge and recheckInterval.
	maxCurrentAge = 1750 * time.Millisecond
	// recheckInterval is how often an entry that relies on others checks whether it still can.
	recheckInterval = 100 * time.Millisecond
	// BulkChanges is the number of changes received at once from which the sender probably has
	// more: a page of a watch, or what a watcher that is catching up passes on.
	BulkChanges = 100
	// Backoff after a failed call, doubled up to the maximum, which keeps the calls to an
	// unreachable store near one a second from each entry.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Follower keeps this entry's view current. Run follows the store; Merge takes
// changes from other entries. It is safe for concurrent use.
type Follower struct {
	store kv.Client
	clock clockwork.Clock
	log   *slog.Logger
	items *Items
	self  Entry
	view  atomic.Pointer[View]

	mu               sync.Mutex // guards the fields below; held while a view is built, never during a call
	viewBuilder      *builder
	confirmed        time.Time // when the data was last known to be current, by the store or a peer
	storeUnreachable bool      // the store did not answer this entry's last call
	peerAnswered     time.Time // when a peer with current data last answered
	relying          bool      // other entries watch the store for this one
	// catchingUp is when this entry began to expect a peer to bring it up to date: when it
	// found itself listed, or last received changes in bulk.
	catchingUp time.Time
	// confirmedSinceBoot is the time of confirmed on the clock that includes suspension.
	confirmedSinceBoot time.Duration
	onChange           func(*View)
	configKnown        chan struct{} // closed with the first configuration
	configOnce         sync.Once
	entriesKnown       chan struct{} // closed once the entries of the own failure domain are known
	entriesOnce        sync.Once
	start              start          // used by Run only
	probes             sync.WaitGroup // calls of awaitStore in progress
	metrics            tally.Scope
	eraEntered         chan struct{} // signals a new era; its capacity is 1
	holdsConfig        bool          // the first configuration waits, see HoldConfig
	configHeld         chan struct{} // signals that a configuration waits; its capacity is 1
	// sinceBoot returns the time since the machine started, including suspension.
	sinceBoot func() time.Duration
}

// NewFollower returns a follower without data. lapsedTTL is how long an endpoint whose
// registration lapsed remains usable as a last resort.
func NewFollower(self Entry, store kv.Client, dec Decoder, lapsedTTL time.Duration, clock clockwork.Clock, log *slog.Logger) *Follower {
	f := &Follower{self: self, store: store, clock: clock, log: log, items: NewItems(), viewBuilder: newBuilder(dec, lapsedTTL, log), onChange: func(*View) {}, configKnown: make(chan struct{}),
		entriesKnown: make(chan struct{}), sinceBoot: sinceBoot, metrics: tally.NoopScope, eraEntered: make(chan struct{}, 1), configHeld: make(chan struct{}, 1)}
	f.view.Store(EmptyView())
	return f
}

// OnChange sets the function that is called with each new view; set it before
// Run. It must not block.
func (f *Follower) OnChange(call func(*View)) { f.onChange = call }

// SetMetrics sets the scope of the follower's metrics; set it before Run.
func (f *Follower) SetMetrics(scope tally.Scope) { f.metrics = scope }

// SetSinceBoot replaces the clock that includes suspension; set it before Run.
func (f *Follower) SetSinceBoot(now func() time.Duration) { f.sinceBoot = now }

// View is the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// ConfigKnown is closed once a configuration is known.
func (f *Follower) ConfigKnown() <-chan struct{} { return f.configKnown }

// EntriesKnown is closed once the entries of the own failure domain are known.
func (f *Follower) EntriesKnown() <-chan struct{} { return f.entriesKnown }

// Since returns the changes after a revision, for entries that are behind.
func (f *Follower) Since(after kv.Revision) Changes { return f.items.Since(after) }

// Revision is the revision up to which all changes are known.
func (f *Follower) Revision() kv.Revision { return f.items.Revision() }

// Item returns an item of the store, as this entry knows it.
func (f *Follower) Item(key string) (kv.KeyValue, bool) { return f.items.Get(key) }

// NeedsSnapshot reports whether Since returns a snapshot for a revision.
func (f *Follower) NeedsSnapshot(after kv.Revision) bool { return f.items.NeedsSnapshot(after) }

// StoreUnreachable reports whether the store does not answer this entry.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnreachable
}

// Age returns how long ago the data was last known to be current, by the store or by
// an entry that was not behind; ok is false if it never was.
//
// The monotonic clock stops while the machine is suspended. By it alone, data would
// look as fresh after a suspension as before, and the entry would deny routes and keys
// added meanwhile; so the clock since boot counts too.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.clock.Since(f.confirmed), f.sinceBoot()-f.confirmedSinceBoot), !f.confirmed.IsZero()
}

// Merge applies changes from another entry, whose data was last known to be
// current that long ago.
func (f *Follower) Merge(from string, c Changes, age time.Duration) {
	before := f.items.Revision()
	if IsCurrent(age) && c.Revision.Era() >= before.Era() {
		f.recordPeer()
	}
	if c.Revision < before {
		return
	}
	if c.Revision > before {
		f.log.Info("fleet: merging newer changes from another entry.", "from", from, "revision", c.Revision, "era", c.Revision.Era(), "had", before, "had_era", before.Era(), "whole", c.Whole, "changes", len(c.Events))
	}
	f.apply(c, age)
}

// apply applies changes of the given age, and publishes a view if any was new. A part of the
// store, which has no revision, does not confirm the rest.
func (f *Follower) apply(c Changes, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	defer f.updateMetrics()
	if !f.items.Accepts(c) {
		f.metrics.Counter("changes_ignored_total").Inc(1)
		return
	}
	if at := now.Add(-age); at.After(f.confirmed) && c.Revision > 0 && c.Revision >= f.items.Revision() {
		f.confirmed, f.confirmedSinceBoot = at, f.sinceBoot()-age
	}
	if f.items.EntersEra(c) {
		f.enterEra(c, now)
		return
	}
	fresh := f.items.Apply(c)
	if len(fresh) >= BulkChanges {
		f.catchingUp = now
	}
	expired := f.viewBuilder.expireCarried(now)
	if len(fresh) == 0 && !expired {
		return
	}
	f.viewBuilder.applyAll(fresh, now)
	f.publishLocked(f.items.Revision(), now)
}

func (f *Follower) updateMetrics() {
	revision := f.items.Revision()
	f.metrics.Gauge("revision").Update(float64(revision.Number()))
	f.metrics.Gauge("era").Update(float64(revision.Era()))
	f.metrics.Gauge("store_era").Update(float64(f.StoreEra()))
}

// publishLocked publishes a view at a revision.
func (f *Follower) publishLocked(rev kv.Revision, now time.Time) {
	v := f.viewBuilder.view(rev, now)
	if v.Config != nil && f.mustHoldConfigLocked(rev) {
		held := *v
		held.Config = nil
		v = &held
	}
	first := v.Config != nil && f.View().Config == nil
	f.view.Store(v)
	if len(v.Entries) > 0 {
		f.markEntriesKnown()
	}
	if first {
		f.configOnce.Do(func() { close(f.configKnown) })
	}
	f.onChange(v)
}

func (f *Follower) recordPeer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerAnswered = f.clock.Now()
}

// Watching reports whether this entry is a watcher and the store answers it.
func (f *Follower) Watching() bool { return !f.StoreUnreachable() && f.isWatcher() }

// isWatcher reports whether this entry watches the store for all.
func (f *Follower) isWatcher() bool { return f.View().IsWatcher(f.self.Instance) }

// AwaitsPeers reports whether a peer can be expected to bring this entry up to date: it is
// listed, others are to watch for it, and it was listed or received changes in bulk lately.
// When a large fleet starts, or many endpoints change, watching the store at every entry
// would exceed what the store can send, and take longer.
func (f *Follower) AwaitsPeers() bool {
	if f.items.Revision() == 0 || !f.View().HasEntry(f.self.Instance) || f.isWatcher() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.catchingUp) < peerTimeout
}

// IsCurrent reports whether data of this age may come from watchers that still receive
// the store's changes.
func IsCurrent(age time.Duration) bool { return age <= maxCurrentAge }

// Current reports whether this entry's data is current.
func (f *Follower) Current() bool {
	age, ok := f.Age()
	return ok && IsCurrent(age)
}

// relies reports whether this entry leaves watching to others: its data is current, and
// a peer with current data answered lately. That peer need not be a watcher: if all
// watchers are cut off from the store, some other entries poll the store, and the rest
// rely on these.
func (f *Follower) relies() bool {
	if f.items.Revision() == 0 || f.isWatcher() || !f.Current() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.peerAnswered) < peerTimeout
}

// sleep waits, and returns false once ctx has ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-f.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Run follows the store until ctx ends. It returns once its calls to the store have ended.
func (f *Follower) Run(ctx context.Context) {
	defer f.probes.Wait()
	pause := minBackoff
	for ctx.Err() == nil {
		relying := f.relies()
		f.setRelying(relying)
		if relying {
			f.start.snapshotDeadline = time.Time{}
			f.clearStoreUnreachable()
			f.sleep(ctx, recheckInterval)
			continue
		}
		if f.AwaitsPeers() {
			f.sleep(ctx, recheckInterval)
			continue
		}
		err := f.step(ctx)
		if err != nil && f.isWatcher() && f.items.Revision() != 0 && ctx.Err() == nil {
			f.setStoreUnreachable(err)
			err = f.awaitStore(ctx)
		}
		if err == nil {
			f.setStoreUnreachable(nil)
			pause = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.setStoreUnreachable(err)
		jittered := time.Duration(float64(pause) * (0.5 + rand.Float64()/2))
		f.sleep(ctx, jittered)
		pause = min(2*pause, maxBackoff)
	}
}

// step makes one call to the store: a watch, a read of the entries until this one is listed, or
// a full read if there is no data yet or the history since the last revision was compacted.
func (f *Follower) step(ctx context.Context) error {
	after := f.items.Revision()
	if after == 0 {
		return f.readFirst(ctx)
	}
	if f.start.awaitsListing(f.View(), f.self) {
		return f.awaitListing(ctx)
	}
	if f.clock.Now().Before(f.start.snapshotDeadline) {
		f.sleep(ctx, recheckInterval)
		return nil
	}
	wait := f.pollWait()
	if f.start.morePending {
		wait = time.Millisecond
	}
	rev, events, err := f.store.WatchOnce(ctx, "", true, after, wait)
	if errors.Is(err, kv.ErrNewEra) {
		f.log.Warn("fleet: the store came back from a copy; reading it.", "revision", after, "era", after.Era(), "store_era", f.StoreEra())
		return f.reread(ctx)
	}
	if errors.Is(err, kv.ErrCompacted) {
		f.log.Info("fleet: history since this revision was compacted.", "revision", after, "store_era", f.StoreEra())
		return f.reread(ctx)
	}
	if err != nil {
		return err
	}
	age := time.Duration(0)
	f.start.morePending = len(events) >= BulkChanges
	if f.start.morePending {
		age = maxCurrentAge + 1 // not current until the rest is known
	}
	f.apply(Changes{Revision: rev, Events: events}, age)
	if len(events) > 0 && !f.start.morePending {
		f.sleep(ctx, f.currentBatchDelay())
	}
	return nil
}

func (f *Follower) currentBatchDelay() time.Duration {
	if !f.View().HasEntry(f.self.Instance) {
		return startupBatchDelay
	}
	return batchDelay
}

func (f *Follower) pollWait() time.Duration {
	if !f.isWatcher() {
		return fallbackPollWait
	}
	if _, entries := f.View().SourcesIn(f.self.Domain); isLargeDomain(entries) {
		return relayedPollWait
	}
	return watcherPollWait
}

// setRelying records and logs when the entry starts or stops relying on others, with the
// age of its data. If a change is in force late, this tells whether no watcher had it, or
// a watcher had it and this entry was not told.
func (f *Follower) setRelying(relying bool) {
	f.mu.Lock()
	was, peerAnswered := f.relying, f.peerAnswered
	f.relying = relying
	f.mu.Unlock()
	if relying == was {
		return
	}
	age, _ := f.Age()
	message := "fleet: watching the store for itself."
	if relying {
		message = "fleet: relying on other entries."
	}
	f.log.Info(message, "revision", f.items.Revision(), "age_ms", age.Milliseconds(), "peer_heard_ms", f.clock.Since(peerAnswered).Milliseconds())
}

// clearStoreUnreachable forgets a failed call: an entry that does not call the store
// cannot tell whether it would answer.
func (f *Follower) clearStoreUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeUnreachable = false
}

// setStoreUnreachable records the result of a call, and logs when the store stops or resumes answering.
func (f *Follower) setStoreUnreachable(err error) {
	f.mu.Lock()
	was := f.storeUnreachable
	f.storeUnreachable = err != nil
	f.mu.Unlock()
	if err != nil && !was {
		f.log.Warn("fleet: store does not answer; serving from the last known state.", "revision", f.items.Revision(), "error", err)
	}
	if err == nil && was {
		f.log.Info("fleet: store answers again.", "revision", f.items.Revision(), "store_era", f.StoreEra())
	}
}
