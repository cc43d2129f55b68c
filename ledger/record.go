package ledger

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
)

// Prefix is the KV prefix of batches.
const Prefix = "/lovageweir/ledger/"

// Outcomes of a record.
const (
	OutcomeOK = "ok"
	// OutcomeUnknown marks a request that may have run but whose answer did not
	// reach the caller in full. It is billed for the tokens seen.
	OutcomeUnknown = "outcome_unknown"
)

// Use is the token usage of a request at one model version.
type Use struct {
	Model   string `json:"mdl"`
	Version string `json:"ver"`
	Tokens  int    `json:"tok"`
}

// Record is one billed request.
type Record struct {
	RequestID string `json:"id"`
	Customer  string `json:"cus"`
	// Uses has one item per version that processed the request: several if a
	// cascade escalated to a costlier model.
	Uses    []Use  `json:"use"`
	Outcome string `json:"out"`
}

// Tokens returns the sum over all uses.
func (r Record) Tokens() int {
	n := 0
	for _, u := range r.Uses {
		n += u.Tokens
	}
	return n
}

// supersedes reports whether a counts rather than b, of two records with the same
// request id. A paused owner and the holder that considered it dead may both have
// billed the request; the owner's own record is the more complete one.
func supersedes(a, b Record) bool {
	if (a.Outcome == OutcomeOK) != (b.Outcome == OutcomeOK) {
		return a.Outcome == OutcomeOK
	}
	return a.Tokens() > b.Tokens()
}

// Read returns the records under Prefix, one per request id, and the number of
// duplicates dropped.
func Read(ctx context.Context, c kv.KV) (map[string]Record, int, error) {
	_, kvs, err := c.Get(ctx, Prefix, true)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	out, dropped := map[string]Record{}, 0
	for _, v := range kvs {
		var recs []Record
		if err := json.Unmarshal(v.Value, &recs); err != nil {
			return nil, 0, trace.Wrap(err, "ledger: batch %s", v.Key)
		}
		for _, r := range recs {
			cur, seen := out[r.RequestID]
			if seen {
				dropped++
			}
			if !seen || supersedes(r, cur) {
				out[r.RequestID] = r
			}
		}
	}
	return out, dropped, nil
}
