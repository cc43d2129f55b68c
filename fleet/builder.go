package fleet

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
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

	config *Config
	// configItem is the stored value of config; configBehind is the revision of a later one whose
	// version is lower, which is not in force. 0: there is none.
	configItem   kv.KeyValue
	configBehind kv.Revision
	endpoints    map[string]Endpoint // by name
	lapsed       map[string]Lapsed   // by name
	departures
	era
	evacuations
	placements
	orders    map[string]Rollout // by service
	statuses  map[string]recordedStatus
	withdrawn map[string]Withdrawn // by service, as recorded
	entries   map[string]Entry
	// quarantine is replaced, not modified, by each change: views share it.
	quarantine, quarantinedParts *Quarantine
	// quiet suppresses the log lines of single endpoints, while many change at once.
	quiet bool
	// entriesChanged reports whether entries changed since the last view.
	entriesChanged bool
	last           *View
}

type recordedStatus struct {
	RolloutStatus
	revision kv.Revision // of the store's record
	// lost: the store lost the record, and has an earlier one or none. of is the order that it
	// belongs to, by Rollout.First.
	lost bool
	of   kv.Revision
}

// belongsTo reports whether a status is that of an order. A status older than the order belongs to
// an earlier order for the same service.
func (s recordedStatus) belongsTo(order Rollout) bool {
	if s.Target != order.Target {
		return false
	}
	if s.lost {
		return s.of == order.First
	}
	return s.revision > order.statusAfter
}

func newBuilder(dec Decoder, lapsedTTL time.Duration, log *slog.Logger) *builder {
	return &builder{dec: dec, log: log, lapsedTTL: lapsedTTL, endpoints: map[string]Endpoint{}, lapsed: map[string]Lapsed{}, departures: departures{}, evacuations: newEvacuations(), placements: newPlacements(),
		orders: map[string]Rollout{}, statuses: map[string]recordedStatus{}, withdrawn: map[string]Withdrawn{}, entries: map[string]Entry{}, last: EmptyView()}
}

// maxLoggedChanges is the most changes at once that are logged one by one.
const maxLoggedChanges = 50

// applyAll applies changes. Of many at once it logs only how many endpoints there were before and
// after them.
func (b *builder) applyAll(events []kv.Event, now time.Time) {
	before := len(b.endpoints)
	b.quiet = len(events) > maxLoggedChanges
	for _, e := range events {
		b.apply(e, now)
	}
	if b.quiet {
		b.log.Info("fleet: many changes.", "changes", len(events), "endpoints", len(b.endpoints), "before", before)
	}
}

// apply applies one change.
func (b *builder) apply(e kv.Event, now time.Time) {
	delete(b.carried, e.KV.Key)
	kind, name := b.dec.Classify(e.KV.Key)
	switch kind {
	case ItemRollout, ItemRolloutStatus, ItemWithdrawn, ItemEvacuation:
		b.all = true // they apply to all endpoints of a service or a failure domain
	case ItemConfig, ItemEndpoint, ItemEntry, ItemQuarantined, ItemQuarantinedPart, ItemOther:
	}
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
		err = b.applyOrder(name, e.KV, now)
	case ItemRolloutStatus:
		err = b.applyStatus(name, e.KV)
	case ItemWithdrawn:
		err = b.applyWithdrawn(name, e.KV)
	case ItemQuarantined:
		b.quarantine, err = b.quarantine.withRecord(name, e.KV)
	case ItemQuarantinedPart:
		b.quarantinedParts, err = b.quarantinedParts.withRecord(name, e.KV)
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
		b.configBehind = item.ModRevision
		return nil
	}
	b.config, b.configItem, b.configBehind = c, item, 0
	b.log.Info("fleet: configuration in force.", "version", c.Version, "revision", item.ModRevision, "routes", len(c.Routes), "customers", len(c.Customers))
	return nil
}

func (b *builder) applyEndpoint(name string, item kv.KeyValue, now time.Time) {
	r, err := b.dec.Endpoint(name, item.Value)
	if err != nil {
		// Written by another writer: it names no endpoint, and the previous registration
		// is overwritten. A live endpoint registers again with its next heartbeat.
		b.replaced(name, b.endpoints[name], Endpoint{})
		delete(b.endpoints, name)
		delete(b.lapsed, name)
		b.log.Error("fleet: registration is invalid; endpoint removed.", "key", item.Key, "revision", item.ModRevision, "error", err)
		return
	}
	ep := r.Endpoint
	ep.Registered = item.CreateRevision
	ep.hash = ep.Hash()
	if r.Cold > 0 {
		// The time of the write is not known: the endpoint is warm by then at the latest.
		ep.ColdUntil = now.Add(r.Cold)
	}
	old, known := b.endpoints[name]
	b.endpoints[name] = ep
	b.replaced(name, old, ep)
	delete(b.lapsed, name)
	if known && old.ID != ep.ID {
		b.log.Warn("fleet: endpoint restarted under the same name.", "before", old.ID, "endpoint", ep.ID, "revision", item.ModRevision)
	}
	if wasCold := !old.ColdUntil.IsZero(); !b.quiet && (!known || !sameButCold(old, ep) || r.Cold > 0 && !wasCold) {
		b.log.Info("fleet: endpoint known.", "endpoint", ep.ID, "service", ep.Service, "domain", ep.Domain, "version", ep.Version,
			"draining", ep.Draining, "cold_ms", r.Cold.Milliseconds(), "revision", item.ModRevision)
	}
}

