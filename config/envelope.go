package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
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

// gzipMagic starts a compressed envelope; plain JSON starts with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// maxEnvelope bounds an envelope when uncompressed, so that a damaged or
// hostile value cannot fill an entry's memory.
const maxEnvelope = 32 << 20

// Marshal encodes the envelope for the KV: JSON, compressed, since every
// entry receives the whole of it with every change and the platform holds
// values up to 1 MB (docs/CAPACITY.md has the measured sizes).
func (e Envelope) Marshal() ([]byte, error) {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(e); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a stored envelope, compressed or plain.
func Unmarshal(b []byte) (Envelope, error) {
	var r io.Reader = bytes.NewReader(b)
	if bytes.HasPrefix(b, gzipMagic) {
		z, err := gzip.NewReader(r)
		if err != nil {
			return Envelope{}, trace.Wrap(err)
		}
		r = io.LimitReader(z, maxEnvelope)
	}
	var e Envelope
	err := json.NewDecoder(r).Decode(&e)
	return e, trace.Wrap(err)
}
