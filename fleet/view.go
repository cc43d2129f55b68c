package fleet

import (
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// Entry is the registration of an entry.
type Entry struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Address     string `json:"address"` // where it serves peers, IP:port
	LoadAddress string `json:"loads"`   // where it receives load datagrams, IP:port
	Boot        int64  `json:"boot"`    // identifies this run of its process
	// LinkMbps is the bandwidth of the entry's network link in Mbit/s; 0: not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// EntryPrefix is the prefix under which entries register.
const EntryPrefix = "lovageweir/entries/"

// Key returns the key of the entry's registration.
func (e Entry) Key() string { return domainPrefix(e.Domain) + e.Instance }

// domainPrefix returns the prefix of the registrations of a failure domain's entries.
func domainPrefix(domain string) string { return EntryPrefix + domain + "/" }

// Lapsed is an endpoint whose registration ended without notice, or that said in an answer that
// it leaves. In the first case it has crashed, or it is alive but could not reach the store in
// time to renew its registration.
type Lapsed struct {
	Endpoint
	Since   time.Time // on the monotonic clock
	Leaving bool      // it said that it leaves
}

// Group is the endpoints of one service. Ready and Lapsed do not contain endpoints of withdrawn
// versions or of evacuated failure domains, so that code that chooses an endpoint need not filter
// them out.
type Group struct {
	Service Service
	// Ready take new requests, sorted by ID.
	Ready []Endpoint
	// Lapsed are a last resort while no endpoint is ready.
	Lapsed []Lapsed
	// Evacuated would be ready if their failure domains were not evacuated, sorted by ID.
	Evacuated []Endpoint
	// Withdrawn are the versions that get no requests.
	Withdrawn Withdrawn
	// Rollout is the order in force for the service, or nil.
	Rollout *Rollout
}

// HasLapsed reports whether an endpoint is one whose registration lapsed without notice.
func (g *Group) HasLapsed(id EndpointID) bool {
	return slices.ContainsFunc(g.Lapsed, func(l Lapsed) bool { return l.ID == id && !l.Leaving })
}

// IsReady reports whether an endpoint takes new requests.
func (g *Group) IsReady(id EndpointID) bool {
	return slices.ContainsFunc(g.Ready, func(ep Endpoint) bool { return ep.ID == id })
}

// View is one consistent state. It is immutable.
type View struct {
	Revision kv.Revision
	Config   *Config // nil: not known yet
	Entries  []Entry
	// Quarantine holds the requests recorded as crashing endpoints.
	Quarantine *Quarantine
	// QuarantinedParts holds the parts of prompts recorded as crashing endpoints.
	QuarantinedParts *Quarantine
	// Lost are the records of quarantined requests that the store lost.
	Lost []LostRecord
	// Evacuated are the failure domains whose endpoints are to get no requests, sorted.
	Evacuated []string

	watchers    watchers // of Entries
	groups      map[string]*Group
	openDomains []string
	// byHost lists the routes of each host, longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// EmptyView returns a view without data.
func EmptyView() *View { return &View{groups: map[string]*Group{}} }

// Route returns the route for a request's host and path, or nil.
func (v *View) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range v.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the holder of an API key, or nil.
func (v *View) Customer(key string) *Customer {
	if key == "" {
		return nil
	}
	return v.byKey[key]
}

// RequiresKey reports whether requests on a route need an API key.
func (v *View) RequiresKey(r *Route) bool { return v.Config.KeysRequired && !r.Public }

// IsEvacuated reports whether the endpoints of a failure domain are to get no requests.
func (v *View) IsEvacuated(domain string) bool { return slices.Contains(v.Evacuated, domain) }

// OpenDomains returns the failure domains of all endpoints that may get requests, sorted.
func (v *View) OpenDomains() []string { return v.openDomains }

// Group returns a service's endpoints, or nil if none are known.
func (v *View) Group(service string) *Group { return v.groups[service] }

// IsWatcher reports whether an entry watches the store for all. One that the view does
// not list watches for itself.
func (v *View) IsWatcher(instance string) bool { return v.watchers.isWatcher(instance) }

// HasEntry reports whether an entry is listed.
func (v *View) HasEntry(instance string) bool {
	_, known := v.watchers.roles[instance]
	return known
}

// IsRelay reports whether an entry passes the watchers' data on to others.
func (v *View) IsRelay(instance string) bool { return v.watchers.roles[instance] == relays }

// Sources returns the entries that others ask for changes: the watchers and relays.
func (v *View) Sources() []Entry { return v.watchers.sources }

// SourcesIn returns those of a failure domain, and how many entries it has.
func (v *View) SourcesIn(domain string) (sources []Entry, entries int) {
	return v.watchers.byDomain[domain], v.watchers.size[domain]
}

// Groups returns all services that have endpoints or an order, sorted.
func (v *View) Groups() []*Group {
	out := make([]*Group, 0, len(v.groups))
	for _, g := range v.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service.Name < out[j].Service.Name })
	return out
}

// index builds the lookup maps of a configuration.
func (v *View) index() {
	v.byHost = map[string][]*Route{}
	v.byKey = map[string]*Customer{}
	if v.Config == nil {
		return
	}
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		host := strings.ToLower(r.Host)
		v.byHost[host] = append(v.byHost[host], r)
	}
	for _, routes := range v.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range v.Config.Customers {
		c := &v.Config.Customers[i]
		for _, key := range c.Keys {
			v.byKey[key] = c
		}
	}
}
