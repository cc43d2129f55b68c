package fleet

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
)

// check is rapid.Check with a number of checks, unless one is asked for on the command line.
func check(t *testing.T, n int, property func(*rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	if before := checks.Value.String(); before == checks.DefValue {
		if err := checks.Value.Set(strconv.Itoa(n)); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = checks.Value.Set(before) }() // a value that it had
	}
	rapid.Check(t, property)
}

// message is what an entry or the store sent, which may arrive late, at any entry, and more than once.
type message struct {
	after kv.Revision
	Changes
}

// eraModel is a store that comes back from copies, and entries that learn of it from the store and
// from each other.
type eraModel struct {
	store   *memkv.Store
	backups []*memkv.Backup
	entries []*Items
	sent    []message
	writes  int
}

func (m *eraModel) read(t *rapid.T) Changes {
	rev, items, err := m.store.Get(context.Background(), "", true)
	if err != nil {
		t.Fatal(err)
	}
	c := Changes{Revision: rev, Whole: true}
	for _, i := range items {
		c.Events = append(c.Events, kv.Event{KV: i})
	}
	return c
}

// deliver applies a message as a follower does. Changes after a revision are complete only for a copy
// that has that revision.
func (m *eraModel) deliver(to *Items, c message) {
	if c.Revision == 0 && !c.Whole {
		for _, e := range c.Events {
			if e.KV.ModRevision.Era() <= to.Revision().Era() {
				to.Apply(c.Changes)
				return
			}
		}
		return
	}
	if !c.Whole && (to.Revision() == 0 || c.Revision.Era() == to.Revision().Era() && c.after > to.Revision()) {
		return
	}
	if to.EntersEra(c.Changes) {
		to.EnterEra(c.Changes)
		return
	}
	to.Apply(c.Changes)
}

func (m *eraModel) check(t *rapid.T, before []kv.Revision) {
	for i, e := range m.entries {
		if e.Revision() < before[i] {
			t.Fatalf("entry %d went back from %x to %x", i, before[i], e.Revision())
		}
		for _, item := range e.All() {
			if e.Revision() != 0 && item.ModRevision.Era() != e.Revision().Era() {
				t.Fatalf("entry %d at %x has %s at %x", i, e.Revision(), item.Key, item.ModRevision)
			}
		}
	}
}

// Guards against data of an earlier era that wins, from whatever entry, watch or late answer, and against entries that go back or end in another state than the store's.
func TestEntriesEndInTheStoresStateAcrossEras(t *testing.T) {
	check(t, 5000, func(t *rapid.T) {
		m := &eraModel{store: memkv.New(clockwork.NewFakeClock())}
		for range 3 {
			m.entries = append(m.entries, NewItems())
		}
		key := func() string { return fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")) }
		entry := func() *Items { return m.entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		steps := map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				m.writes++
				_, _ = m.store.Put(context.Background(), key(), fmt.Append(nil, m.writes%5), 0)
			},
			"delete": func(t *rapid.T) { _, _ = m.store.Delete(context.Background(), key(), false) },
			"copy":   func(t *rapid.T) { m.backups = append(m.backups, m.store.Backup()) },
			"restore": func(t *rapid.T) {
				if len(m.backups) > 0 {
					m.store.Restore(rapid.SampledFrom(m.backups).Draw(t, "copy"))
				}
			},
			"list": func(t *rapid.T) { // some keys, without a revision
				c := m.read(t)
				m.sent = append(m.sent, message{Changes: Changes{Events: c.Events}})
			},
			"read": func(t *rapid.T) { m.sent = append(m.sent, message{Changes: m.read(t)}) },
			"watch": func(t *rapid.T) {
				after := entry().Revision()
				rev, events, err := m.store.WatchOnce(context.Background(), "", true, after, 0)
				if err == nil && after != 0 && len(events) > 0 {
					m.sent = append(m.sent, message{after, Changes{Revision: rev, Events: events}})
				}
			},
			"ask": func(t *rapid.T) {
				after := entry().Revision()
				m.sent = append(m.sent, message{after, entry().Since(after)})
			},
			"deliver": func(t *rapid.T) {
				if len(m.sent) > 0 {
					m.deliver(entry(), rapid.SampledFrom(m.sent).Draw(t, "message"))
				}
			},
			"": func(t *rapid.T) {},
		}
		before := make([]kv.Revision, len(m.entries))
		checked := steps[""]
		steps[""] = func(t *rapid.T) {
			checked(t)
			m.check(t, before)
			for i, e := range m.entries {
				before[i] = e.Revision()
			}
		}
		t.Repeat(steps)
		// The first entry reads the store, and the others ask it.
		last := m.read(t)
		m.deliver(m.entries[0], message{Changes: last})
		for _, e := range m.entries {
			m.deliver(e, message{e.Revision(), m.entries[0].Since(e.Revision())})
			got, want := e.All(), map[string]kv.KeyValue{}
			for _, ev := range last.Events {
				want[ev.KV.Key] = ev.KV
			}
			if last.Revision == 0 {
				continue // an empty store says nothing
			}
			if len(got) != len(want) {
				t.Fatalf("%d items, want %d", len(got), len(want))
			}
			for _, item := range got {
				if w := want[item.Key]; w.ModRevision != item.ModRevision || string(w.Value) != string(item.Value) {
					t.Fatalf("%s at %x, want %x", item.Key, item.ModRevision, w.ModRevision)
				}
			}
		}
	})
}
