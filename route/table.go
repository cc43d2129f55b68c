package route

import (
	"sort"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
)

// Table is the compiled, read-only form of one configuration revision.
type Table struct {
	Revision kv.Revision
	doc      *config.Document
	byKey    map[string]string     // API key -> customer
	active   map[string][]weighted // model -> active versions
	backends map[modelVersion]*versionBackends
}

// versionBackends indexes one version's back ends by failure domain, so a
// decision scans its own domain first (~1/13 of them at target size) and
// the others only when its own has too few.
type versionBackends struct {
	byDomain map[string][]backendEntry // each sorted by name
	domains  []string                  // sorted
}

type backendEntry struct {
	info     BackendInfo
	nameHash uint64 // for prefix affinity, computed once per revision
}

type weighted struct {
	version string
	weight  int
}

type modelVersion struct{ model, version string }

// BackendInfo is what the gateway needs to call a back end.
type BackendInfo struct {
	Name       string
	Address    string
	Domain     string
	Kind       string
	Idempotent bool
}

// NewTable compiles a validated document.
func NewTable(rev kv.Revision, doc *config.Document) *Table {
	t := &Table{
		Revision: rev,
		doc:      doc,
		byKey:    map[string]string{},
		active:   map[string][]weighted{},
		backends: map[modelVersion]*versionBackends{},
	}
	for name, c := range doc.Customers {
		for _, k := range c.APIKeys {
			t.byKey[k] = name
		}
	}
	for name, m := range doc.Models {
		for v, ver := range m.Versions {
			if ver.State == config.StateActive && ver.Weight > 0 {
				t.active[name] = append(t.active[name], weighted{v, ver.Weight})
			}
		}
		sort.Slice(t.active[name], func(i, j int) bool { return t.active[name][i].version < t.active[name][j].version })
	}
	for name, b := range doc.Backends {
		mv := modelVersion{b.Model, b.Version}
		vb := t.backends[mv]
		if vb == nil {
			vb = &versionBackends{byDomain: map[string][]backendEntry{}}
			t.backends[mv] = vb
		}
		info := BackendInfo{Name: name, Address: b.Address, Domain: b.Domain, Kind: b.Kind, Idempotent: b.Idempotent}
		vb.byDomain[b.Domain] = append(vb.byDomain[b.Domain], backendEntry{info: info, nameHash: hash64(name)})
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

// Document returns the document the table was built from.
func (t *Table) Document() *config.Document { return t.doc }
