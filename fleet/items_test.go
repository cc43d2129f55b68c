package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/kv"
)

// history draws a sequence of changes of a few keys, as made by a store.
func history(t *rapid.T) []kv.Event {
	n := rapid.IntRange(1, 40).Draw(t, "changes")
	present := map[string]bool{}
	var out []kv.Event
	for rev := kv.Revision(1); int(rev) <= n; rev++ {
		key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
		e := kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: key, ModRevision: rev, Value: []byte{byte(rev)}}}
		if present[key] && rapid.Bool().Draw(t, "remove") {
			e = kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: key, ModRevision: rev}}
		}
		present[key] = e.Type == kv.EventPut
		out = append(out, e)
	}
	return out
}

// finalState is the state after a history.
func finalState(h []kv.Event) map[string]kv.Revision {
	out := map[string]kv.Revision{}
	for _, e := range h {
		if e.Type == kv.EventPut {
			out[e.KV.Key] = e.KV.ModRevision
		} else {
			delete(out, e.KV.Key)
		}
	}
	return out
}

func state(s *Items) map[string]kv.Revision {
	out := map[string]kv.Revision{}
	for _, i := range s.All() {
		out[i.Key] = i.ModRevision
	}
	return out
}

func equal(a, b map[string]kv.Revision) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}

// Guards against an entry routing by a replaced configuration. The same changes come from
// the store and from several entries, repeated, overlapping, and old after new; whatever the
// order, the copy ends in the store's state and no key ever goes back.
func TestItemsConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history(t)
		s := NewItems()
		seen := map[string]kv.Revision{}
		for range rapid.IntRange(0, 12).Draw(t, "deliveries") {
			from := rapid.IntRange(0, len(h)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(h)).Draw(t, "to")
			// A delivery is known to be complete only from the copy's revision.
			rev := s.Revision()
			if int(rev) >= from && to > int(rev) {
				rev = kv.Revision(to)
			}
			s.Apply(Changes{Revision: rev, Events: h[from:to]})
			for k, v := range state(s) {
				if v < seen[k] {
					t.Fatalf("%s went back from %d to %d", k, seen[k], v)
				}
				seen[k] = v
			}
		}
		s.Apply(Changes{Revision: kv.Revision(len(h)), Events: h})
		if !equal(state(s), finalState(h)) {
			t.Fatalf("state %v, want %v", state(s), finalState(h))
		}
	})
}

// The changes sent to an entry that is behind lead it to the same state, however far behind it is.
func TestSinceLeadsToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history(t)
		ahead, behind := NewItems(), NewItems()
		ahead.Apply(Changes{Revision: kv.Revision(len(h)), Events: h})
		at := rapid.IntRange(0, len(h)).Draw(t, "behind at")
		behind.Apply(Changes{Revision: kv.Revision(at), Events: h[:at]})
		behind.Apply(ahead.Since(behind.Revision()))
		if !equal(state(behind), finalState(h)) {
			t.Fatalf("state %v, want %v", state(behind), finalState(h))
		}
	})
}

// Guards against a removed endpoint coming back from a snapshot that was taken before the
// removal and arrives late.
func TestOldSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	s := NewItems()
	put := kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: "servers/e", ModRevision: 5}}
	s.Apply(Changes{Revision: 5, Whole: true, Events: []kv.Event{put}})
	s.Apply(Changes{Revision: 9, Events: []kv.Event{{Type: kv.EventDelete, KV: kv.KeyValue{Key: "servers/e", ModRevision: 8}}}})
	is.Equal(len(s.Apply(Changes{Revision: 5, Whole: true, Events: []kv.Event{put}})), 0)
	is.Equal(len(s.Apply(Changes{Revision: 9, Events: []kv.Event{put}})), 0)
	is.Equal(len(s.All()), 0)
	is.Equal(s.Revision(), kv.Revision(9))
}

// An entry further behind than the kept tombstones gets a snapshot.
func TestSinceSendsSnapshotOnceRemovalsAreDropped(t *testing.T) {
	is := is.New(t)
	ahead, behind := NewItems(), NewItems()
	first := []kv.Event{{Type: kv.EventPut, KV: kv.KeyValue{Key: "k", ModRevision: 1}}, {Type: kv.EventPut, KV: kv.KeyValue{Key: "stays", ModRevision: 2}}}
	ahead.Apply(Changes{Revision: 2, Events: first})
	behind.Apply(Changes{Revision: 2, Events: first})
	rev := kv.Revision(2)
	change := func(key string, typ kv.EventType) {
		rev++
		ahead.Apply(Changes{Revision: rev, Events: []kv.Event{{Type: typ, KV: kv.KeyValue{Key: key, ModRevision: rev}}}})
	}
	change("k", kv.EventDelete)
	for i := range 2 * minTombstones {
		key := fmt.Sprint("x", i)
		change(key, kv.EventPut)
		change(key, kv.EventDelete)
	}
	c := ahead.Since(2)
	is.True(c.Whole)
	behind.Apply(c)
	is.True(equal(state(behind), state(ahead)))
}

