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

// QuarantinedPartPrefix is the same for parts of prompts.
const QuarantinedPartPrefix = "lovageweir/quarantined-parts/"

// Quarantined is the record of a request that crashes endpoints; package quarantine
// decides on it. It expires with its lease.
type Quarantined struct {
	Fingerprint string       `json:"-"` // hexadecimal
	Part        bool         `json:"-"` // of prompts
	Crashed     []EndpointID `json:"crashed"`
}

// Key returns the key of the record.
func (q Quarantined) Key() string {
	if q.Part {
		return QuarantinedPartPrefix + q.Fingerprint
	}
	return QuarantinePrefix + q.Fingerprint
}

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

// withRecord returns the records with one applied. One whose value cannot be decoded still counts by its
// key: treated as missing, it would be written again and again without effect.
func (q *Quarantine) withRecord(name string, item kv.KeyValue) (*Quarantine, error) {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return q, err
	}
	var record Quarantined
	err = json.Unmarshal(item.Value, &record)
	return q.changed(func(crashed map[uint64][]EndpointID) { crashed[fingerprint] = record.Crashed }), err
}

// without returns the records without one that has expired.
func (q *Quarantine) without(name string) *Quarantine {
	fingerprint, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return q // it was not applied either
	}
	return q.changed(func(crashed map[uint64][]EndpointID) { delete(crashed, fingerprint) })
}

// changed returns a changed copy: views share the records.
func (q *Quarantine) changed(change func(crashed map[uint64][]EndpointID)) *Quarantine {
	crashed := map[uint64][]EndpointID{}
	if q != nil {
		crashed = maps.Clone(q.crashed)
	}
	change(crashed)
	return &Quarantine{crashed}
}
