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

	"github.com/lovageweir/lovageweir/kv"
)

// Following the store.
const (
	// dutyWait is how long one watch waits at an entry that watches for all. The
	// others judge by its answers whether the store is heard at all, so that it
	// bounds reliedAge; the store gets a call a second from each of these few.
	dutyWait = time.Second
	// ownWait is how long one watch waits at an entry that watches for itself. It
	// is longer as there may be many of them; reliedAge and this wait together
	// stay under the 4 s from which an entry cannot tell that a route or a key
	// does not exist.
	// A watch that met a connection gone silent, or a store that went away, is
	// noticed this much later and a second more.
	ownWait = 2 * time.Second
	// gatherFor is how long changes are gathered after some came, before the
	// next watch: a burst of them, as when a service is replaced, then costs a
	// few calls instead of one each. A change is in force that much later.
	gatherFor = 250 * time.Millisecond
	// gatherAtStart takes its place until an entry knows itself to be among the others.
	// When hundreds start together each hears of all others, in as many calls as it
	// makes meanwhile.
	gatherAtStart = 500 * time.Millisecond
	// peerLife is how long after another entry whose knowledge was current last
	// answered an entry relies on others. Exchanges are 0.3 s apart: three that
	// fail in a row make it watch by itself, well within the two seconds in which
	// a change must be in force.
	peerLife = time.Second
	// reliedAge is the oldest knowledge with which an entry relies on others.
	// One whose connection to the store went silent believes that it watches
	// until its call is given up, and the entry that relies on it would serve
	// keys that were taken away until then. The age of what it tells shows it
	// sooner: gathering (0.25 s), a watch (1 s) and the time from one exchange to
	// the next (0.38 s at most) make 1.63 s where all is well. A change is in
	// force at an entry that reaches the store within this and idleLook.
	reliedAge = 1750 * time.Millisecond
	// idleLook is how often an entry that relies on others looks again.
	idleLook = 100 * time.Millisecond
	// The pause after a call that failed, doubling up to the longest. The
	// longest keeps calls to a store that is away near one a second and entry.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
)

// Follower keeps this entry's view current. Run owns the following of the
// store; Merge takes what other entries know. It is safe for concurrent use.
type Follower struct {
	store kv.Client
	clock clockwork.Clock
	log   *slog.Logger
	items *Items
	self  Entry
	view  atomic.Pointer[View]

	mu      sync.Mutex // guards the fields below; held while a view is built, never across a call
	build   *builder
	heard   time.Time // when the store or an entry last told how things stand
	away    bool      // the store did not answer this entry's last call
	peer    time.Time // when another entry whose knowledge was current last answered
	relying bool      // other entries watch for this one
	// heardAwake is heard on the clock that counts suspensions.
	heardAwake time.Duration
	changed    func(*View)
	known      chan struct{} // closed with the first configuration
	knownOnce  sync.Once
	// sinceBoot is the time since the machine started, suspensions counted.
	sinceBoot func() time.Duration
}

// NewFollower returns a follower that knows nothing yet. lapsedFor is how
// long an endpoint whose registration ended without notice is a last resort.
func NewFollower(self Entry, store kv.Client, dec Decoder, lapsedFor time.Duration, clock clockwork.Clock, log *slog.Logger) *Follower {
	f := &Follower{self: self, store: store, clock: clock, log: log, items: NewItems(), build: newBuilder(dec, lapsedFor, log), changed: func(*View) {}, known: make(chan struct{}),
		sinceBoot: sinceBoot}
	f.view.Store(EmptyView())
	return f
}

// OnChange sets what is called with each new view; set it before Run. It
// must not block.
func (f *Follower) OnChange(call func(*View)) { f.changed = call }

// SetSinceBoot replaces the clock that counts suspensions; set it before Run.
func (f *Follower) SetSinceBoot(now func() time.Duration) { f.sinceBoot = now }

// View is the newest view.
func (f *Follower) View() *View { return f.view.Load() }

// Known is closed once a configuration is known.
func (f *Follower) Known() <-chan struct{} { return f.known }

// Since returns what this entry knows beyond a revision, for entries that
// are behind.
func (f *Follower) Since(after kv.Revision) Changes { return f.items.Since(after) }

// StoreAway reports whether the store does not answer this entry.
func (f *Follower) StoreAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away
}

// Age is how long ago the store, or an entry that was not behind, last told
// how things stand; ok is false when none ever did.
//
// The steady clock stands still while the machine is suspended: by it alone,
// what was fresh before is fresh after, however long that was, and an entry
// would deny routes and keys that have been there for long. The clock since
// boot goes on.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.clock.Since(f.heard), f.sinceBoot()-f.heardAwake), !f.heard.IsZero()
}

