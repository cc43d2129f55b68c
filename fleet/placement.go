package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// list is where a view places a registered endpoint.
type list int

const (
	unlisted list = iota // it gets no requests
	readyList
	evacuatedList
	leavingList // it said in an answer that it leaves
)

// placements keep the endpoints of each service in the lists of the last view. With them, a view
// after a change of a few endpoints costs a copy of the lists, not a look at each endpoint.
type placements struct {
	placed    map[string]placed // by name
	byAddress map[string][]string
	members   map[string]int // registered endpoints of each service
	lists     map[listKey][]Endpoint
	ready     map[string]int // ready endpoints of each failure domain
	// changed are the names that have to be placed anew; all: every one has to be.
	changed map[string]bool
	all     bool
}

type placed struct {
	listKey
	id     EndpointID
	domain string
}

type listKey struct {
	service string
	list    list
}

func newPlacements() placements {
	return placements{placed: map[string]placed{}, byAddress: map[string][]string{}, members: map[string]int{}, lists: map[listKey][]Endpoint{},
		ready: map[string]int{}, changed: map[string]bool{}}
}

// replaced records that a registration took the place of another; either may be zero.
func (p *placements) replaced(name string, old, now Endpoint) {
	p.changed[name] = true
	if old.ID != "" {
		p.members[old.Service]--
		left := slices.DeleteFunc(p.byAddress[old.Address], func(n string) bool { return n == name })
		p.byAddress[old.Address] = left
		if len(left) == 0 {
			delete(p.byAddress, old.Address)
		}
	}
	if now.ID != "" {
		p.members[now.Service]++
		p.byAddress[now.Address] = append(p.byAddress[now.Address], name)
	}
	for _, address := range []string{old.Address, now.Address} {
		for _, n := range p.byAddress[address] {
			p.changed[n] = true // its ownership of the address may have changed
		}
	}
}

// place updates the lists for a view.
func (b *builder) place(v *View) {
	if b.all {
		b.placed, b.lists, b.ready = map[string]placed{}, map[listKey][]Endpoint{}, map[string]int{}
		for name := range b.endpoints {
			b.changed[name] = true
		}
	}
	removed, added := map[listKey]map[EndpointID]bool{}, map[listKey][]Endpoint{}
	for name := range b.changed {
		if p, ok := b.placed[name]; ok {
			if removed[p.listKey] == nil {
				removed[p.listKey] = map[EndpointID]bool{}
			}
			removed[p.listKey][p.id] = true
			delete(b.placed, name)
			if p.list == readyList {
				b.ready[p.domain]--
			}
		}
		ep, registered := b.endpoints[name]
		if !registered {
			continue
		}
		key := listKey{ep.Service, b.listOf(v, ep)}
		if key.list != readyList && key.list != evacuatedList {
			continue
		}
		ep.ColdUntil = b.coldUntil(ep, b.group(v, ep.Service).Service)
		added[key] = append(added[key], ep)
		b.placed[name] = placed{key, ep.ID, ep.Domain}
		if key.list == readyList {
			b.ready[ep.Domain]++
		}
	}
	for key := range removed {
		if added[key] == nil {
			added[key] = []Endpoint{}
		}
	}
	for key, eps := range added {
		b.lists[key] = patch(b.lists[key], removed[key], eps)
	}
	b.all = false
	clear(b.changed)
}

// patch returns a list, sorted by ID, without some of its endpoints and with others added.
func patch(old []Endpoint, removed map[EndpointID]bool, added []Endpoint) []Endpoint {
	slices.SortFunc(added, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]Endpoint, 0, len(old)+len(added))
	for i := range old {
		if len(removed) > 0 && removed[old[i].ID] {
			continue
		}
		for len(added) > 0 && added[0].ID < old[i].ID {
			out = append(out, added[0])
			added = added[1:]
		}
		out = append(out, old[i])
	}
	return append(out, added...)
}

// listOf returns the list of a registered endpoint.
func (b *builder) listOf(v *View, ep Endpoint) list {
	switch _, leaves := b.departures[ep.ID]; {
	case ep.Draining || !b.ownsAddress(ep) || b.group(v, ep.Service).Withdrawn.has(ep.Version):
		return unlisted
	case v.IsEvacuated(ep.Domain):
		return evacuatedList
	case leaves:
		return leavingList
	}
	return readyList
}

// ownsAddress reports whether an endpoint's registration is the latest one made for its address. An
// endpoint that crashed and restarted, or whose address was reassigned, stays registered until it
// has missed heartbeats for long; a request for it would reach the new owner of the address, be
// rejected, and cost a retry.
func (b *builder) ownsAddress(ep Endpoint) bool {
	for _, name := range b.byAddress[ep.Address] {
		if b.endpoints[name].Registered > ep.Registered {
			return false
		}
	}
	return true
}

// addLapsed adds the endpoints that are a last resort to a view.
func (b *builder) addLapsed(v *View, now time.Time) {
	for id, d := range b.departures {
		ep := b.endpoints[id.Name()]
		if ep.ID != id || b.listOf(v, ep) != leavingList {
			continue
		}
		g := b.group(v, ep.Service)
		ep.ColdUntil = b.coldUntil(ep, g.Service)
		g.Lapsed = append(g.Lapsed, Lapsed{Endpoint: ep, Since: d.since, Leaving: true})
	}
	for name, l := range b.lapsed {
		if now.Sub(l.Since) > b.lapsedTTL {
			delete(b.lapsed, name)
			continue
		}
		if d, leaves := b.departures[l.ID]; leaves {
			l.Leaving = true
			if d.since.Before(l.Since) {
				l.Since = d.since
			}
		}
		g := b.group(v, l.Service)
		if !g.Withdrawn.has(l.Version) && !v.IsEvacuated(l.Domain) {
			l.ColdUntil = b.coldUntil(l.Endpoint, g.Service)
			g.Lapsed = append(g.Lapsed, l)
		}
	}
	for _, g := range v.groups {
		slices.SortFunc(g.Lapsed, func(a, b Lapsed) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// openDomains returns the failure domains with an endpoint that may get requests, sorted.
func (b *builder) openDomains(v *View) []string {
	open := map[string]bool{}
	for domain, n := range b.ready {
		if n > 0 {
			open[domain] = true
		}
	}
	for _, g := range v.groups {
		for _, l := range g.Lapsed {
			open[l.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(open))
}