// sameButCold reports whether two registrations differ in nothing but how long the endpoint is cold.
func sameButCold(a, b Endpoint) bool {
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

func (b *builder) applyOrder(service string, item kv.KeyValue, now time.Time) error {
	r, err := b.dec.Rollout(item.Value)
	if err != nil {
		return err
	}
	if r.Service == "" {
		r.Service = service
	}
	r.Ordered, r.First, r.statusAfter = item.ModRevision, item.ModRevision, item.ModRevision
	if before, ok := b.orders[r.Service]; ok && b.isRewrite(service, before, r, now) {
		r.First, r.statusAfter = before.First, min(before.statusAfter, item.ModRevision)
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
	status := recordedStatus{RolloutStatus: s, revision: item.ModRevision}
	// A final state stays: an entry that knows only the store's copy may take the roll-out for running.
	if before, order := b.statuses[service], b.orders[service]; before.lost && before.belongsTo(order) && isFinal(before.State) && s.Target == order.Target && !isFinal(s.State) {
		status.RolloutStatus, status.lost, status.of = before.RolloutStatus, true, before.of
	}
	b.statuses[service] = status
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
		b.replaced(name, ep, Endpoint{})
		if !ep.Draining {
			b.lapsed[name] = Lapsed{Endpoint: ep, Since: now}
		}
		if b.quiet {
			return
		}
		b.log.Info("fleet: endpoint gone.", "endpoint", ep.ID, "service", ep.Service, "was_draining", ep.Draining, "revision", rev)
	case ItemRollout:
		delete(b.orders, name)
	case ItemRolloutStatus:
		delete(b.statuses, name)
	case ItemWithdrawn:
		delete(b.withdrawn, name)
	case ItemQuarantined:
		b.quarantine = b.quarantine.without(name)
	case ItemQuarantinedPart:
		b.quarantinedParts = b.quarantinedParts.without(name)
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
	v := &View{Revision: rev, Config: b.config, Quarantine: b.quarantine, QuarantinedParts: b.quarantinedParts, Evacuated: b.evacuations.ordered(), Lost: b.lostRecords(), groups: map[string]*Group{}}
	b.pruneDepartures(now)
	if b.config == b.last.Config {
		v.byHost, v.byKey = b.last.byHost, b.last.byKey
	} else {
		v.index()
		b.all = b.all || len(b.evacuations.takenBackAt) > 0 // endpoints count as cold for a time that it sets
	}
	b.place(v)
	for service, n := range b.members {
		if n == 0 {
			delete(b.members, service)
			continue
		}
		g := b.group(v, service)
		g.Ready, g.Evacuated = b.lists[listKey{service, readyList}], b.lists[listKey{service, evacuatedList}]
	}
	b.addLapsed(v, now)
	for service, order := range b.orders {
		b.group(v, service).Rollout = b.withStatus(order)
	}
	v.openDomains = b.openDomains(v)
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
	b.departures.prune(b.isRegistered, now)
}

// isRegistered reports whether an endpoint is registered, or was until recently.
func (b *builder) isRegistered(id EndpointID) bool {
	name := id.Name()
	return b.endpoints[name].ID == id || b.lapsed[name].ID == id
}

// takesRequests reports whether an endpoint is registered and its registration does not say that
// it leaves.
func (b *builder) takesRequests(id EndpointID) bool {
	ep := b.endpoints[id.Name()]
	return ep.ID == id && !ep.Draining
}

// sortedEntries returns the latest registration of each entry, by instance. An entry may be
// registered under two keys while its program is replaced.
func sortedEntries(byName map[string]Entry) []Entry {
	sorted := slices.SortedFunc(maps.Values(byName), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(b.Boot, a.Boot))
	})
	return slices.CompactFunc(sorted, func(a, b Entry) bool { return a.Instance == b.Instance })
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

// withStatus combines an order with its recorded status.
func (b *builder) withStatus(order Rollout) *Rollout {
	s, ok := b.statuses[order.Service]
	if !ok {
		return &order
	}
	order.Recorded = s.revision
	if s.belongsTo(order) {
		// Entries that start later take a record that is older than the order for another order's.
		order.State, order.Unrecorded = s.State, s.lost || s.revision < order.Ordered
	}
	return &order
}

func isFinal(s RolloutState) bool { return s == RolloutDone || s == RolloutRolledBack }
