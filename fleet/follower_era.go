package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageweir/lovageweir/kv"
)

// EraEntered signals that this entry entered a new era of the store.
func (f *Follower) EraEntered() <-chan struct{} { return f.eraEntered }

// StoreEra returns the store's era as of its latest answer to this entry; 0: the store does not tell.
func (f *Follower) StoreEra() kv.Era {
	if r, ok := f.store.(kv.EraReader); ok {
		return r.Era()
	}
	return 0
}

// StartedInEra reports whether this entry knows of no earlier era of the store.
func (f *Follower) StartedInEra() bool { return !f.items.HasPast() }

// HoldConfig makes the first configuration wait for ReleaseConfig if it comes from a store that may
// have lost a later one; set it before Run.
func (f *Follower) HoldConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdsConfig = true
}

// ConfigHeld signals that a configuration waits for ReleaseConfig: other entries may know a later one.
func (f *Follower) ConfigHeld() <-chan struct{} { return f.configHeld }

// ReleaseConfig puts the configuration that waits in force: other entries have told what the store lost,
// or cannot.
func (f *Follower) ReleaseConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdsConfig {
		f.holdsConfig = false
		f.publishLocked(f.items.Revision(), f.clock.Now())
	}
}

// mustHoldConfigLocked reports whether the configuration of a revision must wait, and signals ConfigHeld if so.
func (f *Follower) mustHoldConfigLocked(rev kv.Revision) bool {
	f.holdsConfig = f.holdsConfig && rev.Era() != 0 && f.StartedInEra()
	if f.holdsConfig {
		select {
		case f.configHeld <- struct{}{}:
		default:
		}
	}
	return f.holdsConfig
}

// Carried returns what the store lost and nobody has written again yet, for entries that have started
// since.
func (f *Follower) Carried() []Carried {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewBuilder.toTell()
}

// AddCarried adopts what another entry in the same era tells of keys that the store lost. It has no
// effect on keys whose state in the store is another one here.
func (f *Follower) AddCarried(from string, era kv.Era, all []Carried) {
	if len(all) == 0 || f.items.Revision().Era() != era || !f.StartedInEra() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	slices.SortFunc(all, func(a, b Carried) int { return cmp.Compare(a.Key, b.Key) }) // orders before their states
	adopted := 0
	for _, c := range all {
		item, present := f.items.Get(c.Key)
		if item.ModRevision != c.Stored {
			continue
		}
		var stored *kv.KeyValue
		if present {
			stored = &item
		}
		if _, known := f.viewBuilder.carried[c.Key]; !known {
			f.viewBuilder.adopt(c, stored, f.items.Revision(), now)
			adopted++
		}
	}
	if adopted > 0 {
		f.log.Info("fleet: the store lost changes that another entry knows of.", "from", from, "changes", adopted)
		f.publishLocked(f.View().Revision, now)
	}
}

// enterEra replaces the data by a snapshot of a later era, and publishes a view.
func (f *Follower) enterEra(c Changes, now time.Time) {
	change := f.items.EnterEra(c)
	if len(change.Events)+len(change.Reverted) >= BulkChanges {
		f.catchingUp = now
	}
	f.viewBuilder.enterEra(change, now)
	f.publishLocked(change.Revision, now)
	select {
	case f.eraEntered <- struct{}{}:
	default:
	}
}
