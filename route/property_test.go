package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/config"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
)

// configOnlyView is that of an entry in fd-1 without any runtime state.
var configOnlyView = View{Domain: "fd-1"}

// genDoc draws a document with one customer whose allow list is a random
// subset of a model's versions, random roll-out weights, and one back end
// per version.
func genDoc(t *rapid.T) (*config.Document, []string) {
	nv := rapid.IntRange(1, 5).Draw(t, "versions")
	m := config.Model{Versions: map[string]config.Version{}}
	var all []string
	doc := &config.Document{Models: map[string]config.Model{}, Backends: map[string]config.Backend{}, Customers: map[string]config.Customer{}}
	for i := 0; i < nv; i++ {
		v := fmt.Sprintf("v%d", i)
		all = append(all, v)
		m.Versions[v] = config.Version{State: config.StateActive, Weight: rapid.IntRange(0, 100).Draw(t, "w"+v)}
		doc.Backends["b-"+v] = config.Backend{Kind: config.KindEngine, Address: "127.0.0.1:1" + v[1:], Domain: "fd-1", Model: "m", Version: v}
	}
	doc.Models["m"] = m
	allowed := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, nv, rapid.ID[string]).Draw(t, "allowed")
	doc.Customers["c"] = config.Customer{APIKeys: []string{"k"}, Allow: map[string][]string{"m": allowed}}
	return doc, allowed
}

// nextRolloutStep draws new weights and possibly withdrawn versions.
func nextRolloutStep(t *rapid.T, doc *config.Document) *config.Document {
	next := *doc
	m := config.Model{Versions: map[string]config.Version{}}
	for v, ver := range doc.Models["m"].Versions {
		ver.Weight = rapid.IntRange(0, 100).Draw(t, "w2"+v)
		if rapid.IntRange(0, 4).Draw(t, "withdraw"+v) == 0 {
			ver = config.Version{State: config.StateWithdrawn}
		}
		m.Versions[v] = ver
	}
	next.Models = map[string]config.Model{"m": m}
	return &next
}

// TestPropertyDecisionStaysInAllowList checks invariant 1. Whatever the weights,
// sessions and pins (even a pin forged for a version outside the allow
// list), a decision names only a version the customer may use, and only
// back ends of that version.
func TestPropertyDecisionStaysInAllowList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, allowed := genDoc(t)
		tab := NewTable(1, doc)
		r := Request{APIKey: "k", Model: "m", Session: rapid.String().Draw(t, "session"),
			Pins: map[string]string{"m": rapid.SampledFrom([]string{"", "v0", "v1", "v2", "v3", "v4"}).Draw(t, "pin")}, PinnedCustomer: "c"}
		dec, ref := tab.Decide(r, configOnlyView)
		if ref != nil {
			return
		}
		if !slices.Contains(allowed, dec.Version) {
			t.Fatalf("decided version %s outside allow list %v", dec.Version, allowed)
		}
		for _, b := range dec.Candidates {
			if doc.Backends[b.Name].Version != dec.Version {
				t.Fatalf("candidate %s serves %s, not %s", b.Name, doc.Backends[b.Name].Version, dec.Version)
			}
		}
	})
}

// TestPropertySessionKeepsItsVersion checks invariant 3: a session never changes
// its version. Without a pin the version is a hash of the session over the
// weights, so an operator who changes the weights or withdraws versions would
// move it mid-conversation. With the pin the version is kept, or the request is
// refused as version_withdrawn.
func TestPropertySessionKeepsItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, _ := genDoc(t)
		sess := rapid.StringN(1, 12, -1).Draw(t, "session")
		first, ref := NewTable(1, doc).Decide(Request{APIKey: "k", Model: "m", Session: sess}, configOnlyView)
		if ref != nil {
			return
		}
		next := NewTable(2, nextRolloutStep(t, doc))
		again, ref := next.Decide(Request{APIKey: "k", Model: "m", Session: sess,
			Pins: map[string]string{"m": first.Version}, PinnedCustomer: first.Customer}, configOnlyView)
		if ref != nil {
			if ref.Code != CodeVersionWithdrawn && ref.Code != CodeNoBackend {
				t.Fatalf("refusal %s for a pinned session", ref.Code)
			}
			return
		}
		if again.Version != first.Version {
			t.Fatalf("session %q moved from %s to %s", sess, first.Version, again.Version)
		}
	})
}

