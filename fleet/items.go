package fleet

import (
	"sync"

	"github.com/lovageweir/lovageweir/kv"
)

// maxTombstones is how many removals are kept for entries that are behind; one
// further behind gets a snapshot.
const maxTombstones = 2048

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
	removed  []kv.KeyValue // oldest first; ModRevision is the removal's
	// historyStart is the revision after which removed is complete.
	historyStart kv.Revision
}

// NewItems returns an empty copy.
func NewItems() *Items { return &Items{items: map[string]kv.KeyValue{}} }

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
	if c.Whole && c.Revision < s.revision {
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
	return fresh
}

func (s *Items) applyLocked(e kv.Event) bool {
	old, known := s.items[e.KV.Key]
	if known && old.ModRevision >= e.KV.ModRevision {
		return false
	}
	if e.Type == kv.EventPut {
		if s.hasNewerTombstoneLocked(e.KV) {
			return false
		}
		s.items[e.KV.Key] = e.KV
		return true
	}
	if !known {
		return false
	}
	delete(s.items, e.KV.Key)
	s.addTombstoneLocked(e.KV)
	return true
}

// hasNewerTombstoneLocked reports whether a put that arrives late was undone by
// a removal already known.
func (s *Items) hasNewerTombstoneLocked(put kv.KeyValue) bool {
	for i := len(s.removed) - 1; i >= 0; i-- {
		r := s.removed[i]
		if r.Key == put.Key && r.ModRevision > put.ModRevision {
			return true
		}
	}
	return false
}

func (s *Items) addTombstoneLocked(removed kv.KeyValue) {
	s.removed = append(s.removed, kv.KeyValue{Key: removed.Key, ModRevision: removed.ModRevision})
	if len(s.removed) > maxTombstones {
		s.historyStart = s.removed[0].ModRevision
		s.removed = append([]kv.KeyValue(nil), s.removed[1:]...)
	}
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
		removal := kv.KeyValue{Key: key, ModRevision: c.Revision}
		s.addTombstoneLocked(removal)
		removals = append(removals, kv.Event{Type: kv.EventDelete, KV: removal})
	}
	return removals
}

// Since returns the changes after a revision; none if the copy is not ahead of it.
func (s *Items) Since(after kv.Revision) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision <= after {
		return Changes{Revision: s.revision}
	}
	whole := after < s.historyStart || after == 0
	c := Changes{Revision: s.revision, Whole: whole}
	for _, item := range s.items {
		if whole || item.ModRevision > after {
			c.Events = append(c.Events, kv.Event{Type: kv.EventPut, KV: item})
		}
	}
	if whole {
		return c
	}
	for _, r := range s.removed {
		if r.ModRevision > after {
			c.Events = append(c.Events, kv.Event{Type: kv.EventDelete, KV: r})
		}
	}
	return c
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
