package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/kv"
)

// history draws a sequence of changes of a few keys, as a store makes them.
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

// after is the state that a history leads to.
func after(h []kv.Event) map[string]kv.Revision {
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

// Symptom: an entry routes by a configuration that was replaced.
// Events: the same changes come from the store and from several entries,
// twice, in overlapping pieces, old after new.
// Whatever comes in which order, the copy ends where the store is and no key
// ever goes back.
func TestItemsConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history(t)
		s := NewItems()
		seen := map[string]kv.Revision{}
		for range rapid.IntRange(0, 12).Draw(t, "deliveries") {
			from := rapid.IntRange(0, len(h)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(h)).Draw(t, "to")
			// A piece is known to be complete only from where the copy stands.
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
		if !equal(state(s), after(h)) {
			t.Fatalf("state %v, want %v", state(s), after(h))
		}
	})
}

// What one entry tells another that is behind leads it to the same state,
// however far behind it is.
func TestSinceLeadsToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history(t)
		ahead, behind := NewItems(), NewItems()
		ahead.Apply(Changes{Revision: kv.Revision(len(h)), Events: h})
		at := rapid.IntRange(0, len(h)).Draw(t, "behind at")
		behind.Apply(Changes{Revision: kv.Revision(at), Events: h[:at]})
		behind.Apply(ahead.Since(behind.Revision()))
		if !equal(state(behind), after(h)) {
			t.Fatalf("state %v, want %v", state(behind), after(h))
		}
	})
}

// Symptom: an endpoint that is gone comes back from an entry that was away.
// Events: it was removed; a whole state from before the removal arrives late.
func TestAnOldWholeStateChangesNothing(t *testing.T) {
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

// An entry further behind than removals are remembered is told everything.
func TestForgottenRemovalsAreToldByTheWholeState(t *testing.T) {
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
	for range keptRemovals + 1 {
		change("x", kv.EventPut)
		change("x", kv.EventDelete)
	}
	c := ahead.Since(2)
	is.True(c.Whole)
	behind.Apply(c)
	is.True(equal(state(behind), state(ahead)))
}

func stored(key string, rev kv.Revision) kv.Event {
	return kv.Event{Type: kv.EventPut, KV: kv.KeyValue{Key: key, ModRevision: rev}}
}

// Symptom: an entry that was never cut off goes on sending to an endpoint that has
// left, four seconds after the store took its leaving.
// Events: most entries lose power; an endpoint announces that it leaves, and leaves. An
// entry that starts again reads everything, where the endpoint is no more. One that went
// on, and had heard of neither, asks it for the changes that it lacks.
// Cause: the one that started again knows of no removal before it read everything, but
// answered as if there had been none.
func TestAnEntryThatReadEverythingDoesNotAnswerForRemovalsBefore(t *testing.T) {
	is := is.New(t)
	behind := NewItems()
	behind.Apply(Changes{Revision: 5, Whole: true, Events: []kv.Event{stored("servers/e1", 4), stored("servers/e2", 5)}})
	for _, knew := range []Changes{
		{},
		{Revision: 3, Whole: true, Events: []kv.Event{stored("servers/e2", 2)}},
	} {
		started := NewItems()
		started.Apply(knew)
		// e1 said that it leaves at revision 6, and was gone at 7.
		started.Apply(Changes{Revision: 8, Whole: true, Events: []kv.Event{stored("servers/e2", 5)}})
		is.True(started.Since(5).Whole)
		is.True(!started.Since(8).Whole)
		told := NewItems()
		told.Apply(behind.Since(0))
		told.Apply(started.Since(5))
		is.Equal(len(told.All()), 1)
	}
}
