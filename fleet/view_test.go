package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

func viewOf(t *testing.T, c *fleet.Config) *fleet.View {
	x := newFixture(t)
	item := kv.KeyValue{Key: "op/config", Value: platformtest.EncodeConfig(c), ModRevision: 1}
	x.f.Merge("test", fleet.Changes{Revision: 1, Whole: true, Events: []kv.Event{{KV: item}}}, 0)
	return x.f.View()
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	to := []fleet.Target{{Service: "s", Weight: 1}}
	v := viewOf(t, &fleet.Config{Version: 1, Routes: []fleet.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Targets: to},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: to},
		{Name: "other", Host: "b.example", Prefix: "/x/", Targets: to},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:80", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/xx", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := v.Route(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestAKeyBelongsToItsCustomer(t *testing.T) {
	is := is.New(t)
	v := viewOf(t, &fleet.Config{Version: 1, Customers: []fleet.Customer{{Name: "c1", Keys: []string{"k1", "k2"}}, {Name: "c2", Keys: []string{"k3"}}}})
	is.Equal(v.Customer("k2").Name, "c1")
	is.Equal(v.Customer("k3").Name, "c2")
	is.True(v.Customer("k4") == nil)
	is.True(v.Customer("") == nil)
}

// Guards against a new roll-out counting as done or rolled back at its start because the
// status of an earlier order for the same service is still recorded.
func TestRolloutIgnoresStatusOlderThanOrder(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	put := func(key, value string, rev kv.Revision) kv.Event {
		return kv.Event{KV: kv.KeyValue{Key: key, Value: []byte(value), ModRevision: rev}}
	}
	x.f.Merge("test", fleet.Changes{Revision: 9, Whole: true, Events: []kv.Event{
		put("status/rollout/s", `{"state":"rolled_back","target":"v2"}`, 5),
		put("op/rollout/s", `{"service":"s","target":"v2","duration_s":10}`, 7),
	}}, 0)
	r := x.f.View().Group("s").Rollout
	is.Equal(r.State, fleet.RolloutPending)
	is.Equal(r.Recorded, kv.Revision(5)) // the condition for the next record
	x.f.Merge("test", fleet.Changes{Revision: 12, Events: []kv.Event{put("status/rollout/s", `{"state":"running","target":"v2"}`, 11)}}, 0)
	is.Equal(x.f.View().Group("s").Rollout.State, fleet.RolloutRunning)
}
