package fleet

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageweir/lovageweir/kv"
)

// EraChange is what a store that came back from a copy means for a copy of its state before. Up to the
// revision of the store's copy both have the same history; later changes were lost, and the store
// has given out their revisions again.
type EraChange struct {
	// Revision is that of the store in the new era.
	Revision kv.Revision
	// Kept are the keys whose values are what they were, with their revisions in the new era.
	Kept []kv.KeyValue
	// Events are what was written in the new era.
	Events []kv.Event
	// Reverted are the keys of which the store lost the latest changes, or that it no longer has.
	Reverted []Reverted
}

// Reverted is a key of which the store lost the latest changes, or that it no longer has.
type Reverted struct {
	Key string
	// Known is the last state before the store came back; nil: the key had been removed.
	Known *kv.KeyValue
	// Stored is the state in the store's copy; nil: the key does not exist.
	Stored *kv.KeyValue
	// Removed: the copy had the key, and it was removed since, or its lease ended.
	Removed bool
}

// EntersEra reports whether changes lead to a later era than that of a copy with data.
func (s *Items) EntersEra(c Changes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.Whole && s.revision != 0 && c.Revision.Era() > s.revision.Era()
}

// EnterEra replaces the copy by a snapshot of a later era, and returns what that means.
func (s *Items) EnterEra(c Changes) EraChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.pastLocked(c)
	out := EraChange{Revision: c.Revision}
	s.items, s.removed, s.history = make(map[string]kv.KeyValue, len(c.Events)), map[string]kv.Revision{}, nil
	s.revision, s.historyStart, s.past = c.Revision, c.Revision, before.eras
	for _, e := range c.Events {
		now := e.KV
		s.items[now.Key] = now
		known, was := before.items[now.Key]
		switch {
		case was && bytes.Equal(known.Value, now.Value):
			out.Kept = append(out.Kept, now)
		case was && before.isEarlier(now, known.ModRevision):
			out.Reverted = append(out.Reverted, Reverted{Key: now.Key, Known: &known, Stored: &now})
		case !was && before.isEarlier(now, before.removed[now.Key]):
			out.Reverted = append(out.Reverted, Reverted{Key: now.Key, Stored: &now})
		default:
			out.Events = append(out.Events, e)
		}
	}
	for key, known := range before.items {
		if _, present := s.items[key]; present {
			continue
		}
		removed := known.CreateRevision.Number() <= before.shared
		out.Reverted = append(out.Reverted, Reverted{Key: key, Known: &known, Removed: removed})
	}
	s.recordLocked(c.Events)
	return out
}

// maxPastEras is the number of earlier eras whose writes are kept: of stores that come back twice in a
// row, the second copy may be from before the first return.
const maxPastEras = 3

// write is one write of a key, whatever the era.
type write struct {
	number int64
	key    string
	value  uint64 // hash
}

func writeOf(item kv.KeyValue) write {
	return write{item.ModRevision.Number(), item.Key, xxhash.Sum64(item.Value)}
}

// past is a copy as it was before it entered an era.
type past struct {
	items   map[string]kv.KeyValue
	removed map[string]kv.Revision
	eras    []map[write]bool
	// shared is a number up to which the histories of the last era and of the new one are the same.
	shared int64
}

// pastLocked returns the copy as it is, compared with a snapshot of a later era.
func (s *Items) pastLocked(c Changes) past {
	last := make(map[write]bool, len(s.history))
	for _, ch := range s.history {
		last[write{ch.revision.Number(), ch.key, ch.value}] = true
	}
	p := past{items: s.items, removed: s.removed, eras: append(slices.Clone(s.past), last)}
	p.eras = p.eras[max(0, len(p.eras)-maxPastEras):]
	p.shared = s.sharedLocked(c, last)
	return p
}

// sharedLocked returns a number up to which the copy's history and that of a snapshot of a later era
// are the same: the highest one of a write that both have, below the first one that only one has. Beyond
// that, the same value may have been written again with the same number.
func (s *Items) sharedLocked(c Changes, last map[write]bool) int64 {
	same := func(item kv.KeyValue) bool {
		known, was := s.items[item.Key]
		return last[writeOf(item)] || was && known.ModRevision.Number() == item.ModRevision.Number() && bytes.Equal(known.Value, item.Value)
	}
	diverged := c.Revision.Number() + 1
	for _, e := range c.Events {
		number := e.KV.ModRevision.Number()
		if number > s.historyStart.Number() && !same(e.KV) {
			diverged = min(diverged, number)
		}
		if known, was := s.items[e.KV.Key]; was && number < known.ModRevision.Number() {
			diverged = min(diverged, known.ModRevision.Number())
		}
	}
	shared := int64(0)
	for _, e := range c.Events {
		if number := e.KV.ModRevision.Number(); number < diverged && same(e.KV) {
			shared = max(shared, number)
		}
	}
	return shared
}

// isEarlier reports whether an item of the snapshot was written in an earlier era. If it is not what
// its key had last, the store has lost a later change. changed is when that was, as far as known.
func (p past) isEarlier(item kv.KeyValue, changed kv.Revision) bool {
	w := writeOf(item)
	if slices.ContainsFunc(p.eras, func(writes map[write]bool) bool { return writes[w] }) {
		return true
	}
	return w.number <= p.shared && w.number < changed.Number()
}
