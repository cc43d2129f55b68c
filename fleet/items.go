package fleet

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/kv"
)

// minTombstones is how many removals are kept at least for entries that are behind. A larger
// copy keeps as many as it has items: an entry further behind gets a snapshot, which is not
// larger than the changes would be.
const minTombstones = 2048

// Changes are the changes after some revision, up to Revision. If Whole is set,
// Events are a snapshot: keys that they do not name do not exist.
type Changes struct {
	Revision kv.Revision
	Whole    bool
	Events   []kv.Event
}

// Items is this entry's copy of the store. It is safe for concurrent use.
type Items struct {
	mu       sync.Mutex
	revision kv.Revision
	items    map[string]kv.KeyValue
	removed  map[string]kv.Revision // tombstones: when keys were removed
	// history lists the latest change of each key, and some that later ones superseded, by
	// revision. With it, the changes after a revision are found without a look at the others.
	history []change
	// historyStart is the revision after which the tombstones are complete.
	historyStart kv.Revision
	// past are the writes of earlier eras, latest era last.
	past []map[write]bool
}

// change is the revision at which a key was written or removed.
type change struct {
	revision kv.Revision
	key      string
	value    uint64 // hash of what was written
}

// NewItems returns an empty copy.
func NewItems() *Items {
	return &Items{items: map[string]kv.KeyValue{}, removed: map[string]kv.Revision{}}
}

// Revision returns the revision of the copy; 0 if it is empty.
func (s *Items) Revision() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Apply applies changes and returns those that were new. An event no newer than the
// known state of its key has no effect, so the same change may come from the
// store and from several entries, in any order.
func (s *Items) Apply(c Changes) []kv.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsLocked(c) {
		return nil
	}
	var fresh []kv.Event
	if c.Whole {
		fresh = s.removeMissingLocked(c)
		// Removals before the snapshot are unknown. An entry that is behind and is not
		// told of them would keep sending to endpoints that have left.
		s.historyStart = max(s.historyStart, c.Revision)
	}
	for _, e := range c.Events {
		if s.applyLocked(e) {
			fresh = append(fresh, e)
		}
	}
	s.revision = max(s.revision, c.Revision)
	s.recordLocked(fresh)
	return fresh
}

// Accepts reports whether changes may have an effect: snapshots do unless they are older than the
// copy, other changes if they are of its era.
func (s *Items) Accepts(c Changes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptsLocked(c)
}

func (s *Items) acceptsLocked(c Changes) bool {
	switch {
	case c.Revision == 0 || s.revision == 0: // a list of some keys, or the first data
		return true
	case c.Whole:
		return c.Revision >= s.revision
	}
	return c.Revision.Era() == s.revision.Era()
}

func (s *Items) applyLocked(e kv.Event) bool {
	if e.KV.ModRevision.Era() < s.revision.Era() {
		return false // from a history that the store has lost
	}
	old, known := s.items[e.KV.Key]
	if known && old.ModRevision >= e.KV.ModRevision {
		return false
	}
	if e.Type == kv.EventPut {
		if s.removed[e.KV.Key] > e.KV.ModRevision {
			return false // a put that arrives late was undone by a known removal
		}
		s.items[e.KV.Key] = e.KV
		delete(s.removed, e.KV.Key)
		return true
	}
	if !known {
		return false
	}
	delete(s.items, e.KV.Key)
	s.removed[e.KV.Key] = e.KV.ModRevision
	return true
}

// removeMissingLocked removes the keys that a snapshot no longer has.
func (s *Items) removeMissingLocked(c Changes) []kv.Event {
	present := make(map[string]bool, len(c.Events))
	for _, e := range c.Events {
		present[e.KV.Key] = true
	}
	var removals []kv.Event
	for key, item := range s.items {
		if present[key] || item.ModRevision > c.Revision {
			continue
		}
		delete(s.items, key)
		s.removed[key] = c.Revision
		removals = append(removals, kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: key, ModRevision: c.Revision}})
	}
	return removals
}

// recordLocked adds changes to the history. They mostly come in the order of their revisions.
func (s *Items) recordLocked(events []kv.Event) {
	if len(events) == 0 {
		return
	}
	last := kv.Revision(0)
	if n := len(s.history); n > 0 {
		last = s.history[n-1].revision
	}
	sorted := true
	for _, e := range events {
		sorted = sorted && e.KV.ModRevision >= last
		last = e.KV.ModRevision
		s.history = append(s.history, change{last, e.KV.Key, xxhash.Sum64(e.KV.Value)})
	}
	if !sorted {
		s.sortHistoryLocked()
	}
	if len(s.history) > 2*(len(s.items)+minTombstones) {
		s.compactLocked()
	}
}

func (s *Items) sortHistoryLocked() {
	slices.SortStableFunc(s.history, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
}

// compactLocked drops superseded changes from the history, and the oldest tombstones if there
// are too many.
func (s *Items) compactLocked() {
	s.history = slices.DeleteFunc(s.history, func(c change) bool { return !s.isLatestLocked(c) })
	excess := len(s.removed) - max(minTombstones, len(s.items))
	if excess <= 0 {
		return
	}
	s.history = slices.DeleteFunc(s.history, func(c change) bool {
		if _, gone := s.removed[c.key]; !gone || excess == 0 {
			return false
		}
		excess--
		delete(s.removed, c.key)
		s.historyStart = max(s.historyStart, c.revision)
		return true
	})
}

// isLatestLocked reports whether no later change of the same key is known.
func (s *Items) isLatestLocked(c change) bool {
	if item, present := s.items[c.key]; present {
		return item.ModRevision == c.revision
	}
	removed, known := s.removed[c.key]
	return known && removed == c.revision
}

// Since returns the changes after a revision; none if the copy is not ahead of it.
func (s *Items) Since(after kv.Revision) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision <= after {
		return Changes{Revision: s.revision}
	}
	if s.needsSnapshotLocked(after) {
		return Changes{Revision: s.revision, Whole: true, Events: s.allLocked()}
	}
	c := Changes{Revision: s.revision}
	for _, ch := range s.historyAfterLocked(after) {
		if item, present := s.items[ch.key]; present {
			if item.ModRevision == ch.revision {
				c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: item})
			}
		} else if s.removed[ch.key] == ch.revision {
			c.Events = append(c.Events, kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: ch.key, ModRevision: ch.revision}})
		}
	}
	return c
}

// NeedsSnapshot reports whether Since returns a snapshot for a revision.
func (s *Items) NeedsSnapshot(after kv.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.needsSnapshotLocked(after)
}

func (s *Items) needsSnapshotLocked(after kv.Revision) bool {
	return s.revision > after && (after < s.historyStart || after == 0)
}

// historyAfterLocked returns the part of the history after a revision.
func (s *Items) historyAfterLocked(after kv.Revision) []change {
	from, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev kv.Revision) int { return cmp.Compare(c.revision, rev) })
	return s.history[from:]
}

func (s *Items) allLocked() []kv.Event {
	out := make([]kv.Event, 0, len(s.items))
	for _, item := range s.items {
		out = append(out, kv.Event{Type: kv.EventPut, KV: item})
	}
	return out
}

// HasPast reports whether the copy has been in an earlier era.
func (s *Items) HasPast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.past) > 0
}

// Get returns an item.
func (s *Items) Get(key string) (kv.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// All returns every item.
func (s *Items) All() []kv.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]kv.KeyValue, 0, len(s.items))
	for _, item := range s.items {
		out = append(out, item)
	}
	return out
}
