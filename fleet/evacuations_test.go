package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against endpoints that turned cold during an evacuation getting their usual share when it ends.
func TestEndpointsCountAsColdAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	revision := kv.Revision(0)
	write := func(typ kv.EventType, key string, value []byte) {
		revision++
		item := kv.KeyValue{Key: key, Value: value, ModRevision: revision, CreateRevision: revision}
		x.f.Merge("test", fleet.Changes{Revision: revision, Events: []kv.Event{{Type: typ, KV: item}}}, 0)
	}
	const coldFor = 3 * time.Second
	write(kv.EventPut, "op/config", platformtest.EncodeConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", ColdFor: coldFor, ColdPerSecond: 9}}}))
	for _, domain := range []string{"d1", "d2"} {
		c := platformtest.EngineConfig{ID: "e-" + domain, Service: "s", Address: "127.0.0." + domain[1:] + ":1", Domain: domain, Version: "v1"}
		key, value := platformtest.NewEngine(c).Registration(false)
		write(kv.EventPut, key, value)
	}
	write(kv.EventPut, "op/evacuate/d2", []byte("not JSON"))
	g := x.f.View().Group("s")
	is.Equal(len(g.Ready), 1)
	is.Equal(len(g.Evacuated), 1)
	is.Equal(x.f.View().OpenDomains(), []string{"d1"})

	x.clock.Advance(time.Second)
	write(kv.EventDelete, "op/evacuate/d2", nil)
	back := x.clock.Now()
	g = x.f.View().Group("s")
	is.Equal(len(g.Ready), 2)
	is.True(g.Ready[0].ColdUntil.IsZero())
	is.True(g.Ready[1].ColdUntil.Equal(back.Add(coldFor)))
}
