package fleet

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// builder builds views from changes of the store. It is not safe for concurrent use.
type builder struct {
	dec Decoder
	log *slog.Logger
	// lapsedTTL is how long an endpoint whose registration lapsed remains
	// usable as a last resort.
	lapsedTTL time.Duration

	config    *Config
	endpoints map[string]Endpoint // by name
	lapsed    map[string]Lapsed   // by name
	departures
	evacuations
	orders    map[string]Rollout // by service
	statuses  map[string]recordedStatus
	withdrawn map[string]Withdrawn // by service, as recorded
	entries   map[string]Entry
	// quarantine is replaced, not modified, by each change: views share it.
	quarantine *Quarantine
	// entriesChanged reports whether entries changed since the last view.
	entriesChanged bool
	last           *View
}

type recordedStatus struct {
	RolloutStatus
	revision kv.Revision
}

func newBuilder(dec Decoder, lapsedTTL time.Duration, log *slog.Logger) *builder {
	return &builder{dec: dec, log: log, lapsedTTL: lapsedTTL, endpoints: map[string]Endpoint{}, lapsed: map[string]Lapsed{}, departures: departures{}, evacuations: newEvacuations(),
		orders: map[string]Rollout{}, statuses: map[string]recordedStatus{}, withdrawn: map[string]Withdrawn{}, entries: map[string]Entry{}, last: EmptyView()}
}

// apply applies one change.
func (b *builder) apply(e kv.Event, now time.Time) {
	kind, name := b.dec.Classify(e.KV.Key)
	if e.Type == kv.EventDelete {
		b.remove(kind, name, e.KV.ModRevision, now)
		return
	}
	var err error
	switch kind {
	case ItemConfig:
		err = b.applyConfig(e.KV)
	case ItemEndpoint:
		b.applyEndpoint(name, e.KV, now)
	case ItemRollout:
		err = b.applyOrder(name, e.KV)
	case ItemRolloutStatus:
		err = b.applyStatus(name, e.KV)
	case ItemWithdrawn:
		err = b.applyWithdrawn(name, e.KV)
	case ItemQuarantined:
		err = b.applyQuarantined(name, e.KV)
	case ItemEvacuation:
		b.evacuations.order(name)
		b.log.Info("fleet: evacuation ordered; its endpoints get no requests.", "domain", name, "revision", e.KV.ModRevision)
	case ItemEntry:
		var entry Entry
		if err = json.Unmarshal(e.KV.Value, &entry); err == nil {
			b.entries[name] = entry
			b.entriesChanged = true
		}
	}
	if err != nil {
		// The previous value stays in force: one that cannot be decoded
		// says nothing about what it replaces.
		b.log.Error("fleet: stored value cannot be read; keeping the previous one.", "key", e.KV.Key, "revision", e.KV.ModRevision, "error", err)
	}
}

func (b *builder) applyConfig(item kv.KeyValue) error {
	c, err := b.dec.Config(item.Value)
	if err != nil {
		return err
	}
	if b.config != nil && c.Version < b.config.Version {
		b.log.Warn("fleet: configuration has a lower version than the one in force; ignoring it.", "version", c.Version, "in_force", b.config.Version)
		return nil
	}
	b.config = c
	b.log.Info("fleet: configuration in force.", "version", c.Version, "revision", item.ModRevision, "routes", len(c.Routes), "customers", len(c.Customers))
	return nil
}

func (b *builder) applyEndpoint(name string, item kv.KeyValue, now time.Time) {
	r, err := b.dec.Endpoint(name, item.Value)
	if err != nil {
		// Written by another writer: it names no endpoint, and the previous registration
		// is overwritten. A live endpoint registers again with its next heartbeat.
		delete(b.endpoints, name)
		delete(b.lapsed, name)
		b.log.Error("fleet: registration is invalid; endpoint removed.", "key", item.Key, "revision", item.ModRevision, "error", err)
		return
	}
	ep := r.Endpoint
	ep.Registered = item.CreateRevision
	if r.Cold > 0 {
		// The time of the write is not known: the endpoint is warm by then at the latest.
		ep.ColdUntil = now.Add(r.Cold)
	}
	old, known := b.endpoints[name]
	b.endpoints[name] = ep
	delete(b.lapsed, name)
	if known && old.ID != ep.ID {
		b.log.Warn("fleet: endpoint restarted under the same name.", "before", old.ID, "endpoint", ep.ID, "revision", item.ModRevision)
	}
	if wasCold := !old.ColdUntil.IsZero(); !known || !sameButCold(old, ep) || r.Cold > 0 && !wasCold {
		b.log.Info("fleet: endpoint known.", "endpoint", ep.ID, "service", ep.Service, "domain", ep.Domain, "version", ep.Version,
			"draining", ep.Draining, "cold_ms", r.Cold.Milliseconds(), "revision", item.ModRevision)
	}
}