// TestPropertyWithdrawnVersionGetsNoNewWork checks invariant 2 for decisions: no
// request, pinned or not, is routed to a withdrawn version.
func TestPropertyWithdrawnVersionGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, _ := genDoc(t)
		doc = nextRolloutStep(t, doc)
		tab := NewTable(1, doc)
		pin := rapid.SampledFrom([]string{"", "v0", "v1", "v2", "v3", "v4"}).Draw(t, "pin")
		dec, ref := tab.Decide(Request{APIKey: "k", Model: "m", Session: rapid.String().Draw(t, "s"), Pins: map[string]string{"m": pin}, PinnedCustomer: "c"}, configOnlyView)
		if ref != nil {
			return
		}
		if st := doc.Models["m"].Versions[dec.Version].State; st != config.StateActive {
			t.Fatalf("routed to %s in state %s", dec.Version, st)
		}
	})
}

type loadMap map[string]int

func (m loadMap) State(b *BackendInfo) (int, bool) { l := m[b.Name]; return l, l >= 0 }

// TestPropertyCandidatesMatchFullSort checks that the domain index and top-K
// selection pick exactly what scoring and sorting every back end would: own
// domain first, then least loaded, then affinity, and never a leaving one
// (negative load here).
func TestPropertyCandidatesMatchFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "backends")
		doc := &config.Document{Backends: map[string]config.Backend{},
			Models: map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}}}
		loads := loadMap{}
		for i := 0; i < n; i++ {
			name := fmt.Sprintf("b%02d", i)
			doc.Backends[name] = config.Backend{Kind: config.KindEngine, Address: name, Model: "m", Version: "v1",
				Domain: rapid.SampledFrom([]string{"fd-1", "fd-2", "fd-3"}).Draw(t, "domain"+name)}
			loads[name] = rapid.IntRange(-1, 12).Draw(t, "load"+name)
		}
		affinity := rapid.String().Draw(t, "affinity")
		got, _ := NewTable(1, doc).candidates("m", "v1", affinity, View{Domain: "fd-1", Endpoints: loads})
		var want []scored
		ah := hash64(affinity)
		for name, b := range doc.Backends {
			if loads[name] >= 0 {
				want = append(want, scored{info: &BackendInfo{Name: name}, local: b.Domain == "fd-1", load: loads[name], level: levelOf(loads[name], 0), affinity: mix(ah ^ hash64(name))})
			}
		}
		slices.SortFunc(want, func(a, b scored) int {
			if a.better(&b) {
				return -1
			}
			if b.better(&a) {
				return 1
			}
			return 0
		})
		if len(want) > maxCandidates {
			want = want[:maxCandidates]
		}
		if len(got) != len(want) {
			t.Fatalf("got %d candidates, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i].Name != want[i].info.Name {
				t.Fatalf("candidate %d: got %s, want %s", i, got[i].Name, want[i].info.Name)
			}
		}
	})
}

type haltSet map[string]bool

func (h haltSet) Halted(subject string) bool { return h[subject] }