func stored(key string, rev kv.Revision) kv.Event {
	return kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: key, ModRevision: rev}}
}

// Guards against an entry sending to an endpoint that has left, four seconds after the store
// recorded this. While most entries are down, an endpoint announces that it leaves, and
// leaves. An entry that restarts reads a snapshot without it. One that kept running, and had
// received neither change, asks the restarted entry for changes; that one knows of no
// removal before its snapshot, and answered as if there had been none.
func TestSinceSendsSnapshotForRevisionsBeforeAFullRead(t *testing.T) {
	is := is.New(t)
	behind := NewItems()
	behind.Apply(Changes{Revision: 5, Whole: true, Events: []kv.Event{stored("servers/e1", 4), stored("servers/e2", 5)}})
	for _, earlier := range []Changes{
		{},
		{Revision: 3, Whole: true, Events: []kv.Event{stored("servers/e2", 2)}},
	} {
		started := NewItems()
		started.Apply(earlier)
		// e1 announced at revision 6 that it leaves, and was removed at 7.
		started.Apply(Changes{Revision: 8, Whole: true, Events: []kv.Event{stored("servers/e2", 5)}})
		is.True(started.Since(5).Whole)
		is.True(!started.Since(8).Whole)
		merged := NewItems()
		merged.Apply(behind.Since(0))
		merged.Apply(started.Since(5))
		is.Equal(len(merged.All()), 1)
	}
}

// Guards against each exchange looking at every item of a large store while a few change.
func TestOnlyTheChangesAfterARevisionAreLookedAt(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1000, 2000, 4000} {
		s := NewItems()
		whole := Changes{Revision: kv.Revision(n), Whole: true}
		for i := range n {
			whole.Events = append(whole.Events, stored(fmt.Sprint("servers/", i), kv.Revision(n-i))) // in no order
		}
		s.Apply(whole)
		rev := kv.Revision(n)
		for range 20 * n { // many changes of few keys do not pile up
			rev++
			s.Apply(Changes{Revision: rev, Events: []kv.Event{stored(fmt.Sprint("servers/", rev%10), rev)}})
		}
		is.Equal(len(s.historyAfterLocked(rev-7)), 7)
		is.Equal(len(s.Since(rev-7).Events), 7)
		is.True(len(s.history) <= 2*(n+minTombstones))
		is.Equal(len(s.Since(rev-kv.Revision(n)).Events), 10) // superseded changes are not sent
	}
}

// Guards against keys that the store lost being taken for removed, where operators wrote others again with the numbers that they had before.
func TestWritesThatAreRepeatedAfterARestoreAreNotShared(t *testing.T) {
	is := is.New(t)
	put := func(era kv.Era, number int64, key string) kv.Event {
		rev := kv.RevisionIn(era, number)
		return kv.Event{KV: kv.KeyValue{Key: key, Value: []byte(key), CreateRevision: rev, ModRevision: rev}}
	}
	s := NewItems()
	s.Apply(Changes{Revision: kv.RevisionIn(1, 1), Whole: true, Events: []kv.Event{put(1, 1, "config")}})
	s.Apply(Changes{Revision: kv.RevisionIn(1, 5), Events: []kv.Event{put(1, 2, "e1"), put(1, 3, "e2"), put(1, 4, "o1"), put(1, 5, "o2")}})
	after := Changes{Revision: kv.RevisionIn(2, 5), Whole: true, Events: []kv.Event{put(2, 1, "config"), put(2, 2, "o1"), put(2, 3, "x"), put(2, 4, "y"), put(2, 5, "o2")}}
	is.True(s.EntersEra(after))
	c := s.EnterEra(after)
	lost := map[string]bool{}
	for _, r := range c.Reverted {
		lost[r.Key] = r.Known != nil && r.Stored == nil && !r.Removed
	}
	is.Equal(lost, map[string]bool{"e1": true, "e2": true})
	is.Equal(len(c.Events), 2) // x and y
}
