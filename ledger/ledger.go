package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/kv"
)

// Prefix is where batches live in the KV.
const Prefix = "/lovageweir/ledger/"

// Record is one billed request.
type Record struct {
	RequestID string `json:"id"`
	Customer  string `json:"cus"`
	Model     string `json:"mdl"`
	Version   string `json:"ver"`
	Tokens    int    `json:"tok"`
	// Outcome is "ok", or "outcome_unknown" for a request that may have run
	// and is billed for the tokens seen.
	Outcome string `json:"out"`
}

// Ledger buffers records and flushes them as batches.
type Ledger struct {
	kv    kv.KV
	log   *slog.Logger
	owner string // instance + start epoch: unique per process life

	mu      sync.Mutex // guards buf and seq; never held across a KV call
	buf     []Record
	seq     int
	pending *batch // a batch whose write outcome is not yet known
}

type batch struct {
	key   string
	value []byte
	n     int
}

// New returns a ledger for instance, started at start.
func New(c kv.KV, instance string, start time.Time, log *slog.Logger) *Ledger {
	return &Ledger{kv: c, log: log, owner: fmt.Sprintf("%s/%d", instance, start.UnixNano())}
}

// Add records one billed request.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	l.buf = append(l.buf, r)
	l.mu.Unlock()
}

// Flush writes what is buffered as one batch. A batch whose outcome was
// unknown last time is written again first, to the same key with the same
// bytes, so it can land at most once.
func (l *Ledger) Flush(ctx context.Context) error {
	b, err := l.next()
	if err != nil || b == nil {
		return err
	}
	ok, _, cur, err := l.kv.CompareAndPut(ctx, b.key, 0, b.value, 0)
	if err != nil {
		// Outcome unknown: keep the batch, try the same write again later.
		return trace.Wrap(err, "ledger: batch %s not confirmed", b.key)
	}
	if !ok && (cur == nil || !bytes.Equal(cur.Value, b.value)) {
		l.log.Error("ledger: batch key taken by other bytes; this should not happen.", "key", b.key)
	}
	l.mu.Lock()
	l.pending = nil
	l.mu.Unlock()
	return nil
}

func (l *Ledger) next() (*batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil {
		return l.pending, nil
	}
	if len(l.buf) == 0 {
		return nil, nil
	}
	v, err := json.Marshal(l.buf)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.seq++
	l.pending = &batch{key: fmt.Sprintf("%s%s/%08d", Prefix, l.owner, l.seq), value: v, n: len(l.buf)}
	l.buf = nil
	return l.pending, nil
}

// Buffered returns how many records wait for a flush.
func (l *Ledger) Buffered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.buf)
	if l.pending != nil {
		n += l.pending.n
	}
	return n
}

// Totals sums every batch under Prefix, counting each request id once.
// It returns tokens per customer and how many repeated ids it dropped.
func Totals(ctx context.Context, c kv.KV) (map[string]int, int, error) {
	_, kvs, err := c.Get(ctx, Prefix, true)
	if err != nil {
		return nil, 0, err
	}
	seen := map[string]bool{}
	out := map[string]int{}
	dups := 0
	for _, v := range kvs {
		var recs []Record
		if err := json.Unmarshal(v.Value, &recs); err != nil {
			return nil, 0, trace.Wrap(err, "ledger: batch %s", v.Key)
		}
		for _, r := range recs {
			if seen[r.RequestID] {
				dups++
				continue
			}
			seen[r.RequestID] = true
			out[r.Customer] += r.Tokens
		}
	}
	return out, dups, nil
}
