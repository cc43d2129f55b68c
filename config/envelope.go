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

// Marshal encodes the envelope for the KV: JSON, compressed, since the
// platform holds values up to 1 MB (docs/CAPACITY.md has measured sizes).
func (e Envelope) Marshal() ([]byte, error) {
	plain, err := json.Marshal(e)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Compress(plain)
}

// Unmarshal decodes a stored envelope, compressed or plain.
func Unmarshal(b []byte) (Envelope, error) {
	plain, err := Plain(b)
	if err != nil {
		return Envelope{}, err
	}
	var e Envelope
	err = json.Unmarshal(plain, &e)
	return e, trace.Wrap(err)
}
