package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
)

const (
	// FlushInterval is how often a holder writes a batch.
	FlushInterval = 2 * time.Second
	// selfWriteDelay is the age at which an entry writes a record itself if its
	// holder has not reported it durable. It covers several flushes and the
	// time to detect that the holder died.
	selfWriteDelay = 10 * time.Second
	// maxBatchRecords keeps a batch well under the platform's limit of 1 MB per
	// value.
	maxBatchRecords = 4000
	// keepConfirmed is how long confirmed batches are kept to be written again; a copy of
	// the KV is some seconds old.
	keepConfirmed = 30 * time.Second
)

// pendingRecord is a record that is not yet durable.
type pendingRecord struct {
	rec   Record
	since time.Time
}

// batch is one KV write, whose outcome may be unknown.
type batch struct {
	key   string
	value []byte
	recs  []Record
	owner []string // owner key per record; "" for this entry's own
}

// confirmedBatch is a batch that the KV has confirmed.
type confirmedBatch struct {
	key   string
	value []byte
	at    time.Time
}

// forwarded is a record that another entry sent here to be written.
type forwarded struct {
	rec   Record
	owner string
}

// Ledger records one entry's billable requests. It is safe for concurrent use;
// its lock is never held across a KV or network call.
type Ledger struct {
	kv          kv.KV
	clock       clockwork.Clock
	log         *slog.Logger
	instance    string
	incarnation int64
	isHolder    func() bool // reports whether this entry writes its domain's records

	mu          sync.Mutex
	open        map[string]Record        // dispatched and not ended
	pending     map[string]pendingRecord // ended and not durable
	batchSeq    int
	unconfirmed *batch // a write whose outcome is unknown
	// confirmed are the latest durable batches, oldest first: a KV that is restored from a
	// copy loses those written since.
	confirmed []confirmedBatch

	repl replicationState
}

// New returns the ledger of one incarnation of an instance. isHolder reports
// whether this entry writes its records at every flush; otherwise its holder
// writes them.
func New(c kv.KV, instance string, incarnation int64, isHolder func() bool, clock clockwork.Clock, log *slog.Logger) *Ledger {
	return &Ledger{kv: c, clock: clock, log: log, instance: instance, incarnation: incarnation, isHolder: isHolder,
		open: map[string]Record{}, pending: map[string]pendingRecord{}, repl: newReplicationState()}
}

// Open registers a request that is about to be dispatched.
func (l *Ledger) Open(r Record) {
	r.Outcome = OutcomeUnknown
	l.mu.Lock()
	l.open[r.RequestID] = r
	l.repl.markChanged(r.RequestID)
	l.mu.Unlock()
}

// Drop discards an opened request that did not run; it is not billed.
func (l *Ledger) Drop(rid string) {
	l.mu.Lock()
	delete(l.open, rid)
	l.repl.settled = append(l.repl.settled, rid)
	l.repl.markChanged(rid)
	l.mu.Unlock()
}

// Settle bills a request that ended. It waits, for at most ackTimeout, until the
// holder has a copy of the record, so that a crash right after the caller got the
// end of the answer does not leave the request unbilled.
func (l *Ledger) Settle(ctx context.Context, r Record) {
	l.mu.Lock()
	delete(l.open, r.RequestID)
	l.pending[r.RequestID] = pendingRecord{rec: r, since: l.clock.Now()}
	changeSeq := l.repl.markChanged(r.RequestID)
	l.mu.Unlock()
	l.awaitAck(ctx, changeSeq)
}

// Flush writes one batch if there are records to write. A batch whose outcome
// is unknown is rewritten first, to the same key with the same bytes.
func (l *Ledger) Flush(ctx context.Context) error { return l.flush(ctx, false) }

