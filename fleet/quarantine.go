package fleet

import (
	"encoding/json"
	"iter"
	"maps"
	"strconv"

	"github.com/lovageweir/lovageweir/kv"
)

// QuarantinePrefix is where requests that crash endpoints are recorded, by fingerprint.
const QuarantinePrefix = "lovageweir/quarantine/"

// Quarantined is the record of a request that crashes endpoints; package quarantine
// decides on it. It lapses with its lease.
type Quarantined struct {
	Fingerprint string       `json:"-"` // hexadecimal
	Crashed     []EndpointID `json:"crashed"`
}

// Key is where it is recorded.
func (q Quarantined) Key() string { return QuarantinePrefix + q.Fingerprint }

// Quarantine is the records of all requests that crash endpoints. It is never changed;
// nil has none.
type Quarantine struct{ crashed map[uint64][]EndpointID }

// Has reports whether a request is recorded.
func (q *Quarantine) Has(fingerprint uint64) bool {
	if q == nil {
		return false
	}
	_, ok := q.crashed[fingerprint]
	return ok
}

// Len is how many requests are recorded.
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

// takeQuarantined takes a record. Of one whose value cannot be read the key says enough:
// taken for missing, it would be written again and again in vain.
func (b *builder) takeQuarantined(name string, item kv.KeyValue) error {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return err
	}
	var q Quarantined
	err = json.Unmarshal(item.Value, &q)
	b.changeQuarantine(func(crashed map[uint64][]EndpointID) { crashed[fingerprint] = q.Crashed })
	return err
}

// removeQuarantined forgets a record that has lapsed.
func (b *builder) removeQuarantined(name string) {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return // it was not taken either
	}
	b.changeQuarantine(func(crashed map[uint64][]EndpointID) { delete(crashed, fingerprint) })
}

// changeQuarantine replaces the records: views share them.
func (b *builder) changeQuarantine(change func(crashed map[uint64][]EndpointID)) {
	crashed := map[uint64][]EndpointID{}
	if b.quarantine != nil {
		crashed = maps.Clone(b.quarantine.crashed)
	}
	change(crashed)
	b.quarantine = &Quarantine{crashed}
}
