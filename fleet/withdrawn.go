package fleet

import (
	"encoding/json"
	"slices"

	"github.com/lovageweir/lovageweir/kv"
)

// A version that was rolled back still has endpoints when the next order arrives, and the
// status of a roll-out covers the latest order only. Without a record of its own the version
// would count as one of the old versions, which get requests.

// WithdrawnPrefix is the prefix of the records of a service's withdrawn versions.
const WithdrawnPrefix = "lovageweir/withdrawn/"

// maxWithdrawn bounds the versions recorded for a service; the oldest, whose endpoints are
// long gone, are dropped.
const maxWithdrawn = 32

// Withdrawn are the versions of a service that get no requests.
type Withdrawn struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"` // oldest first
	// Recorded is the revision of the record; 0 if there is none.
	Recorded kv.Revision `json:"-"`

	changed bool // since it was recorded
	lost    bool // the store lost the record
}

// Lost reports whether the store lost the record of the versions.
func (w Withdrawn) Lost() bool { return w.lost }

// Changed reports whether the versions differ from the recorded ones.
func (w Withdrawn) Changed() bool { return w.changed || w.lost }

// Key returns the key of the record.
func (w Withdrawn) Key() string { return WithdrawnPrefix + w.Service }

// has reports whether a version is withdrawn.
func (w Withdrawn) has(version string) bool { return slices.Contains(w.Versions, version) }

// with returns a copy with a version added.
func (w Withdrawn) with(version string) Withdrawn {
	if w.has(version) {
		return w
	}
	w.Versions = append(slices.Clone(w.Versions), version)
	if extra := len(w.Versions) - maxWithdrawn; extra > 0 {
		w.Versions = w.Versions[extra:]
	}
	return w
}

// without returns a copy with a version removed.
func (w Withdrawn) without(version string) Withdrawn {
	w.Versions = slices.DeleteFunc(slices.Clone(w.Versions), func(v string) bool { return v == version })
	return w
}

// applyWithdrawn applies a record. One that cannot be decoded leaves the versions unchanged,
// but its revision still counts: the next record is written on condition of that revision,
// and the states of the service's roll-outs wait for that write.
func (b *builder) applyWithdrawn(service string, item kv.KeyValue) error {
	w := Withdrawn{}
	err := json.Unmarshal(item.Value, &w)
	if err != nil {
		w = b.withdrawn[service]
	}
	w.Service, w.Recorded = service, item.ModRevision
	b.withdrawn[service] = w
	return err
}

// withdrawnOf returns a service's withdrawn versions: the recorded ones, and that of the
// last recorded roll-out if it was rolled back, or replaced by another order before it was
// done. The version of the order in force is excluded: package rollout decides on it, and
// a version ordered again gets a new trial.
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

// logWithdrawn logs a change of the versions that get no requests.
func (b *builder) logWithdrawn(w Withdrawn) {
	var before []string
	if g := b.last.Group(w.Service); g != nil {
		before = g.Withdrawn.Versions
	}
	if !slices.Equal(before, w.Versions) {
		b.log.Info("fleet: versions that get no requests.", "service", w.Service, "versions", w.Versions, "recorded", w.Recorded)
	}
}