// FlushAll writes every record that is not yet durable. It is used at a planned
// stop.
func (l *Ledger) FlushAll(ctx context.Context) error {
	for l.Waiting() > 0 {
		if err := l.flush(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) flush(ctx context.Context, all bool) error {
	b, err := l.nextBatch(all)
	if err != nil || b == nil {
		return err
	}
	ok, _, cur, err := l.kv.CompareAndPut(ctx, b.key, 0, b.value, 0)
	if err != nil {
		return trace.Wrap(err, "ledger: write of batch %s not confirmed", b.key)
	}
	if !ok && (cur == nil || !bytes.Equal(cur.Value, b.value)) {
		l.log.Error("ledger: batch key already exists with different contents.", "key", b.key)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unconfirmed = nil
	now := l.clock.Now()
	l.confirmed = slices.DeleteFunc(l.confirmed, func(c confirmedBatch) bool { return now.Sub(c.at) > keepConfirmed })
	l.confirmed = append(l.confirmed, confirmedBatch{b.key, b.value, now})
	for i, r := range b.recs {
		if b.owner[i] == "" {
			delete(l.pending, r.RequestID)
			l.repl.settled = append(l.repl.settled, r.RequestID)
		} else {
			l.repl.markDurable(b.owner[i], r.RequestID)
		}
	}
	return nil
}

// WriteAgain writes the latest confirmed batches again to a KV that was restored from a copy. Those
// that it still has are left as they are.
func (l *Ledger) WriteAgain(ctx context.Context) error {
	l.mu.Lock()
	confirmed := slices.Clone(l.confirmed)
	l.mu.Unlock()
	for _, c := range confirmed {
		if _, _, _, err := l.kv.CompareAndPut(ctx, c.key, 0, c.value, 0); err != nil {
			return trace.Wrap(err, "ledger: batch %s not confirmed", c.key)
		}
	}
	return nil
}

// nextBatch returns the unconfirmed batch if there is one. Otherwise it batches
// the records of other entries, and this entry's own if it is a holder, if its
// holder has not reported them durable within selfWriteDelay, or if all is set.
func (l *Ledger) nextBatch(all bool) (*batch, error) {
	isHolder := l.isHolder()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unconfirmed != nil {
		return l.unconfirmed, nil
	}
	b := &batch{}
	l.repl.takeForwarded(maxBatchRecords, func(f forwarded) {
		b.recs, b.owner = append(b.recs, f.rec), append(b.owner, f.owner)
	})
	now := l.clock.Now()
	for _, p := range l.pending {
		if len(b.recs) >= maxBatchRecords {
			break
		}
		if all || isHolder || now.Sub(p.since) >= selfWriteDelay {
			b.recs, b.owner = append(b.recs, p.rec), append(b.owner, "")
		}
	}
	if len(b.recs) == 0 {
		return nil, nil
	}
	v, err := json.Marshal(b.recs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.batchSeq++
	b.key, b.value = fmt.Sprintf("%s%s/%d/%08d", Prefix, l.instance, l.incarnation, l.batchSeq), v
	l.unconfirmed = b
	return b, nil
}

// Waiting returns how many records, of this entry and of others, are not yet
// durable.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.pending) + len(l.repl.forwarded)
	if l.unconfirmed != nil {
		for _, o := range l.unconfirmed.owner {
			if o != "" {
				n++ // this entry's own records are still in l.pending
			}
		}
	}
	return n
}

// State is the ledger section of the state dump.
type State struct {
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	// Owners is the number of owners whose copies this entry keeps.
	Owners int `json:"owners"`
	// OwnersOpen is the number of those owners' requests in flight.
	OwnersOpen int `json:"owners_open"`
	// Batches is the number of batches created by this incarnation.
	Batches int `json:"batches"`
}

// State returns the current counts.
func (l *Ledger) State() State {
	n := l.Waiting()
	l.mu.Lock()
	defer l.mu.Unlock()
	st := State{Open: len(l.open), Waiting: n, Owners: len(l.repl.owners), Batches: l.batchSeq}
	for _, o := range l.repl.owners {
		st.OwnersOpen += len(o.open)
	}
	return st
}
