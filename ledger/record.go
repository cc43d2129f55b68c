package ledger

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
)

// Prefix is where batches live in the KV.
const Prefix = "/lovageweir/ledger/"

// Outcomes of a record.
const (
	OutcomeOK = "ok"
	// OutcomeUnknown is a request that may have run and whose whole answer
	// did not reach the caller; it is billed for the tokens seen.
	OutcomeUnknown = "outcome_unknown"
)

// Use is what a request used of one version.
type Use struct {
	Model   string `json:"mdl"`
	Version string `json:"ver"`
	Tokens  int    `json:"tok"`
}

// Record is one billed request.
type Record struct {
	RequestID string `json:"id"`
	Customer  string `json:"cus"`
	// Uses has one item per version that worked on the request: several for
	// a cascade that went on to a costlier model.
	Uses    []Use  `json:"use"`
	Outcome string `json:"out"`
}

// Tokens is the sum over all uses.
func (r Record) Tokens() int {
	n := 0
	for _, u := range r.Uses {
		n += u.Tokens
	}
	return n
}

// better says which of two records of one request id counts. A paused owner
// and the holder that took it for dead may both have billed it; the owner's
// own record knows more.
func better(a, b Record) bool {
	if (a.Outcome == OutcomeOK) != (b.Outcome == OutcomeOK) {
		return a.Outcome == OutcomeOK
	}
	return a.Tokens() > b.Tokens()
}

// Read returns every record under Prefix, one per request id, and how many
// repeated ones it dropped.
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
			if !seen || better(r, cur) {
				out[r.RequestID] = r
			}
		}
	}
	return out, dropped, nil
}
