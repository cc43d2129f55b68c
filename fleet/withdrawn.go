package fleet

import (
	"encoding/json"
	"slices"

	"github.com/lovageweir/lovageweir/kv"
)

// A version that was rolled back still has endpoints when the next order is known, and the
// record of a roll-out holds the latest order only. Without a record of its own the version
// would count as one of the old ones.

// WithdrawnPrefix is where the withdrawn versions of a service are recorded.
const WithdrawnPrefix = "lovageweir/withdrawn/"

// mostWithdrawn bounds the versions recorded of a service; the oldest, whose
// endpoints are long gone, are dropped.
const mostWithdrawn = 32

// Withdrawn are the versions of a service that get no requests.
type Withdrawn struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"` // oldest first
	// Recorded is the revision of the record; 0: there is none.
	Recorded kv.Revision `json:"-"`

	changed bool // since it was recorded
}

// Changed reports whether they are others than are recorded.
func (w Withdrawn) Changed() bool { return w.changed }

// Key is where it is recorded.
func (w Withdrawn) Key() string { return WithdrawnPrefix + w.Service }

// has reports whether a version is among them.
func (w Withdrawn) has(version string) bool { return slices.Contains(w.Versions, version) }

// with returns them and one more.
func (w Withdrawn) with(version string) Withdrawn {
	if w.has(version) {
		return w
	}
	w.Versions = append(slices.Clone(w.Versions), version)
	if extra := len(w.Versions) - mostWithdrawn; extra > 0 {
		w.Versions = w.Versions[extra:]
	}
	return w
}

// without returns them without one.
func (w Withdrawn) without(version string) Withdrawn {
	w.Versions = slices.DeleteFunc(slices.Clone(w.Versions), func(v string) bool { return v == version })
	return w
}

// takeWithdrawn takes a record. One that cannot be read leaves the versions as they were;
// its revision counts all the same, as the next record is written under that condition,
// and the states of the service's roll-outs wait for it.
func (b *builder) takeWithdrawn(service string, item kv.KeyValue) error {
	w := Withdrawn{}
	err := json.Unmarshal(item.Value, &w)
	if err != nil {
		w = b.withdrawn[service]
	}
	w.Service, w.Recorded = service, item.ModRevision
	b.withdrawn[service] = w
	return err
}

// withdrawnOf are a service's withdrawn versions: those recorded, and the one of the
// roll-out that was recorded last, if it was rolled back or another was ordered since.
// The version of the order in force is not among them: package rollout decides on it,
// and one that is ordered again is tried anew.
func (b *builder) withdrawnOf(service string) Withdrawn {
	recorded := b.withdrawn[service]
	w := recorded
	w.Service = service
	order, ordered := b.orders[service]
	last := b.statuses[service]
	replaced := ordered && last.Target != order.Target
	switch {
	case last.Target == "":
	case last.State == RolloutRolledBack, replaced && last.State != RolloutDone:
		w = w.with(last.Target)
	}
	if ordered {
		w = w.without(order.Target)
	}
	w.changed = !slices.Equal(w.Versions, recorded.Versions)
	return w
}

// noteWithdrawn logs a change of the versions that get no requests.
func (b *builder) noteWithdrawn(w Withdrawn) {
	var before []string
	if g := b.last.Group(w.Service); g != nil {
		before = g.Withdrawn.Versions
	}
	if !slices.Equal(before, w.Versions) {
		b.log.Info("fleet: versions that get no requests.", "service", w.Service, "versions", w.Versions, "recorded", w.Recorded)
	}
}
