package memkv

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
)

// historyLimit bounds the events kept for watches. A watcher further behind
// than this gets kv.ErrCompacted and must read before it watches again.
const historyLimit = 4096

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Store is the in-memory store. The zero value is not usable; call New.
type Store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	era     kv.Era      // number of restores
	rev     kv.Revision // its number; data and history have numbers, too
	data    map[string]kv.KeyValue
	history []kv.Event
	// compacted is the newest revision whose event has been discarded.
	compacted kv.Revision
	leases    map[kv.LeaseID]*lease
	nextID    kv.LeaseID
	changed   chan struct{} // closed and replaced on every write
}

// New returns an empty store timed by clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		data:    map[string]kv.KeyValue{},
		leases:  map[kv.LeaseID]*lease{},
		nextID:  1,
		changed: make(chan struct{}),
	}
}

var _ kv.Client = (*Store)(nil)

// currentLocked returns the current revision.
func (s *Store) currentLocked() kv.Revision { return kv.RevisionIn(s.era, int64(s.rev)) }

// inEraLocked returns a key with the revisions of the current era.
func (s *Store) inEraLocked(v kv.KeyValue) kv.KeyValue {
	v.CreateRevision, v.ModRevision = kv.RevisionIn(s.era, int64(v.CreateRevision)), kv.RevisionIn(s.era, int64(v.ModRevision))
	return v
}

func match(k, key string, prefix bool) bool {
	if prefix {
		return strings.HasPrefix(k, key)
	}
	return k == key
}

// Get implements kv.KV.
func (s *Store) Get(_ context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var out []kv.KeyValue
	for k, v := range s.data {
		if match(k, key, prefix) {
			out = append(out, s.inEraLocked(v))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return s.currentLocked(), out, nil
}

// List implements kv.KV.
func (s *Store) List(ctx context.Context, prefix string) (kv.Revision, []kv.KeyValue, error) {
	rev, kvs, err := s.Get(ctx, prefix, true)
	for i := range kvs {
		kvs[i].Value = nil
	}
	return rev, kvs, err
}

// Put implements kv.KV.
func (s *Store) Put(_ context.Context, key string, value []byte, id kv.LeaseID) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if err := s.putLocked(key, value, id); err != nil {
		return 0, err
	}
	return s.currentLocked(), nil
}

// CompareAndPut implements kv.KV.
func (s *Store) CompareAndPut(_ context.Context, key string, expect kv.Revision, value []byte, id kv.LeaseID) (bool, kv.Revision, *kv.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	cur, ok := s.data[key]
	cur = s.inEraLocked(cur)
	if cur.ModRevision != expect {
		if ok {
			return false, s.currentLocked(), &cur, nil
		}
		return false, s.currentLocked(), nil, nil
	}
	if err := s.putLocked(key, value, id); err != nil {
		return false, 0, nil, err
	}
	return true, s.currentLocked(), nil, nil
}

// CompareAndDelete implements kv.KV.
func (s *Store) CompareAndDelete(_ context.Context, key string, expect kv.Revision) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	cur, ok := s.data[key]
	if !ok || s.inEraLocked(cur).ModRevision != expect {
		return false, nil
	}
	s.deleteLocked(key)
	return true, nil
}

// Delete implements kv.KV.
func (s *Store) Delete(_ context.Context, key string, prefix bool) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var keys []string
	for k := range s.data {
		if match(k, key, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.deleteLocked(k)
	}
	return s.currentLocked(), nil
}

func (s *Store) putLocked(key string, value []byte, id kv.LeaseID) error {
	if id != 0 {
		l, ok := s.leases[id]
		if !ok {
			return kv.ErrLeaseNotFound
		}
		l.keys[key] = struct{}{}
	}
	s.rev++
	cur, ok := s.data[key]
	if !ok {
		cur = kv.KeyValue{Key: key, CreateRevision: s.rev}
	}
	cur.Value = append([]byte(nil), value...)
	cur.ModRevision = s.rev
	cur.Version++
	cur.Lease = id
	s.data[key] = cur
	s.recordLocked(kv.Event{Type: kv.EventPut, KV: cur})
	return nil
}

func (s *Store) deleteLocked(key string) {
	cur, ok := s.data[key]
	if !ok {
		return
	}
	s.rev++
	delete(s.data, key)
	cur.ModRevision = s.rev
	cur.Value = nil
	s.recordLocked(kv.Event{Type: kv.EventDelete, KV: cur})
}

