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

// rolloutItems are the items of service s in the order in which they were written.
type rolloutItems struct{ items []kv.KeyValue }

func (r *rolloutItems) put(key, value string) *rolloutItems {
	r.items = append(r.items, kv.KeyValue{Key: key, Value: []byte(value)})
	return r
}

func (r *rolloutItems) order(version string) *rolloutItems {
	return r.put("op/rollout/s", fmt.Sprintf(`{"service":"s","target":%q,"duration_s":16}`, version))
}

func (r *rolloutItems) record(version string, state fleet.RolloutState) *rolloutItems {
	return r.put("status/rollout/s", fmt.Sprintf(`{"target":%q,"state":%q}`, version, state))
}

func (r *rolloutItems) withdraw(value string) *rolloutItems {
	return r.put(fleet.WithdrawnPrefix+"s", value)
}

// group returns service s as seen by an entry that reads these items, with one ready and
// one lapsed endpoint of each version.
func (r *rolloutItems) group(t *testing.T, versions ...string) *fleet.Group {
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

// Guards against requests to endpoints of a bad version, or none to those of a good one, after successive orders.
func TestWithdrawnVersionsHaveNoEndpoints(t *testing.T) {
	const (
		running, done, rolledBack = fleet.RolloutRunning, fleet.RolloutDone, fleet.RolloutRolledBack
	)
	tests := []struct {
		name  string
		items *rolloutItems
		want  []string
	}{
		{"no order", new(rolloutItems), []string{"v1", "v2", "v3"}},
		{"an order under way", new(rolloutItems).order("v2").record("v2", running), []string{"v1", "v2", "v3"}},
		{"rolled back, order in force: not decided here", new(rolloutItems).order("v2").record("v2", rolledBack), []string{"v1", "v2", "v3"}},
		{"rolled back, order taken away", new(rolloutItems).record("v2", rolledBack), []string{"v1", "v3"}},
		{"rolled back, then the next order", new(rolloutItems).order("v2").record("v2", rolledBack).order("v3"), []string{"v1", "v3"}},
		{"recorded after the next order", new(rolloutItems).order("v3").record("v2", rolledBack), []string{"v1", "v3"}},
		{"undecided at the next order", new(rolloutItems).order("v2").record("v2", running).order("v3"), []string{"v1", "v3"}},
		{"done, then the next order", new(rolloutItems).order("v2").record("v2", done).order("v3"), []string{"v1", "v2", "v3"}},
		{"only the record of its own is left", new(rolloutItems).withdraw(`{"service":"s","versions":["v2"]}`).order("v3").record("v3", running), []string{"v1", "v3"}},
		{"the next one done", new(rolloutItems).withdraw(`{"service":"s","versions":["v2"]}`).order("v3").record("v3", done), []string{"v1", "v3"}},
		{"ordered again", new(rolloutItems).withdraw(`{"service":"s","versions":["v2"]}`).order("v2"), []string{"v1", "v2", "v3"}},
		{"a record that cannot be read", new(rolloutItems).withdraw(`{"service":"s","versions":["v2"]}`).withdraw(`{"versions":7}`).order("v3").record("v3", running), []string{"v1", "v3"}},
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

// Guards against a record being written again though unchanged, or not written though changed.
func TestWithdrawnVersionsAreRecordedOnce(t *testing.T) {
	is := is.New(t)
	record := `{"service":"s","versions":["v2"]}`
	is.True(!new(rolloutItems).group(t, "v1").Withdrawn.Changed())
	is.True(new(rolloutItems).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1").Withdrawn.Changed())
	is.True(!new(rolloutItems).withdraw(record).order("v3").record("v3", fleet.RolloutRunning).group(t, "v1").Withdrawn.Changed())
	is.True(new(rolloutItems).withdraw(record).order("v2").group(t, "v1").Withdrawn.Changed())
}

// Guards against roll-out states no longer being recorded because an earlier record is unreadable.
func TestAnUnreadableRecordIsOverwritten(t *testing.T) {
	is := is.New(t)
	g := new(rolloutItems).withdraw(`not JSON`).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1")
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
	g := new(rolloutItems).withdraw(`{"service":"s","versions":["v0"`+w+`]}`).order("v2").record("v2", fleet.RolloutRolledBack).order("v3").group(t, "v1")
	is.Equal(len(g.Withdrawn.Versions), 32)
	is.Equal(g.Withdrawn.Versions[31], "v2")
	is.Equal(g.Withdrawn.Versions[0], "bad9")
}
