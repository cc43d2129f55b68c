package fleet

import (
	"sync"

	"github.com/lovageweir/lovageweir/kv"
)

// keptRemovals is how many removals are remembered to be told to entries
// that are behind; one further behind is told everything.
const keptRemovals = 2048

// Changes is what happened after some revision, up to Revision. With Whole
// set, Events are all that there is, and what they do not name is gone.
type Changes struct {
	Revision kv.Revision
	Whole    bool
	Events   []kv.Event
}

// Items is this entry's copy of the store, by revision. It is safe for
// concurrent use.
type Items struct {
	mu       sync.Mutex
	revision kv.Revision
	items    map[string]kv.KeyValue
	removed  []kv.KeyValue // oldest first; ModRevision is the removal's
	// floor is the revision after which removed is complete.
	floor kv.Revision
}

// NewItems returns an empty copy.
func NewItems() *Items { return &Items{items: map[string]kv.KeyValue{}} }

// Revision is how far the copy has come; 0: it is empty.
func (s *Items) Revision() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Apply takes changes and returns those that were new. An event older than
// what is known of its key changes nothing, so that the same change may come
// from the store and from several entries, in any order.
func (s *Items) Apply(c Changes) []kv.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Whole && c.Revision < s.revision {
		return nil
	}
	var fresh []kv.Event
	if c.Whole {
		fresh = s.dropMissingLocked(c)
		// What came and went before is not known: an entry that is behind, and was told
		// of no removal, would keep sending to endpoints that have left.
		s.floor = max(s.floor, c.Revision)
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
		if s.removedAfterLocked(e.KV) {
			return false
		}
		s.items[e.KV.Key] = e.KV
		return true
	}
	if !known {
		return false
	}
	delete(s.items, e.KV.Key)
	s.rememberLocked(e.KV)
	return true
}

// removedAfterLocked reports whether a put that arrives late was undone by a
// removal that is known already.
func (s *Items) removedAfterLocked(put kv.KeyValue) bool {
	for i := len(s.removed) - 1; i >= 0; i-- {
		r := s.removed[i]
		if r.Key == put.Key && r.ModRevision > put.ModRevision {
			return true
		}
	}
	return false
}

func (s *Items) rememberLocked(removed kv.KeyValue) {
	s.removed = append(s.removed, kv.KeyValue{Key: removed.Key, ModRevision: removed.ModRevision})
	if len(s.removed) > keptRemovals {
		s.floor = s.removed[0].ModRevision
		s.removed = append([]kv.KeyValue(nil), s.removed[1:]...)
	}
}

// dropMissingLocked removes what a whole state no longer has.
func (s *Items) dropMissingLocked(c Changes) []kv.Event {
	present := make(map[string]bool, len(c.Events))
	for _, e := range c.Events {
		present[e.KV.Key] = true
	}
	var gone []kv.Event
	for key, item := range s.items {
		if present[key] || item.ModRevision > c.Revision {
			continue
		}
		delete(s.items, key)
		removal := kv.KeyValue{Key: key, ModRevision: c.Revision}
		s.rememberLocked(removal)
		gone = append(gone, kv.Event{Type: kv.EventDelete, KV: removal})
	}
	return gone
}

// Since returns what changed after a revision; nothing when the copy is not
// ahead of it.
func (s *Items) Since(after kv.Revision) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision <= after {
		return Changes{Revision: s.revision}
	}
	whole := after < s.floor || after == 0
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
