package config

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Finding is one problem with its location: the file (for decoding errors) or
// the path in the merged document.
type Finding struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

func (f Finding) String() string {
	switch {
	case f.File != "" && f.Path != "":
		return fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Message)
	case f.File != "":
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	default:
		return fmt.Sprintf("%s: %s", f.Path, f.Message)
	}
}

// Findings is every problem found; it is an error so callers can return it.
type Findings []Finding

func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%d finding(s):\n  %s", len(fs), strings.Join(lines, "\n  "))
}

type checker struct{ out Findings }

func (c *checker) addf(path, format string, args ...any) {
	c.out = append(c.out, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Validate checks the document and returns every finding, or nil.
func Validate(d *Document) Findings {
	c := &checker{}
	c.models(d)
	c.cascades(d)
	c.customers(d)
	c.backends(d)
	c.domains(d)
	return c.out
}

func (c *checker) domains(d *Document) {
	known := map[string]bool{}
	for _, b := range d.Backends {
		known[b.Domain] = true
	}
	for _, name := range sortedKeys(d.Domains) {
		if !known[name] {
			c.addf("domains."+name, "no back end is in failure domain %q", name)
		}
	}
}

func (c *checker) models(d *Document) {
	for _, name := range sortedKeys(d.Models) {
		m := d.Models[name]
		path := "models." + name
		if len(m.Versions) == 0 {
			c.addf(path+".versions", "a model needs at least one version")
		}
		total := 0
		for _, v := range sortedKeys(m.Versions) {
			ver := m.Versions[v]
			vp := path + ".versions." + v
			switch ver.State {
			case StateActive:
				if ver.Weight < 0 {
					c.addf(vp+".weight", "weight %d is negative", ver.Weight)
				}
				total += ver.Weight
			case StateWithdrawn:
				if ver.Weight != 0 {
					c.addf(vp+".weight", "a withdrawn version must have weight 0, has %d", ver.Weight)
				}
			default:
				c.addf(vp+".state", "state %q is not one of active, withdrawn", ver.State)
			}
			c.guard(vp+".guard", v, ver.Guard, m)
		}
		if len(m.Versions) > 0 && total == 0 {
			c.addf(path+".versions", "no active version has weight above 0: new sessions could go nowhere")
		}
	}
}

func (c *checker) guard(path, version string, g *Guard, m Model) {
	if g == nil {
		return
	}
	base, ok := m.Versions[g.Baseline]
	switch {
	case g.Baseline == version:
		c.addf(path+".baseline", "a version cannot be its own baseline")
	case !ok:
		c.addf(path+".baseline", "unknown version %q", g.Baseline)
	case base.State != StateActive:
		c.addf(path+".baseline", "baseline %q is not active: a halt would leave nothing to serve", g.Baseline)
	}
	if g.MinScore < 0 || g.MinScore > 1 {
		c.addf(path+".min_score", "min_score %v is outside 0..1", g.MinScore)
	}
}

func (c *checker) cascades(d *Document) {
	for _, name := range sortedKeys(d.Cascades) {
		path := "cascades." + name
		if _, clash := d.Models[name]; clash {
			c.addf(path, "a cascade may not share its name with a model")
		}
		cs := d.Cascades[name]
		if len(cs.Steps) == 0 {
			c.addf(path+".steps", "a cascade needs at least one step")
		}
		if cs.SkipBelow < 0 || cs.SkipBelow > 1 {
			c.addf(path+".skip_below", "skip_below %v is outside 0..1", cs.SkipBelow)
		}
		for i, st := range cs.Steps {
			sp := fmt.Sprintf("%s.steps[%d]", path, i)
			if _, ok := d.Models[st.Model]; !ok {
				c.addf(sp+".model", "unknown model %q", st.Model)
			}
			if st.MinScore < 0 || st.MinScore > 1 {
				c.addf(sp+".min_score", "min_score %v is outside 0..1", st.MinScore)
			}
		}
	}
}

func (c *checker) customers(d *Document) {
	keys := map[string]string{}
	for _, name := range sortedKeys(d.Customers) {
		cu := d.Customers[name]
		path := "customers." + name
		if len(cu.APIKeys) == 0 {
			c.addf(path+".api_keys", "a customer needs at least one API key")
		}
		for i, k := range cu.APIKeys {
			if other, dup := keys[k]; dup {
				c.addf(fmt.Sprintf("%s.api_keys[%d]", path, i), "key is also given to customer %q", other)
			}
			keys[k] = name
		}
		for _, target := range sortedKeys(cu.Allow) {
			ap := path + ".allow." + target
			m, isModel := d.Models[target]
			_, isCascade := d.Cascades[target]
			if !isModel && !isCascade {
				c.addf(ap, "unknown model or cascade %q", target)
				continue
			}
			if isCascade && !slices.ContainsFunc(d.Cascades[target].Steps, func(st Step) bool { _, ok := cu.Allow[st.Model]; return ok }) {
				c.addf(ap, "none of the cascade's models is allowed, so every request would be refused")
			}
			for _, v := range cu.Allow[target] {
				if v == AnyVersion || isCascade {
					continue
				}
				if _, ok := m.Versions[v]; !ok {
					c.addf(ap, "unknown version %q", v)
				}
			}
		}
	}
}

func (c *checker) backends(d *Document) {
	addrs := map[string]string{}
	for _, name := range sortedKeys(d.Backends) {
		b := d.Backends[name]
		path := "backends." + name
		if b.Address == "" {
			c.addf(path+".address", "an address is required")
		} else if other, dup := addrs[b.Address]; dup {
			c.addf(path+".address", "address %s is also used by %q", b.Address, other)
		}
		addrs[b.Address] = name
		if b.Domain == "" {
			c.addf(path+".domain", "a failure domain is required")
		}
		if b.Capacity < 0 {
			c.addf(path+".capacity", "capacity %d is negative", b.Capacity)
		}
		switch b.Kind {
		case KindEngine, KindService:
		default:
			c.addf(path+".kind", "kind %q is not one of engine, service", b.Kind)
		}
		m, ok := d.Models[b.Model]
		if !ok {
			c.addf(path+".model", "unknown model %q", b.Model)
			continue
		}
		if _, ok := m.Versions[b.Version]; !ok {
			c.addf(path+".version", "unknown version %q of model %q", b.Version, b.Model)
		}
	}
}
