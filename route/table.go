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
	byKey    map[string]string              // API key -> customer
	active   map[string][]weighted          // model -> active versions
	backends map[modelVersion][]BackendInfo // sorted by name
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
		backends: map[modelVersion][]BackendInfo{},
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
		t.backends[mv] = append(t.backends[mv], BackendInfo{Name: name, Address: b.Address, Domain: b.Domain, Kind: b.Kind, Idempotent: b.Idempotent})
	}
	for mv := range t.backends {
		bs := t.backends[mv]
		sort.Slice(bs, func(i, j int) bool { return bs[i].Name < bs[j].Name })
	}
	return t
}

// Document returns the document the table was built from.
func (t *Table) Document() *config.Document { return t.doc }
