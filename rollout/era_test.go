package rollout

import (
	"slices"
	"testing"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
)

// orderAgain writes the order as the operators do after the store lost it.
func (x *fixture) orderAgain() {
	x.order()
	x.sync()
}

// Guards against a halted version that gets requests again when the store lost the order and its state, and against states that are not recorded again within two seconds, or more than once.
func TestAHaltOutlivesARestoreAndIsRecordedAgain(t *testing.T) {
	for _, orderLost := range []bool{false, true} {
		x := newFixture(t, 3)
		x.advance(time.Second)
		b := x.store.Backup()
		if orderLost {
			x = newFixture(t, 3)
			b = x.store.Backup()
			x.orderVersion("v3") // an order that the store does not have afterwards
			x.order()
			x.sync()
			x.advance(time.Second)
		}
		for i := range 12 {
			x.entries[0].answer(6+i%2, true)
		}
		x.advance(3 * time.Second)
		x.is.Equal(x.state(), fleet.RolloutRolledBack)

		x.store.Restore(b)
		x.sync()
		if orderLost {
			for _, e := range x.entries {
				x.is.True(!slices.Contains(versionsOf(e), "v2"))
			}
			x.orderAgain()
		}
		for _, e := range x.entries {
			e.store.writtenKeys = nil
		}
		for range 10 { // two seconds
			for _, e := range x.entries {
				x.is.True(!slices.Contains(versionsOf(e), "v2"))
			}
			x.advance(Interval)
		}
		started := x.newEntry(3)
		x.sync(started)
		x.is.Equal(started.group().Rollout.State, fleet.RolloutRolledBack)
		writes := 0
		for _, e := range x.entries {
			writes += len(e.store.writtenKeys)
		}
		x.is.Equal(writes, 1)
	}
}

func versionsOf(e *entry) []string {
	var out []string
	for v := range allowedVersions(e) {
		out = append(out, v)
	}
	return out
}

// Guards against evidence that is lost, or counted twice, when an order gets another revision.
func TestEvidenceOutlivesARestore(t *testing.T) {
	x := newFixture(t, 2)
	b := x.store.Backup()
	x.orderVersion("v3")
	x.order()
	x.sync()
	x.entries[0].answer(6, false)
	x.entries[0].answer(7, false)
	share := func(from, to *entry) {
		orders, rows, sessions := from.Snapshot()
		to.Merge(orders, rows, sessions)
	}
	share(x.entries[0], x.entries[1])
	x.store.Restore(b)
	x.sync()
	x.orderAgain()
	x.entries[0].answer(6, false)
	for range 2 {
		share(x.entries[0], x.entries[1])
		share(x.entries[1], x.entries[0])
	}
	for _, e := range x.entries {
		x.is.Equal(e.State()[0].Samples, int64(3))
	}
}

// Guards against withdrawn versions that entries which start later send to, as the store lost their record.
func TestWithdrawnVersionsAreRecordedAgainAfterARestore(t *testing.T) {
	x := newFixture(t, 3)
	x.rollBack()
	b := x.store.Backup()
	x.orderNext("v3", 12)
	x.advance(3 * time.Second)
	x.checkVersions("v1", "v3")
	x.store.Restore(b)
	x.sync()
	for i := range 6 {
		x.endpoint(12+i, "v3", 0)
	}
	x.orderVersion("v3")
	x.sync()
	x.advance(2 * time.Second)
	x.checkVersions("v1", "v3")
}
