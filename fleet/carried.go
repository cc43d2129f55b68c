package fleet

import (
	"bytes"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// A store that came back from a copy has lost changes that entries know of. The operators and the
// endpoints write theirs again, and entries write their own records again. Until a key has been
// written or removed in the new era, views keep its last known state, as without it a leaving
// endpoint, a withdrawn version or a revoked key would be back for a while.
const (
	// carryOperatorsFor is how long orders and entries' registrations are kept.
	carryOperatorsFor = time.Minute
	// carryRecordsFor is how long records of other entries are kept that nobody writes again.
	carryRecordsFor = 10 * time.Minute
	// carryMissingFor is how long an endpoint is kept whose registration the store lost or let expire;
	// then it is a last resort. A live one registers again within two seconds of the store's return,
	// and one that left since then may get requests for as long.
	carryMissingFor = 1500 * time.Millisecond
	// carryGoneFor is how long an endpoint that is gone stays so although the copy has its
	// registration, which ends after three missed heartbeats.
	carryGoneFor = 4 * time.Second
	// rewritesFor is how long after the start of an era an order that is written again unchanged
	// counts as the same one.
	rewritesFor = 10 * time.Second
)

// carriedItem is the last known state of a key of which the store lost the latest change.
type carriedItem struct {
	known  *kv.KeyValue // nil: the key had been removed
	stored *kv.KeyValue // nil: the store lacks the key
	until  time.Time
}

// LostRecord is a record that entries wrote and that the store lost, or a removal that it lost.
type LostRecord struct {
	Key   string
	Value []byte // nil: the record was removed
	// Stored is the revision that the store has; 0: it lacks the key.
	Stored kv.Revision
}

// era is what a builder keeps of the store's last change of era.
type era struct {
	entered  time.Time
	revision kv.Revision // at which it was entered
	carried  map[string]carriedItem
	// rewritten are the services whose order was written in the era.
	rewritten map[string]bool
}

// enterEra applies a change of era.
func (b *builder) enterEra(c EraChange, now time.Time) {
	if b.carried == nil {
		b.carried = map[string]carriedItem{}
	}
	b.entered, b.era.revision, b.rewritten, b.all = now, c.Revision, map[string]bool{}, true
	b.quiet = true
	for service, s := range b.statuses {
		belongs := s.belongsTo(b.orders[service])
		if s.of = 0; belongs {
			s.of = b.orders[service].First
		}
		b.statuses[service] = s
	}
	for _, item := range c.Kept {
		b.rebase(item)
	}
	for _, e := range c.Events {
		b.apply(e, now)
	}
	for _, r := range c.Reverted {
		b.carry(r, now)
	}
	b.quiet = false
	b.log.Warn("fleet: the store came back from a copy; a new era begins.", "era", c.Revision.Era(), "revision", c.Revision,
		"kept", len(c.Kept), "written", len(c.Events), "reverted", len(c.Reverted), "carried", len(b.carried))
}

// rebase replaces the revisions of an item that is the same in the new era.
func (b *builder) rebase(item kv.KeyValue) {
	if c, ok := b.carried[item.Key]; ok {
		c.stored = &item
		b.carried[item.Key] = c
	}
	switch kind, name := b.dec.Classify(item.Key); kind {
	case ItemEndpoint:
		if ep, ok := b.endpoints[name]; ok {
			ep.Registered = item.CreateRevision
			b.endpoints[name] = ep
		}
	case ItemRollout:
		if _, carried := b.carried[item.Key]; carried {
			return
		}
		for service, order := range b.orders {
			if service == name || order.Service == name {
				order.Ordered = item.ModRevision
				order.statusAfter = kv.RevisionIn(item.ModRevision.Era(), min(order.statusAfter.Number(), item.ModRevision.Number()))
				b.orders[service] = order
			}
		}
	case ItemRolloutStatus:
		if s, ok := b.statuses[name]; ok {
			s.revision = item.ModRevision
			b.statuses[name] = s
		}
	case ItemWithdrawn:
		if w, ok := b.withdrawn[name]; ok {
			w.Recorded = item.ModRevision
			b.withdrawn[name] = w
		}
	case ItemConfig, ItemQuarantined, ItemQuarantinedPart, ItemEntry, ItemEvacuation, ItemOther:
	}
}

// carry keeps the last known state of a key of which the store lost the latest change.
func (b *builder) carry(r Reverted, now time.Time) {
	known := r.Known
	if c, ok := b.carried[r.Key]; ok {
		known = c.known
	}
	if known != nil && r.Stored != nil && bytes.Equal(known.Value, r.Stored.Value) {
		b.apply(kv.Event{Type: kv.EventPut, KV: *r.Stored}, now)
		return
	}
	if r.Removed && !b.awaits(r.Key) {
		b.apply(kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: r.Key, ModRevision: b.era.revision}}, now)
		return
	}
	var stored kv.Revision
	if r.Stored != nil {
		stored = r.Stored.ModRevision
	}
	keepFor := carryOperatorsFor
	switch kind, name := b.dec.Classify(r.Key); kind {
	case ItemOther:
		return
	case ItemConfig: // versions only rise: the one in force stays
		if r.Stored != nil {
			b.apply(kv.Event{Type: kv.EventPut, KV: *r.Stored}, now)
		}
	case ItemEndpoint:
		if r.Stored != nil && b.isLeavingRegistration(name, *r.Stored) {
			b.apply(kv.Event{Type: kv.EventPut, KV: *r.Stored}, now)
			return
		}
		keepFor = b.carryEndpoint(name, r.Stored == nil, now)
	case ItemRollout:
		for service, order := range b.orders {
			if service == name || order.Service == name {
				order.statusAfter = b.era.revision
				b.orders[service] = order
			}
		}
	case ItemRolloutStatus:
		s := b.statuses[name]
		s.revision, s.lost = stored, true
		b.statuses[name] = s
		keepFor = carryRecordsFor
	case ItemWithdrawn:
		w := b.withdrawn[name]
		w.Recorded, w.lost = stored, true
		b.withdrawn[name] = w
		keepFor = carryRecordsFor
	case ItemQuarantined, ItemQuarantinedPart:
		keepFor = carryRecordsFor
	case ItemEntry, ItemEvacuation:
	}
	b.carried[r.Key] = carriedItem{known: known, stored: r.Stored, until: now.Add(keepFor)}
}

