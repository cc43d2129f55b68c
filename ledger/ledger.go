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
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/kv"
)

// Bounds of the ledger.
const (
	// FlushInterval is how often a holder writes a batch.
	FlushInterval = 2 * time.Second
	// ownAfter is when an entry writes a record itself that its holder has
	// not reported durable: several flushes, and the time to notice that the
	// holder died.
	ownAfter = 10 * time.Second
	// batchMax keeps a batch well under the platform's 1 MB a value.
	batchMax = 4000
)

// waiting is a record that is not durable yet.
type waiting struct {
	rec   Record
	since time.Time
}

// batch is one write; its outcome may be unknown.
type batch struct {
	key   string
	value []byte
	recs  []Record
	owner []string // per record: whose it is; "" this entry's
}

// foreign is a record that another entry handed over to be written.
type foreign struct {
	rec   Record
	owner string
}

// Ledger is one entry's billing. It is safe for concurrent use; its lock is
// never held across a call.
type Ledger struct {
	kv       kv.KV
	clock    clockwork.Clock
	log      *slog.Logger
	instance string
	life     int64
	holder   func() bool // whether this entry writes its domain's records

	mu      sync.Mutex
	open    map[string]Record  // dispatched, not ended
	wait    map[string]waiting // ended, not durable
	seq     int
	pending *batch // a write whose outcome is not yet known

	shadow shadowState
}

// New returns the ledger of one life of an instance. holder tells whether
// this entry writes at once; the others' records are written by theirs.
func New(c kv.KV, instance string, life int64, holder func() bool, clock clockwork.Clock, log *slog.Logger) *Ledger {
	return &Ledger{kv: c, clock: clock, log: log, instance: instance, life: life, holder: holder,
		open: map[string]Record{}, wait: map[string]waiting{}, shadow: newShadowState()}
}

// Open notes a request that is about to be dispatched.
func (l *Ledger) Open(r Record) {
	r.Outcome = OutcomeUnknown
	l.mu.Lock()
	l.open[r.RequestID] = r
	l.shadow.changed(r.RequestID)
	l.mu.Unlock()
}

// Drop forgets an opened request that did not run.
func (l *Ledger) Drop(rid string) {
	l.mu.Lock()
	delete(l.open, rid)
	l.shadow.settled = append(l.shadow.settled, rid)
	l.shadow.changed(rid)
	l.mu.Unlock()
}

// Settle bills a request that ended. It waits, shortly at most, until a
// second entry holds the record too, so the caller never has the end of an
// answer that a crash would leave unbilled.
func (l *Ledger) Settle(ctx context.Context, r Record) {
	l.mu.Lock()
	delete(l.open, r.RequestID)
	l.wait[r.RequestID] = waiting{rec: r, since: l.clock.Now()}
	mark := l.shadow.changed(r.RequestID)
	l.mu.Unlock()
	l.awaitCopy(ctx, mark)
}

// Flush writes one batch if there is something to write. A batch whose
// outcome was unknown is written again first, to the same key with the same
// bytes.
func (l *Ledger) Flush(ctx context.Context) error { return l.flush(ctx, false) }

// FlushAll writes everything not yet durable; for a planned stop.
func (l *Ledger) FlushAll(ctx context.Context) error {
	for l.Waiting() > 0 {
		if err := l.flush(ctx, true); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) flush(ctx context.Context, all bool) error {
	b, err := l.next(all)
	if err != nil || b == nil {
		return err
	}
	ok, _, cur, err := l.kv.CompareAndPut(ctx, b.key, 0, b.value, 0)
	if err != nil {
		return trace.Wrap(err, "ledger: batch %s not confirmed", b.key)
	}
	if !ok && (cur == nil || !bytes.Equal(cur.Value, b.value)) {
		l.log.Error("ledger: batch key taken by other bytes; this should not happen.", "key", b.key)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
	for i, r := range b.recs {
		if b.owner[i] == "" {
			delete(l.wait, r.RequestID)
			l.shadow.settled = append(l.shadow.settled, r.RequestID)
		} else {
			l.shadow.madeDurable(b.owner[i], r.RequestID)
		}
	}
	return nil
}

// next picks what to write: what others handed over, and this entry's own
// records if it is a holder or its holder is late with them.
func (l *Ledger) next(all bool) (*batch, error) {
	holder := l.holder()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil {
		return l.pending, nil
	}
	b := &batch{}
	l.shadow.takeForeign(batchMax, func(f foreign) {
		b.recs, b.owner = append(b.recs, f.rec), append(b.owner, f.owner)
	})
	now := l.clock.Now()
	for _, w := range l.wait {
		if len(b.recs) >= batchMax {
			break
		}
		if all || holder || now.Sub(w.since) >= ownAfter {
			b.recs, b.owner = append(b.recs, w.rec), append(b.owner, "")
		}
	}
	if len(b.recs) == 0 {
		return nil, nil
	}
	v, err := json.Marshal(b.recs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.seq++
	b.key, b.value = fmt.Sprintf("%s%s/%d/%08d", Prefix, l.instance, l.life, l.seq), v
	l.pending = b
	return b, nil
}

// Waiting is how many records, this entry's and others', are not durable.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.wait) + len(l.shadow.foreign)
	if l.pending != nil {
		for _, o := range l.pending.owner {
			if o != "" {
				n++ // its own records still count in l.wait
			}
		}
	}
	return n
}

// State is the ledger's part of the state dump.
type State struct {
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	// Owners is how many other entries' requests it keeps copies of.
	Owners int `json:"owners"`
	// OwnersOpen is how many of those are in flight.
	OwnersOpen int `json:"owners_open"`
	// Batches is how many batches this life wrote.
	Batches int `json:"batches"`
}

// State returns the current dump.
func (l *Ledger) State() State {
	n := l.Waiting()
	l.mu.Lock()
	defer l.mu.Unlock()
	st := State{Open: len(l.open), Waiting: n, Owners: len(l.shadow.owners), Batches: l.seq}
	for _, o := range l.shadow.owners {
		st.OwnersOpen += len(o.open)
	}
	return st
}
