package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/kv"
)

// plainDecoder decodes endpoints from the JSON of their type, and the other kinds by their keys.
type plainDecoder struct{ Decoder }

func (plainDecoder) Classify(key string) (ItemKind, string) {
	switch key[0] {
	case 'e':
		return ItemEndpoint, key
	case 'd':
		return ItemEvacuation, key
	case 'o':
		return ItemRollout, key[1:]
	}
	return ItemWithdrawn, key[1:]
}

func (plainDecoder) Endpoint(_ string, value []byte) (Registration, error) {
	var r Registration
	err := json.Unmarshal(value, &r.Endpoint)
	return r, err
}

func (plainDecoder) Rollout(value []byte) (Rollout, error) {
	return Rollout{Target: string(value)}, nil
}

// Guards against a view that keeps an endpoint that left, or misses one, since only the changed ones are placed anew.
func TestChangedViewEqualsOneBuiltFromScratch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(label, prefix string, n int) string {
			return prefix + fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, label))
		}
		now := time.Now()
		var builders []*builder
		for range 2 {
			builders = append(builders, newBuilder(plainDecoder{}, 3*time.Second, slog.New(slog.NewTextHandler(io.Discard, nil))))
		}
		changed, scratch := builders[0], builders[1]
		for rev := kv.Revision(1); rev < 40; rev++ {
			e := kv.Event{KV: kv.KeyValue{ModRevision: rev, CreateRevision: rev - kv.Revision(rapid.IntRange(0, 3).Draw(t, "age"))}}
			if rapid.Bool().Draw(t, "remove") {
				e.Type = kv.EventDelete
			}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				e.KV.Key = pick("domain", "d", 3)
			case 1:
				e.KV.Key, e.KV.Value = "o"+pick("service", "s", 2), []byte(pick("version", "v", 3))
			case 2:
				e.KV.Key = "w" + pick("service", "s", 2)
				e.KV.Value = []byte(`{"versions":["` + pick("version", "v", 3) + `"]}`)
			default:
				e.KV.Key = pick("endpoint", "e", 8)
				e.KV.Value, _ = json.Marshal(Endpoint{ID: IncarnationID(e.KV.Key, rapid.Int64Range(0, 2).Draw(t, "born")), Name: e.KV.Key, Service: pick("service", "s", 2),
					Address: pick("address", "a", 6), Domain: pick("domain", "d", 3), Version: pick("version", "v", 3), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0})
			}
			departs := EndpointID("")
			if rapid.IntRange(0, 5).Draw(t, "departs") == 0 {
				departs = IncarnationID(pick("departing", "e", 8), rapid.Int64Range(0, 2).Draw(t, "departing_born"))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, b := range builders {
				b.apply(e, now)
				if departs != "" && b.departures.add(departs, now, now) {
					b.changed[departs.Name()] = true
				}
			}
			if rapid.Bool().Draw(t, "more") {
				continue // several changes before the next view
			}
			scratch.all = true
			a, b := changed.view(rev, now), scratch.view(rev, now)
			if !reflect.DeepEqual(a.OpenDomains(), b.OpenDomains()) || len(a.groups) != len(b.groups) {
				t.Fatalf("revision %d: open %v and %v, %d and %d services", rev, a.OpenDomains(), b.OpenDomains(), len(a.groups), len(b.groups))
			}
			for name, g := range a.groups {
				if g, other := simplified(g), simplified(b.groups[name]); !reflect.DeepEqual(g, other) {
					t.Fatalf("revision %d, %s:\n%+v\n%+v", rev, name, g, other)
				}
			}
		}
	})
}

// simplified returns a group without the difference between no list and an empty one.
func simplified(g *Group) Group {
	out := *g
	for _, l := range []*[]Endpoint{&out.Ready, &out.Evacuated} {
		if len(*l) == 0 {
			*l = nil
		}
	}
	return out
}

// Guards against a change of one endpoint costing an entry more than in proportion to the fleet.
func TestAChangeOfOneEndpointPlacesOnlyThatOne(t *testing.T) {
	for _, n := range []int{500, 1000, 2000} {
		b := newBuilder(benchDecoder{}, time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
		now := time.Now()
		for i := range n {
			b.apply(endpointEvent(i, kv.Revision(i+1)), now)
		}
		b.view(kv.Revision(n), now)
		b.apply(endpointEvent(0, kv.Revision(n+1)), now)
		if len(b.changed) != 1 || b.all {
			t.Fatalf("of %d endpoints %d are placed anew, all: %v", n, len(b.changed), b.all)
		}
	}
}