// awaits reports whether a key that was removed since the store's copy is that of an endpoint that did
// not leave: its registration may have expired while the store was away.
func (b *builder) awaits(key string) bool {
	kind, name := b.dec.Classify(key)
	ep, registered := b.endpoints[name]
	return kind == ItemEndpoint && registered && !ep.Draining
}

// isLeavingRegistration reports whether a registration says that its endpoint leaves.
func (b *builder) isLeavingRegistration(name string, item kv.KeyValue) bool {
	r, err := b.dec.Endpoint(name, item.Value)
	return err == nil && r.Draining
}

// carryEndpoint returns how long the last known state of an endpoint is kept. Of one that leaves, other
// entries are told as well: one that has just started knows the store's copy only.
func (b *builder) carryEndpoint(name string, missing bool, now time.Time) time.Duration {
	ep, registered := b.endpoints[name]
	switch {
	case !registered:
		return carryGoneFor
	case ep.Draining:
		b.departures.add(ep.ID, now.Add(-b.lapsedTTL-time.Millisecond), now)
		return carryOperatorsFor
	case missing:
		return carryMissingFor
	}
	return carryGoneFor
}

// Carried is the last known state of a key that the store lost, as one entry tells another.
type Carried struct {
	Key     string
	Value   []byte
	Removed bool // the key had been removed
	// Stored is the revision of the key's state in the store; 0: it has none.
	Stored kv.Revision
}

// toTell returns what an entry that has started in this era cannot know. Endpoints are not among it:
// those that leave are told as departures.
func (b *builder) toTell() []Carried {
	var out []Carried
	for key, c := range b.carried {
		switch kind, _ := b.dec.Classify(key); kind {
		case ItemEndpoint, ItemEntry, ItemOther:
			continue
		case ItemConfig, ItemRollout, ItemRolloutStatus, ItemWithdrawn, ItemQuarantined, ItemQuarantinedPart, ItemEvacuation:
		}
		told := Carried{Key: key, Removed: c.known == nil}
		if c.known != nil {
			told.Value = c.known.Value
		}
		if c.stored != nil {
			told.Stored = c.stored.ModRevision
		}
		out = append(out, told)
	}
	// The version shows that the store lost the configuration in force, also where revisions do not.
	key := b.configItem.Key
	if _, carried := b.carried[key]; b.configBehind != 0 && !carried {
		out = append(out, Carried{Key: key, Value: b.configItem.Value, Stored: b.configBehind})
	}
	return out
}

// adopt carries what another entry tells of a key, whose state in the store at a revision is stored,
// nil if it has none.
func (b *builder) adopt(c Carried, stored *kv.KeyValue, revision kv.Revision, now time.Time) {
	if b.carried == nil {
		b.carried, b.rewritten = map[string]carriedItem{}, map[string]bool{}
		b.entered, b.era.revision = now, revision
	}
	r := Reverted{Key: c.Key, Stored: stored}
	if !c.Removed {
		// Its revision is not known here: it is older than any that the store gives out from now on.
		r.Known = &kv.KeyValue{Key: c.Key, Value: c.Value, ModRevision: 1}
		b.apply(kv.Event{Type: kv.EventPut, KV: *r.Known}, now)
	} else {
		b.apply(kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: c.Key, ModRevision: 1}}, now)
	}
	if kind, name := b.dec.Classify(c.Key); kind == ItemRolloutStatus {
		if s, order := b.statuses[name], b.orders[name]; s.Target == order.Target {
			s.of = order.First
			b.statuses[name] = s
		}
	}
	b.carry(r, now)
}

// expireCarried takes the store's state of keys that nobody wrote in the new era in time, and reports
// whether there were any.
func (b *builder) expireCarried(now time.Time) (changed bool) {
	for key, c := range b.carried {
		if now.Before(c.until) {
			continue
		}
		changed = true
		e := kv.Event{Type: kv.EventDelete, KV: kv.KeyValue{Key: key, ModRevision: b.era.revision}}
		if c.stored != nil {
			e = kv.Event{Type: kv.EventPut, KV: *c.stored}
		}
		b.log.Info("fleet: a change that the store lost was not made again; taking the store's state.", "key", key, "stored", c.stored != nil)
		b.apply(e, now)
	}
	return changed
}

// lostRecords returns the records of quarantined requests that entries have to write or remove again.
func (b *builder) lostRecords() []LostRecord {
	var out []LostRecord
	for key, c := range b.carried {
		if kind, _ := b.dec.Classify(key); kind != ItemQuarantined && kind != ItemQuarantinedPart {
			continue
		}
		lost := LostRecord{Key: key}
		if c.known != nil {
			lost.Value = c.known.Value
		}
		if c.stored != nil {
			lost.Stored = c.stored.ModRevision
		}
		out = append(out, lost)
	}
	return out
}

// isRewrite reports whether an order is the one before, written again by the operators.
func (b *builder) isRewrite(service string, before, order Rollout, now time.Time) bool {
	if b.entered.IsZero() || now.Sub(b.entered) > rewritesFor || b.rewritten[service] {
		return false
	}
	b.rewritten[service] = true
	return before.Target == order.Target && before.Duration == order.Duration
}