func (s *Store) recordLocked(ev kv.Event) {
	s.history = append(s.history, ev)
	// Compact only at twice the limit, so that the copy is made once per
	// historyLimit writes rather than on every write.
	if len(s.history) > 2*historyLimit {
		s.compactLocked(len(s.history) - historyLimit)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactLocked discards the oldest n events.
func (s *Store) compactLocked(n int) {
	if n <= 0 {
		return
	}
	s.compacted = s.history[n-1].KV.ModRevision
	s.history = append([]kv.Event(nil), s.history[n:]...)
}

// Compact discards all history, as the platform's service does after some time.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(len(s.history))
}

// Backup is a copy of a store's contents, with its leases.
type Backup struct {
	rev       kv.Revision
	data      map[string]kv.KeyValue
	history   []kv.Event
	compacted kv.Revision
	leases    map[kv.LeaseID]*lease
	nextID    kv.LeaseID
}

// Backup returns a copy of the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return &Backup{rev: s.rev, data: maps.Clone(s.data), history: slices.Clone(s.history), compacted: s.compacted, leases: cloneLeases(s.leases), nextID: s.nextID}
}

// Restore replaces the store's contents by those of a copy and raises the era: what was written
// since is gone, leases too, and the revisions and ids given out since are given out again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.data, s.history, s.compacted = b.rev, maps.Clone(b.data), slices.Clone(b.history), b.compacted
	s.leases, s.nextID = cloneLeases(b.leases), b.nextID
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneLeases(all map[kv.LeaseID]*lease) map[kv.LeaseID]*lease {
	out := make(map[kv.LeaseID]*lease, len(all))
	for id, l := range all {
		out[id] = &lease{ttl: l.ttl, expires: l.expires, keys: maps.Clone(l.keys)}
	}
	return out
}

// Era implements kv.EraReader.
func (s *Store) Era() kv.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Grant implements kv.Lease.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.leases[id] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: map[string]struct{}{}}
	return id, nil
}

// KeepAlive implements kv.Lease. An expired lease cannot be renewed: its holder
// gets ErrLeaseNotFound and must stop acting on the lease.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return 0, kv.ErrLeaseNotFound
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return l.ttl, nil
}

// Revoke implements kv.Lease.
func (s *Store) Revoke(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrLeaseNotFound
	}
	s.dropLeaseLocked(id, l)
	return nil
}

func (s *Store) expireLocked() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.dropLeaseLocked(id, l)
		}
	}
}

func (s *Store) dropLeaseLocked(id kv.LeaseID, l *lease) {
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if cur, ok := s.data[k]; ok && cur.Lease == id {
			s.deleteLocked(k)
		}
	}
}

// WatchOnce implements kv.Watcher.
func (s *Store) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expireLocked()
		if after != 0 && after.Era() != s.era {
			s.mu.Unlock()
			return after, nil, kv.ErrNewEra
		}
		if number := kv.Revision(after.Number()); s.compacted > number || s.rev < number {
			s.mu.Unlock()
			return after, nil, kv.ErrCompacted
		}
		evs := s.eventsAfterLocked(key, prefix, after)
		rev, changed := s.currentLocked(), s.changed
		s.mu.Unlock()
		if len(evs) > 0 {
			return rev, evs, nil
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return after, nil, nil
		case <-ctx.Done():
			return after, nil, ctx.Err()
		}
	}
}

func (s *Store) eventsAfterLocked(key string, prefix bool, after kv.Revision) []kv.Event {
	var out []kv.Event
	for _, ev := range s.history {
		if ev.KV = s.inEraLocked(ev.KV); ev.KV.ModRevision > after && match(ev.KV.Key, key, prefix) {
			out = append(out, ev)
		}
	}
	return out
}

// Revision returns the store's current revision.
func (s *Store) Revision() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLocked()
}

// Stats is a snapshot of the store's size for state dumps.
type Stats struct {
	Revision kv.Revision `json:"revision"`
	Keys     int         `json:"keys"`
	Leases   int         `json:"leases"`
	Bytes    int         `json:"bytes"`
}

// Stats returns the current size of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Revision: s.currentLocked(), Keys: len(s.data), Leases: len(s.leases)}
	for k, v := range s.data {
		st.Bytes += len(k) + len(v.Value)
	}
	return st
}
