package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// rolledOut are items of service s in the order in which they were written.
type rolledOut struct{ items []kv.KeyValue }

func (r *rolledOut) put(key, value string) *rolledOut {
	r.items = append(r.items, kv.KeyValue{Key: key, Value: []byte(value)})
	return r
}

func (r *rolledOut) order(version string) *rolledOut {
	return r.put("op/rollout/s", fmt.Sprintf(`{"service":"s","target":%q,"duration_s":16}`, version))
}

func (r *rolledOut) record(version string, state fleet.RolloutState) *rolledOut {
	return r.put("status/rollout/s", fmt.Sprintf(`{"target":%q,"state":%q}`, version, state))
}

func (r *rolledOut) withdraw(value string) *rolledOut { return r.put(fleet.WithdrawnPrefix+"s", value) }

// group is service s as an entry knows it that reads all this, with an endpoint of
// each version ready and another one lapsed.
func (r *rolledOut) group(t *testing.T, versions ...string) *fleet.Group {
	x := newFixture(t)
	var events []kv.Event
	put := func(item kv.KeyValue) {
		item.ModRevision = kv.Revision(len(events) + 1)
		item.CreateRevision = item.ModRevision
		events = append(events, kv.Event{KV: item})
	}
	for i, v := range versions {
		for _, state := range []string{"ready", "lapsed"} {
			e := platformtest.NewEngine(platformtest.EngineConfig{ID: state + v, Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 2*i+len(state)*100), Domain: "d", Version: v})
			key, value := e.Registration(false)
			put(kv.KeyValue{Key: key, Value: value})
		}
	}
	for _, item := range r.items {
		put(item)
	}
	rev := kv.Revision(len(events))
	x.f.Merge("test", fleet.Changes{Revision: rev, Events: events}, 0)
	var gone []kv.Event
	for _, v := range versions {
		rev++
		gone = append(gone, kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: "servers/lapsed" + v, ModRevision: rev}})
	}
	x.f.Merge("test", fleet.Changes{Revision: rev, Events: gone}, 0)
	return x.f.View().Group("s")
}

// Guards against endpoints of a bad version getting requests, or those of a good one none, after orders that follow each other.
func TestWithdrawnVersionsGetNothing(t *testing.T) {
	const (
		running, done, rolledBack = fleet.RolloutRunning, fleet.RolloutDone, fleet.RolloutRolledBack
	)
	tests := []struct {
		name  string
		items *rolledOut
		want  []string
	}{
		{"no order", new(rolledOut), []string{"v1", "v2", "v3"}},
		{"an order under way", new(rolledOut).order("v2").record("v2", running), []string{"v1", "v2", "v3"}},
		{"rolled back, order in force: not decided here", new(rolledOut).order("v2").record("v2", rolledBack), []string{"v1", "v2", "v3"}},
		{"rolled back, order taken away", new(rolledOut).record("v2", rolledBack), []string{"v1", "v3"}},
		{"rolled back, then the next order", new(rolledOut).order("v2").record("v2", rolledBack).order("v3"), []string{"v1", "v3"}},
		{"recorded after the next order", new(rolledOut).order("v3").record("v2", rolledBack), []string{"v1", "v3"}},
		{"undecided at the next order", new(rolledOut).order("v2").record("v2", running).order("v3"), []string{"v1", "v3"}},
		{"done, then the next order", new(rolledOut).order("v2").record("v2", done).order("v3"), []string{"v1", "v2", "v3"}},
		{"only the record of its own is left", new(rolledOut).withdraw(`{"service":"s","versions":["v2"]}`).order("v3").record("v3", running), []string{"v1", "v3"}},
		{"the next one done", new(rolledOut).withdraw(`{"service":"s","versions":["v2"]}`).order("v3").record("v3", done), []string{"v1", "v3"}},
		{"ordered again", new(rolledOut).withdraw(`{"service":"s","versions":["v2"]}`).order("v2"), []string{"v1", "v2", "v3"}},
		{"a record that cannot be read", new(rolledOut).withdraw(`{"service":"s","versions":["v2"]}`).withdraw(`{"versions":7}`).order("v3").record("v3", running), []string{"v1", "v3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := tt.items.group(t, "v1", "v2", "v3")
			var ready, lapsed []string
			for _, ep := range g.Ready {
				ready = append(ready, ep.Version)
			}
			for _, l := range g.Lapsed {
				lapsed = append(lapsed, l.Version)
			}
			slices.Sort(ready)
			slices.Sort(lapsed)
			is.Equal(ready, tt.want)
			is.Equal(lapsed, tt.want)
		})
	}
}

// Guards against records written again though they hold what is withdrawn, or not written though they do not.
func TestWithdrawnVersionsAreRecordedOnce(t *testing.T) {
	is := is.New(t)
	record := `{"service":"s","versions":["v2"]}`
	is.True(!new(rolledOut).group(t, "v1").Withdrawn.Changed())
	is.True(new(rolledOut).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1").Withdrawn.Changed())
	is.True(!new(rolledOut).withdraw(record).order("v3").record("v3", fleet.RolloutRunning).group(t, "v1").Withdrawn.Changed())
	is.True(new(rolledOut).withdraw(record).order("v2").group(t, "v1").Withdrawn.Changed())
}

// Guards against roll-outs whose state is recorded no more because a record before it cannot be read.
func TestAnUnreadableRecordIsOverwritten(t *testing.T) {
	is := is.New(t)
	g := new(rolledOut).withdraw(`not JSON`).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1")
	is.Equal(g.Withdrawn.Versions, []string{"v2"})
	is.True(g.Withdrawn.Changed())
	is.Equal(g.Withdrawn.Recorded, kv.Revision(3)) // after two registrations
}

// The record does not grow with every version that ever failed.
func TestTheOldestWithdrawnVersionsAreForgotten(t *testing.T) {
	is := is.New(t)
	w := ""
	for i := range 40 {
		w += fmt.Sprintf(`,"bad%d"`, i)
	}
	g := new(rolledOut).withdraw(`{"service":"s","versions":["v0"`+w+`]}`).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1")
	is.Equal(len(g.Withdrawn.Versions), 32)
	is.Equal(g.Withdrawn.Versions[31], "v2")
	is.Equal(g.Withdrawn.Versions[0], "bad9")
}
