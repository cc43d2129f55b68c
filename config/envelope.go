package config

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Keys of the platform KV that entries watch. They share one prefix, so that one
// watch covers them all.
const (
	LivePrefix = "/lovageweir/live/"
	// Key holds the accepted configuration. The whole document is in one key, so
	// that a change is one compare-and-swap and the key's ModRevision is the
	// configuration's revision everywhere.
	Key = LivePrefix + "config"
	// HaltPrefix holds one key per halted attempt to roll out a version.
	HaltPrefix = LivePrefix + "halts/"
)

// Envelope is the stored form: the document plus who applied it and when.
// ApplyID is an idempotency key: after a lost acknowledgement the CLI reads the
// key again and recognises its own write by this id instead of writing twice.
type Envelope struct {
	ApplyID   string    `json:"apply_id"`
	AppliedBy string    `json:"applied_by"`
	AppliedAt time.Time `json:"applied_at"`
	Document  Document  `json:"document"`
}

// Marshal encodes the envelope for the KV as compressed JSON, because the
// platform limits values to 1 MB (docs/CAPACITY.md has measured sizes).
func (e Envelope) Marshal() ([]byte, error) {
	plain, err := json.Marshal(e)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Compress(plain)
}

// Unmarshal decodes a stored envelope, compressed or not.
func Unmarshal(b []byte) (Envelope, error) {
	plain, err := Decompress(b)
	if err != nil {
		return Envelope{}, err
	}
	var e Envelope
	err = json.Unmarshal(plain, &e)
	return e, trace.Wrap(err)
}