// sameButCold reports whether two registrations differ in nothing but how long the endpoint is cold.
func sameButCold(a, b Endpoint) bool {
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

func (b *builder) applyOrder(service string, item kv.KeyValue) error {
	r, err := b.dec.Rollout(item.Value)
	if err != nil {
		return err
	}
	r.Ordered = item.ModRevision
	if r.Service == "" {
		r.Service = service
	}
	b.orders[r.Service] = r
	b.log.Info("fleet: roll-out ordered.", "service", r.Service, "target", r.Target, "duration", r.Duration, "revision", r.Ordered)
	return nil
}

func (b *builder) applyStatus(service string, item kv.KeyValue) error {
	s, err := b.dec.RolloutStatus(item.Value)
	if err != nil {
		return err
	}
	b.statuses[service] = recordedStatus{s, item.ModRevision}
	b.log.Info("fleet: roll-out recorded.", "service", service, "state", s.State, "target", s.Target, "revision", item.ModRevision)
	return nil
}

func (b *builder) remove(kind ItemKind, name string, rev kv.Revision, now time.Time) {
	switch kind {
	case ItemEndpoint:
		ep, known := b.endpoints[name]
		if !known {
			return
		}
		delete(b.endpoints, name)
		if !ep.Draining {
			b.lapsed[name] = Lapsed{Endpoint: ep, Since: now}
		}
		b.log.Info("fleet: endpoint gone.", "endpoint", ep.ID, "service", ep.Service, "was_draining", ep.Draining, "revision", rev)
	case ItemRollout:
		delete(b.orders, name)
	case ItemRolloutStatus:
		delete(b.statuses, name)
	case ItemWithdrawn:
		delete(b.withdrawn, name)
	case ItemQuarantined:
		b.removeQuarantined(name)
	case ItemEntry:
		delete(b.entries, name)
		b.entriesChanged = true
	case ItemEvacuation:
		b.evacuations.takeBack(name, now)
		b.log.Info("fleet: evacuation taken back.", "domain", name, "revision", rev)
	case ItemConfig, ItemOther:
	}
}

// view builds the view at a revision.
func (b *builder) view(rev kv.Revision, now time.Time) *View {
	v := &View{Revision: rev, Config: b.config, Quarantine: b.quarantine, Evacuated: b.evacuations.ordered(), groups: map[string]*Group{}}
	b.pruneDepartures(now)
	if b.config == b.last.Config {
		v.byHost, v.byKey = b.last.byHost, b.last.byKey
	} else {
		v.index()
	}
	owners := b.addressOwners()
	for _, ep := range b.endpoints {
		g := b.group(v, ep.Service)
		if ep.Draining || owners[ep.Address] != ep.Registered || g.Withdrawn.has(ep.Version) {
			continue
		}
		if v.IsEvacuated(ep.Domain) {
			g.Evacuated = append(g.Evacuated, ep)
			continue
		}
		ep.ColdUntil = b.coldUntil(ep, g.Service)
		if d, leaves := b.departures[ep.ID]; leaves {
			g.Lapsed = append(g.Lapsed, Lapsed{Endpoint: ep, Since: d.since, Leaving: true})
			continue
		}
		g.Ready = append(g.Ready, ep)
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
	for service, order := range b.orders {
		b.group(v, service).Rollout = b.withStatus(order)
	}
	for _, g := range v.groups {
		sort.Slice(g.Ready, func(i, j int) bool { return g.Ready[i].ID < g.Ready[j].ID })
		sort.Slice(g.Evacuated, func(i, j int) bool { return g.Evacuated[i].ID < g.Evacuated[j].ID })
		sort.Slice(g.Lapsed, func(i, j int) bool { return g.Lapsed[i].ID < g.Lapsed[j].ID })
	}
	v.openDomains = openDomains(v.groups)
	v.Entries, v.watchers = b.last.Entries, b.last.watchers
	if b.entriesChanged {
		v.Entries = sortedEntries(b.entries)
		v.watchers = selectWatchers(v.Entries)
		b.entriesChanged = false
	}
	b.last = v
	return v
}

// pruneDepartures forgets the departures of endpoints that are gone.
func (b *builder) pruneDepartures(now time.Time) {
	if len(b.departures) == 0 {
		return
	}
	b.departures.prune(b.registered(), now)
}

// registered returns the endpoints that are registered, or were until recently.
func (b *builder) registered() map[EndpointID]bool {
	out := make(map[EndpointID]bool, len(b.endpoints)+len(b.lapsed))
	for _, ep := range b.endpoints {
		out[ep.ID] = true
	}
	for _, l := range b.lapsed {
		out[l.ID] = true
	}
	return out
}

// addressOwners returns the registration that owns each address: the latest one made. An
// endpoint that crashed and restarted, or whose address was reassigned, stays registered
// until it has missed heartbeats for long. Until then a request for it reaches the new
// owner of the address, is rejected, and costs a retry: after a quarter of 124 endpoints
// had crashed, there were 300 of these in two seconds, and retries ran short for ten seconds.
func (b *builder) addressOwners() map[string]kv.Revision {
	owners := make(map[string]kv.Revision, len(b.endpoints))
	for _, ep := range b.endpoints {
		owners[ep.Address] = max(owners[ep.Address], ep.Registered)
	}
	return owners
}

func openDomains(groups map[string]*Group) []string {
	open := map[string]bool{}
	for _, g := range groups {
		for _, ep := range g.Ready {
			open[ep.Domain] = true
		}
		for _, l := range g.Lapsed {
			open[l.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(open))
}

func sortedEntries(byName map[string]Entry) []Entry {
	return slices.SortedFunc(maps.Values(byName), func(a, b Entry) int { return cmp.Compare(a.Instance, b.Instance) })
}

func (b *builder) group(v *View, service string) *Group {
	g := v.groups[service]
	if g == nil {
		g = &Group{Service: Service{Name: service}, Withdrawn: b.withdrawnOf(service)}
		b.logWithdrawn(g.Withdrawn)
		if b.config != nil {
			if s, ok := b.config.Services[service]; ok {
				g.Service = s
			}
		}
		v.groups[service] = g
	}
	return g
}

// withStatus combines an order with its recorded status. A status older than the order
// belongs to an earlier order for the same service.
func (b *builder) withStatus(order Rollout) *Rollout {
	s, ok := b.statuses[order.Service]
	if !ok {
		return &order
	}
	order.Recorded = s.revision
	if s.revision > order.Ordered && s.Target == order.Target {
		order.State = s.State
	}
	return &order
}
