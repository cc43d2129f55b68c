package fleet

import (
	"encoding/json"
	"iter"
	"maps"
	"strconv"

	"github.com/lovageweir/lovageweir/kv"
)

// QuarantinePrefix is the prefix of the records of requests that crash endpoints, by fingerprint.
const QuarantinePrefix = "lovageweir/quarantine/"

// Quarantined is the record of a request that crashes endpoints; package quarantine
// decides on it. It expires with its lease.
type Quarantined struct {
	Fingerprint string       `json:"-"` // hexadecimal
	Crashed     []EndpointID `json:"crashed"`
}

// Key returns the key of the record.
func (q Quarantined) Key() string { return QuarantinePrefix + q.Fingerprint }

// Quarantine holds the records of all requests that crash endpoints. It is immutable;
// nil is empty.
type Quarantine struct{ crashed map[uint64][]EndpointID }

// Has reports whether a request is recorded.
func (q *Quarantine) Has(fingerprint uint64) bool {
	if q == nil {
		return false
	}
	_, ok := q.crashed[fingerprint]
	return ok
}

// Len returns the number of recorded requests.
func (q *Quarantine) Len() int {
	if q == nil {
		return 0
	}
	return len(q.crashed)
}

// All returns the requests by fingerprint, with the endpoints that crashed under each.
func (q *Quarantine) All() iter.Seq2[uint64, []EndpointID] {
	if q == nil {
		return maps.All(map[uint64][]EndpointID(nil))
	}
	return maps.All(q.crashed)
}

// applyQuarantined applies a record. One whose value cannot be decoded still counts by its
// key: treated as missing, it would be written again and again without effect.
func (b *builder) applyQuarantined(name string, item kv.KeyValue) error {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return err
	}
	var q Quarantined
	err = json.Unmarshal(item.Value, &q)
	b.updateQuarantine(func(crashed map[uint64][]EndpointID) { crashed[fingerprint] = q.Crashed })
	return err
}

// removeQuarantined removes a record that has expired.
func (b *builder) removeQuarantined(name string) {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return // it was not applied either
	}
	b.updateQuarantine(func(crashed map[uint64][]EndpointID) { delete(crashed, fingerprint) })
}

// updateQuarantine replaces the records with a changed copy: views share them.
func (b *builder) updateQuarantine(change func(crashed map[uint64][]EndpointID)) {
	crashed := map[uint64][]EndpointID{}
	if b.quarantine != nil {
		crashed = maps.Clone(b.quarantine.crashed)
	}
	change(crashed)
	b.quarantine = &Quarantine{crashed}
}