// Merge takes changes that another entry knew of, and knew to be all that
// there was so long ago.
func (f *Follower) Merge(from string, c Changes, ago time.Duration) {
	if IsCurrent(ago) {
		f.notePeer()
	}
	before := f.items.Revision()
	if c.Revision < before {
		return
	}
	if c.Revision > before {
		f.log.Info("fleet: another entry knows more.", "from", from, "revision", c.Revision, "had", before, "whole", c.Whole, "changes", len(c.Events))
	}
	f.take(c, ago)
}

// take applies changes, known to be all so long ago, and publishes a view if
// any was new.
func (f *Follower) take(c Changes, ago time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if at := now.Add(-ago); at.After(f.heard) {
		f.heard, f.heardAwake = at, f.sinceBoot()-ago
	}
	fresh := f.items.Apply(c)
	if len(fresh) == 0 {
		return
	}
	for _, e := range fresh {
		f.build.take(e, now)
	}
	v := f.build.view(c.Revision, now)
	first := v.Config != nil && f.View().Config == nil
	f.view.Store(v)
	if first {
		f.knownOnce.Do(func() { close(f.known) })
	}
	f.changed(v)
}

func (f *Follower) notePeer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peer = f.clock.Now()
}

// Watching reports whether this entry watches the store and is answered.
func (f *Follower) Watching() bool { return !f.StoreAway() && f.onDuty() }

// onDuty reports whether this entry is one that watches for all.
func (f *Follower) onDuty() bool { return f.View().Watches(f.self.Instance) }

// IsCurrent reports whether knowledge of an age is as young as it is where the
// entries that watch the store hear it.
func IsCurrent(age time.Duration) bool { return age <= reliedAge }

// Current reports whether what this entry knows is current.
func (f *Follower) Current() bool {
	age, ok := f.Age()
	return ok && IsCurrent(age)
}

// relies reports whether this entry leaves watching to others: its knowledge is
// current, and so is that of another that lately answered. Whether that one is of
// those that watch for all does not matter: when these are all cut off from the
// store, some of the others ask the store, and the rest rely on these.
func (f *Follower) relies() bool {
	if f.items.Revision() == 0 || f.onDuty() || !f.Current() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Since(f.peer) < peerLife
}

// sleep waits, and reports whether ctx has not ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-f.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		relying := f.relies()
		f.setRelying(relying)
		if relying {
			f.stopAsking()
			f.sleep(ctx, idleLook)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			f.setAway(nil)
			pause = firstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.setAway(err)
		jittered := time.Duration(float64(pause) * (0.5 + rand.Float64()/2))
		f.sleep(ctx, jittered)
		pause = min(2*pause, longestPause)
	}
}

// step makes one call to the store: a watch, or a whole read where nothing
// is known yet or the history since is gone.
func (f *Follower) step(ctx context.Context) error {
	after := f.items.Revision()
	if after == 0 {
		return f.readAll(ctx)
	}
	rev, events, err := f.store.WatchOnce(ctx, "", true, after, f.watchWait())
	if errors.Is(err, kv.ErrCompacted) {
		f.log.Info("fleet: history since is gone; reading everything.", "revision", after)
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	f.take(Changes{Revision: rev, Events: events}, 0)
	if len(events) > 0 {
		f.sleep(ctx, f.gather())
	}
	return nil
}

func (f *Follower) gather() time.Duration {
	if !f.View().Knows(f.self.Instance) {
		return gatherAtStart
	}
	return gatherFor
}

func (f *Follower) watchWait() time.Duration {
	if f.onDuty() {
		return dutyWait
	}
	return ownWait
}

func (f *Follower) readAll(ctx context.Context) error {
	rev, items, err := f.store.Get(ctx, "", true)
	if err != nil {
		return err
	}
	c := Changes{Revision: rev, Whole: true, Events: make([]kv.Event, 0, len(items))}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	f.take(c, 0)
	return nil
}

// setRelying notes and logs when the entry begins or ceases to rely on others,
// with how old its knowledge is then: a change that is in force late is either
// one that no watcher knew, or one that a watcher knew and this entry was not
// told.
func (f *Follower) setRelying(relying bool) {
	f.mu.Lock()
	was, peer := f.relying, f.peer
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
	f.log.Info(message, "revision", f.items.Revision(), "age_ms", age.Milliseconds(), "peer_heard_ms", f.clock.Since(peer).Milliseconds())
}

// stopAsking notes that this entry does not ask the store, so that nothing is
// known of whether it would answer.
func (f *Follower) stopAsking() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = false
}

// setAway notes and logs when the store is lost or back.
func (f *Follower) setAway(err error) {
	f.mu.Lock()
	was := f.away
	f.away = err != nil
	f.mu.Unlock()
	if err != nil && !was {
		f.log.Warn("fleet: store does not answer; going on with what is known.", "revision", f.items.Revision(), "error", err)
	}
	if err == nil && was {
		f.log.Info("fleet: store answers again.", "revision", f.items.Revision())
	}
}
