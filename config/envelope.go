package config

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Where the platform KV holds what entries watch: one prefix, so one watch.
const (
	LivePrefix = "/lovageweir/live/"
	// Key holds the accepted configuration. One key holds the whole
	// document, so a change is one compare-and-swap and its ModRevision is
	// the configuration's revision everywhere.
	Key = LivePrefix + "config"
	// HaltPrefix holds one key per halted attempt at a version.
	HaltPrefix = LivePrefix + "halts/"
)

// Envelope is the stored form: the document plus who applied it. ApplyID is
// an idempotency key: after a lost acknowledgement the CLI re-reads the key
// and recognises its own write by this id instead of writing twice.
type Envelope struct {
	ApplyID   string    `json:"apply_id"`
	AppliedBy string    `json:"applied_by"`
	AppliedAt time.Time `json:"applied_at"`
	Document  Document  `json:"document"`
}

// Marshal encodes the envelope for the KV.
func (e Envelope) Marshal() ([]byte, error) {
	b, err := json.Marshal(e)
	return b, trace.Wrap(err)
}

// Unmarshal decodes a stored envelope.
func Unmarshal(b []byte) (Envelope, error) {
	var e Envelope
	err := json.Unmarshal(b, &e)
	return e, trace.Wrap(err)
}
