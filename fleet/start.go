package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// Start of an entry. If each of a thousand entries that start together read a large store, or
// received each registration by a watch of its own, the store's link would be full for longer
// than callers wait. So an entry of a large failure domain first reads who else is in it. Only if
// it is a watcher or a relay among these does it read the rest; the others get a snapshot from a
// peer.
const (
	// listInterval is the mean time between reads of the domain's entries until this one is
	// listed. Entries that start together have registered by then.
	listInterval = 750 * time.Millisecond
	// maxListReads is how many of these reads an entry makes before it watches the store: its
	// own registration may be delayed.
	maxListReads = 3
	// snapshotWait is how long an entry waits for a snapshot from a peer before it reads the
	// store itself. Those of a large domain wait longer, up to maxSnapshotWait and by
	// snapshotWaitPerEntry on average, so that they do not read all at once.
	snapshotWait         = 2 * time.Second
	maxSnapshotWait      = 10 * time.Second
	snapshotWaitPerEntry = 30 * time.Millisecond
)

// start is the state of an entry's start, and of catching up with the store.
type start struct {
	listReads int
	// morePending: the last watch returned changes in bulk, so that there are probably more.
	morePending bool
	// snapshotDeadline is when the entry reads the store itself; zero: it does not wait.
	snapshotDeadline time.Time
}

// awaitsListing reports whether an entry that is not listed should read the list again.
func (s *start) awaitsListing(v *View, self Entry) bool {
	if v.HasEntry(self.Instance) {
		s.listReads = 0
		return false
	}
	return s.listReads < maxListReads
}

// readFirst reads the store, or leaves that to the sources of a large failure domain.
func (f *Follower) readFirst(ctx context.Context) error {
	if f.start.snapshotDeadline.IsZero() {
		if f.start.listReads == 0 && !f.View().HasEntry(f.self.Instance) {
			if err := f.readDomainEntries(ctx); err != nil {
				return err
			}
		}
		if f.start.awaitsListing(f.View(), f.self) {
			return f.readSmall(ctx)
		}
		if !f.leavesReadToOthers() {
			return f.readAll(ctx)
		}
	}
	if f.clock.Now().Before(f.start.snapshotDeadline) {
		f.sleep(ctx, recheckInterval)
		return nil
	}
	f.log.Info("fleet: no peer sent a snapshot in time; reading the store.")
	return f.readAll(ctx)
}

// readSmall reads a store that is not large. Of a large one, an entry that is not listed cannot
// tell who reads it: its failure domain may be starting, and most of it not be registered yet.
func (f *Follower) readSmall(ctx context.Context) error {
	pager, ok := f.store.(kv.Pager)
	if !ok {
		return f.readAll(ctx)
	}
	if f.start.listReads == 0 {
		rev, items, more, err := pager.GetPage(ctx, "", "", false)
		if err != nil {
			return err
		}
		if !more {
			f.applyAll(rev, items, maxCurrentAge+1) // current once a watch confirms it
			return nil
		}
	}
	return f.awaitListing(ctx)
}

// reread reads the store after its history was compacted, or leaves that to the sources of a large
// failure domain.
func (f *Follower) reread(ctx context.Context) error {
	if f.start.snapshotDeadline.IsZero() && f.leavesReadToOthers() {
		return nil
	}
	f.start.snapshotDeadline = time.Time{}
	return f.readAll(ctx)
}

// leavesReadToOthers reports whether this entry waits for a snapshot from a source of its domain,
// and sets until when.
func (f *Follower) leavesReadToOthers() bool {
	entries := f.View().Entries
	if !f.View().HasEntry(f.self.Instance) {
		entries = append([]Entry{f.self}, entries...)
	}
	selected := selectWatchers(entries)
	domain := selected.size[f.self.Domain]
	if !isLargeDomain(domain) || selected.roles[f.self.Instance] != asks {
		return false
	}
	spread := min(2*time.Duration(domain)*snapshotWaitPerEntry, maxSnapshotWait-snapshotWait)
	wait := snapshotWait + time.Duration(rand.Float64()*float64(spread))
	f.start.snapshotDeadline = f.clock.Now().Add(wait)
	f.log.Info("fleet: waiting for a snapshot from another entry.", "entries", len(entries), "for_ms", wait.Milliseconds())
	return true
}

// readDomainEntries reads the entries of this entry's failure domain.
func (f *Follower) readDomainEntries(ctx context.Context) error {
	prefix := domainPrefix(f.self.Domain)
	list := Changes{} // without a revision: it says nothing about other keys
	for after, more := "", true; more; {
		var page []kv.KeyValue
		var err error
		if page, more, err = f.getPage(ctx, prefix, after); err != nil {
			return err
		}
		for _, i := range page {
			after = i.Key
			// The page may be of the era before: any other state of the key takes its place.
			i.ModRevision = kv.RevisionIn(i.ModRevision.Era(), 1)
			list.Events = append(list.Events, kv.Event{Type: kv.EventPut, KV: i})
		}
	}
	f.apply(list, 0)
	f.markEntriesKnown()
	return nil
}

func (f *Follower) getPage(ctx context.Context, prefix, after string) (page []kv.KeyValue, more bool, err error) {
	if pager, ok := f.store.(kv.Pager); ok {
		_, page, more, err = pager.GetPage(ctx, prefix, after, true)
		return page, more, err
	}
	_, page, err = f.store.Get(ctx, prefix, true)
	return page, false, err
}

// awaitListing reads the domain's entries after a pause in which those that start together
// register.
func (f *Follower) awaitListing(ctx context.Context) error {
	f.start.listReads++
	if !f.sleep(ctx, time.Duration(float64(listInterval)*(0.75+rand.Float64()/2))) {
		return nil
	}
	if err := f.readDomainEntries(ctx); err != nil {
		return err
	}
	if f.View().HasEntry(f.self.Instance) {
		f.mu.Lock()
		f.catchingUp = f.clock.Now()
		f.mu.Unlock()
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	before := f.items.Revision()
	rev, items, err := f.store.Get(ctx, "", true)
	if err != nil {
		return err
	}
	f.metrics.Counter("whole_reads_total").Inc(1)
	f.log.Info("fleet: read the whole store.", "revision", rev, "era", rev.Era(), "had", before, "had_era", before.Era(), "items", len(items))
	if rev < before {
		return errBehind // without a pause, the next watch would fail again
	}
	f.applyAll(rev, items, 0)
	return nil
}

// errBehind means that the store was read at an earlier revision than one that it gave out.
var errBehind = errors.New("the store is behind what it has told before")

// applyAll applies all items of the store, of the given age.
func (f *Follower) applyAll(rev kv.Revision, items []kv.KeyValue, age time.Duration) {
	c := Changes{Revision: rev, Whole: true, Events: make([]kv.Event, 0, len(items))}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: i})
	}
	f.apply(c, age)
}

// markEntriesKnown records that the entries of the own failure domain are known.
func (f *Follower) markEntriesKnown() { f.entriesOnce.Do(func() { close(f.entriesKnown) }) }
