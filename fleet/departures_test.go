package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against a registration, or the loss of one, that makes an endpoint count again that said that it leaves.
func TestDepartureOutlivesRegistrations(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	registration := func(id, address, version string) string {
		_, value := platformtest.NewEngine(platformtest.EngineConfig{ID: id, Service: "s", Address: address, Domain: "d", Version: version}).Registration(false)
		return string(value)
	}
	entry := registration("e", "127.0.0.1:1", "v1")
	revision := kv.Revision(0)
	write := func(typ kv.EventType, key, value string) {
		revision++
		item := kv.KeyValue{Key: key, Value: []byte(value), ModRevision: revision, CreateRevision: revision}
		x.f.Merge("test", fleet.Changes{Revision: revision, Events: []kv.Event{{Type: typ, KV: item}}}, 0)
	}
	write(kv.EventPut, "servers/e", entry)
	is.Equal(len(x.f.View().Group("s").Ready), 1)
	id := x.f.View().Group("s").Ready[0].ID
	is.True(x.f.AddDepartures("self", []fleet.Departure{{Endpoint: id}}))
	is.True(!x.f.AddDepartures("peer", []fleet.Departure{{Endpoint: id, Age: time.Second}}))
	check := func() {
		t.Helper()
		is.Helper()
		g := x.f.View().Group("s")
		is.Equal(len(g.Ready), 0)
		is.True(!g.HasLapsed(id)) // its exit is no crash
	}
	check()
	write(kv.EventPut, "servers/e", entry)
	check()
	write(kv.EventDelete, "servers/e", "")
	write(kv.EventPut, "servers/e", entry)
	check()
	is.Equal(x.f.Departures()[0].Age, time.Second) // since the first answer

	write(kv.EventDelete, "servers/e", "")
	x.clock.Advance(2 * time.Second)
	write(kv.EventPut, "servers/f", registration("f", "127.0.0.1:2", "v1")) // the lapsed one is forgotten
	x.clock.Advance(2 * time.Minute)
	write(kv.EventPut, "servers/f", registration("f", "127.0.0.1:2", "v2"))
	is.Equal(len(x.f.Departures()), 0)
}

// Guards against entries that tell each other of a departure long after the endpoint has gone.
func TestDepartureOfAnEndpointThatIsGoneIsToldNoMore(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	is.True(x.f.AddDepartures("peer", []fleet.Departure{{Endpoint: "gone", Age: time.Second}}))
	is.Equal(len(x.f.Departures()), 1)
	x.clock.Advance(time.Minute)
	is.Equal(len(x.f.Departures()), 0)
	is.True(!x.f.AddDepartures("peer", []fleet.Departure{{Endpoint: "other", Age: time.Minute}}))
}
