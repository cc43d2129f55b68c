package route

import (
	"fmt"
	"sort"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
)

// Table is the compiled, read-only form of one configuration revision.
type Table struct {
	Revision      kv.Revision
	doc           *config.Document
	customerByKey map[string]string            // API key -> customer
	active        map[string][]weightedVersion // model -> active versions
	backends      map[modelVersion]*versionBackends
	engines       map[string][]BackendInfo // by failure domain, sorted by name
	// addresses are those of all back ends.
	addresses       map[string]struct{}
	highestPriority int // of any customer
}

// versionBackends indexes one version's back ends by failure domain, so that a
// decision scans its own domain first (about 1/13 of them at the target size)
// and the others only when its own has too few.
type versionBackends struct {
	byDomain map[string][]backendEntry // each sorted by name
	domains  []string                  // sorted
	// evacuated is how many back ends are left out, as their failure domains are evacuated.
	evacuated int
}

type backendEntry struct {
	info     BackendInfo
	nameHash uint64 // for prefix affinity, computed once per revision
}

type weightedVersion struct {
	version  string
	weight   int
	subject  string // for Halts
	baseline string // version served instead after a halt; may be ""
}

// Subject identifies one attempt to roll out a version; Halts is keyed by it.
// Halts are never revoked, so an operator who wants to try a halted version
// again raises its attempt.
func Subject(model, version string, v config.Version) string {
	return fmt.Sprintf("%s@%s#%d", model, version, v.Attempt)
}

type modelVersion struct{ model, version string }

// BackendInfo is what the gateway needs to call a back end.
type BackendInfo struct {
	Name       string
	Address    string
	Domain     string
	Kind       string
	Idempotent bool
	Capacity   int // concurrent requests; 0 if unknown
	Model      string
	Version    string
}

// Serves returns the model@version the back end is configured to serve. It is
// called with this model name, so that one serving another version refuses.
func (b *BackendInfo) Serves() string { return b.Model + "@" + b.Version }

// NewTable compiles a validated document.
func NewTable(rev kv.Revision, doc *config.Document) *Table {
	t := &Table{
		Revision:      rev,
		doc:           doc,
		customerByKey: map[string]string{},
		active:        map[string][]weightedVersion{},
		backends:      map[modelVersion]*versionBackends{},
		engines:       map[string][]BackendInfo{},

		addresses: make(map[string]struct{}, len(doc.Backends)),
	}
	for name, c := range doc.Customers {
		for _, k := range c.APIKeys {
			t.customerByKey[k] = name
		}
		t.highestPriority = max(t.highestPriority, c.Priority)
	}
	for name, m := range doc.Models {
		for v, ver := range m.Versions {
			if ver.State == config.StateActive && ver.Weight > 0 {
				t.active[name] = append(t.active[name], weightedVersion{version: v, weight: ver.Weight, subject: Subject(name, v, ver), baseline: baselineOf(m, ver)})
			}
		}
		sort.Slice(t.active[name], func(i, j int) bool { return t.active[name][i].version < t.active[name][j].version })
	}
	for name, b := range doc.Backends {
		t.addresses[b.Address] = struct{}{}
		mv := modelVersion{b.Model, b.Version}
		vb := t.backends[mv]
		if vb == nil {
			vb = &versionBackends{byDomain: map[string][]backendEntry{}}
			t.backends[mv] = vb
		}
		if doc.Domains[b.Domain].Evacuated {
			vb.evacuated++
			continue
		}
		info := BackendInfo{Name: name, Address: b.Address, Domain: b.Domain, Kind: b.Kind, Idempotent: b.Idempotent, Capacity: b.Capacity, Model: b.Model, Version: b.Version}
		vb.byDomain[b.Domain] = append(vb.byDomain[b.Domain], backendEntry{info: info, nameHash: hash64(name)})
		if b.Kind == config.KindEngine {
			t.engines[b.Domain] = append(t.engines[b.Domain], info)
		}
	}
	for _, list := range t.engines {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	for _, vb := range t.backends {
		for d, list := range vb.byDomain {
			sort.Slice(list, func(i, j int) bool { return list[i].info.Name < list[j].info.Name })
			vb.domains = append(vb.domains, d)
		}
		sort.Strings(vb.domains)
	}
	return t
}

// baselineOf returns the version that replaces v when v is halted, or "" if
// that version is not active.
func baselineOf(m config.Model, v config.Version) string {
	if v.Guard == nil || m.Versions[v.Guard.Baseline].State != config.StateActive {
		return ""
	}
	return v.Guard.Baseline
}

// Engines returns the engines of a failure domain, sorted by name. The
// caller must not change the slice.
func (t *Table) Engines(domain string) []BackendInfo { return t.engines[domain] }

// HasBackend reports whether the configuration names the back end.
func (t *Table) HasBackend(name string) bool {
	_, ok := t.doc.Backends[name]
	return ok
}

// HasAddress reports whether a configured back end has the address.
func (t *Table) HasAddress(address string) bool {
	_, ok := t.addresses[address]
	return ok
}

// Guarded returns the subject of a version and its guard, which is nil when the
// version is not guarded.
func (t *Table) Guarded(model, version string) (string, *config.Guard) {
	v := t.doc.Models[model].Versions[version]
	return Subject(model, version, v), v.Guard
}

// SkipBelow returns the share of answers that must pass a cascade's step with
// model for it to be worth trying before the step with next: the configured
// one, else the ratio of their costs.
func (t *Table) SkipBelow(cascade, model, next string) float64 {
	if s := t.doc.Cascades[cascade].SkipBelow; s > 0 {
		return s
	}
	cost, nextCost := t.doc.Models[model].CostPerMTok, t.doc.Models[next].CostPerMTok
	if nextCost <= 0 {
		return 0
	}
	return cost / nextCost
}

// Document returns the document the table was built from.
func (t *Table) Document() *config.Document { return t.doc }