// TestPropertyHaltedVersionGetsNoNewWork checks invariant 2 for a version halted
// by its guard while sessions are pinned to it and the weights send it new ones.
// No request may reach it: new sessions go to its baseline if the customer may
// use that and are refused otherwise; pinned ones get version_withdrawn.
func TestPropertyHaltedVersionGetsNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc, allowed := genDoc(t)
		m := doc.Models["m"]
		bad, base := "v0", "v1"
		if _, ok := m.Versions[base]; !ok {
			return
		}
		v := m.Versions[bad]
		v.Guard = &config.Guard{Baseline: base}
		m.Versions[bad] = v
		halted := View{Domain: "fd-1", Halts: haltSet{Subject("m", bad, v): true}}
		pin := rapid.SampledFrom([]string{"", bad, base}).Draw(t, "pin")
		dec, ref := NewTable(1, doc).Decide(Request{APIKey: "k", Model: "m", Session: rapid.String().Draw(t, "s"),
			Pins: map[string]string{"m": pin}, PinnedCustomer: "c"}, halted)
		if ref != nil {
			if pin == bad && ref.Code != CodeVersionWithdrawn {
				t.Fatalf("a session pinned to the halted version was refused %s", ref.Code)
			}
			return
		}
		if dec.Version == bad || !slices.Contains(allowed, dec.Version) {
			t.Fatalf("routed to %s (allowed %v)", dec.Version, allowed)
		}
	})
}

// TestOneOffRequestsFollowTheWeights guards against a roll-out at 10% that gets
// all or none of the requests without a session: when the version was hashed on
// the session alone, all of them had the same hash and went to one version.
func TestOneOffRequestsFollowTheWeights(t *testing.T) {
	doc := &config.Document{
		Models: map[string]config.Model{"m": {Versions: map[string]config.Version{
			"v1": {State: config.StateActive, Weight: 90}, "v2": {State: config.StateActive, Weight: 10}}}},
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {"*"}}}},
		Backends: map[string]config.Backend{
			"b1": {Kind: config.KindEngine, Address: "127.0.0.1:1", Domain: "fd-1", Model: "m", Version: "v1"},
			"b2": {Kind: config.KindEngine, Address: "127.0.0.1:2", Domain: "fd-1", Model: "m", Version: "v2"}},
	}
	tab := NewTable(1, doc)
	got := 0
	const n = 10000
	for i := range n {
		dec, ref := tab.Decide(Request{APIKey: "k", Model: "m", ID: fmt.Sprintf("e1-dnaj4oc4spzp-%d", i)}, configOnlyView)
		if ref != nil {
			t.Fatal(ref)
		}
		if dec.Version == "v2" {
			got++
		}
	}
	if got < n*9/100 || got > n*11/100 {
		t.Fatalf("v2 got %d of %d one-off requests at a weight of 10 in 100", got, n)
	}
}

// TestPropertyShedsLowestPriorityFirst checks a pool short of capacity. Whatever
// the load, a customer is shed only if every lower priority is too, the highest
// is never shed, and below 7/10 of the capacity none is.
func TestPropertyShedsLowestPriorityFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 100).Draw(t, "capacity")
		load := rapid.IntRange(0, 120).Draw(t, "load")
		doc := &config.Document{
			Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v1": {State: config.StateActive, Weight: 1}}}},
			Customers: map[string]config.Customer{},
			Backends:  map[string]config.Backend{"b": {Kind: config.KindEngine, Address: "a", Domain: "fd-1", Model: "m", Version: "v1", Capacity: capacity}},
		}
		const levels = 5
		for p := range levels {
			doc.Customers[fmt.Sprint(p)] = config.Customer{APIKeys: []string{fmt.Sprint(p)}, Priority: p, Allow: map[string][]string{"m": {"*"}}}
		}
		tab := NewTable(1, doc)
		higherShed := false
		for p := levels - 1; p >= 0; p-- {
			_, ref := tab.Decide(Request{APIKey: fmt.Sprint(p), Model: "m", ID: "r"}, View{Domain: "fd-1", Endpoints: loadMap{"b": load}})
			shed := ref != nil && ref.Code == CodeShed
			switch {
			case higherShed && !shed:
				t.Fatalf("priority %d is served while a higher one is shed", p)
			case shed && p == levels-1:
				t.Fatal("the highest priority is shed")
			case shed && load < capacity*7/10:
				t.Fatalf("shed at load %d of %d", load, capacity)
			case shed && ref.RetryAfter == 0:
				t.Fatal("shed without RetryAfter")
			}
			higherShed = shed
		}
	})
}
