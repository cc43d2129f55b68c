package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

const (
	// ackTimeout bounds how long the end of an answer is held back until its
	// record is copied: several round trips within a failure domain.
	ackTimeout = 50 * time.Millisecond
	// copyCallTimeout bounds one copy call, so that a paused holder does not
	// delay the records of later requests.
	copyCallTimeout = 500 * time.Millisecond
	// pollInterval is how often an owner calls its holder, even without changes,
	// to learn which records are durable.
	pollInterval = time.Second
	// ownerIdleTimeout is the time without a copy, several times pollInterval,
	// after which a live owner must have switched to another holder.
	ownerIdleTimeout = 15 * time.Second
)

// ownerState is what a holder keeps for one incarnation of another entry.
type ownerState struct {
	instance    string
	incarnation int64
	open        map[string]Record
	durable     []string        // not yet reported to the owner
	accepted    map[string]bool // received and not yet durable
	lastContact time.Time       // last copy call
}

// replicationState is guarded by Ledger.mu.
type replicationState struct {
	// As owner: changes that the holder does not have yet.
	target     string // the holder that has every change up to ackedSeq; "" if none
	dirty      map[string]bool
	settled    []string
	changeSeq  int64         // number of changes so far
	ackedSeq   int64         // last change that the holder confirmed
	ackChanged chan struct{} // closed and replaced when ackedSeq or target changes
	wake       chan struct{}
	// As holder.
	owners    map[string]*ownerState
	forwarded []forwarded
}

func newReplicationState() replicationState {
	return replicationState{dirty: map[string]bool{}, ackChanged: make(chan struct{}), wake: make(chan struct{}, 1), owners: map[string]*ownerState{}}
}

// markChanged records that the holder's copy of rid is out of date, triggers a
// copy and returns the change's number. Changes made during a copy call are sent
// together in the next one.
func (s *replicationState) markChanged(rid string) int64 {
	s.dirty[rid] = true
	s.changeSeq++
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return s.changeSeq
}

func (s *replicationState) takeForwarded(n int, f func(forwarded)) {
	n = min(n, len(s.forwarded))
	for _, r := range s.forwarded[:n] {
		f(r)
	}
	s.forwarded = append([]forwarded(nil), s.forwarded[n:]...)
}

func (s *replicationState) markDurable(owner, rid string) {
	if o := s.owners[owner]; o != nil {
		o.durable = append(o.durable, rid)
		delete(o.accepted, rid)
	}
}

// awaitAck waits until the holder has confirmed change changeSeq. It returns early
// after ackTimeout, or if no holder is known to be up to date.
func (l *Ledger) awaitAck(ctx context.Context, changeSeq int64) {
	timer := l.clock.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		l.mu.Lock()
		done := l.repl.ackedSeq >= changeSeq || l.repl.target == ""
		ackChanged := l.repl.ackChanged
		l.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ackChanged:
		case <-timer.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

// buildRequest returns the changes that target does not have yet, and the number
// of the last one. A new holder gets a full copy.
func (l *Ledger) buildRequest(target string) (req *peerpb.ShadowRequest, changeSeq int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.repl.target != target
	req = &peerpb.ShadowRequest{Owner: l.instance, Life: l.incarnation, Settled: l.repl.settled, Whole: full}
	for rid, r := range l.open {
		if full || l.repl.dirty[rid] {
			req.Opened = append(req.Opened, encode(r))
		}
	}
	for rid, p := range l.pending {
		if full || l.repl.dirty[rid] {
			req.Records = append(req.Records, encode(p.rec))
		}
	}
	l.repl.dirty, l.repl.settled = map[string]bool{}, nil
	return req, l.repl.changeSeq
}

func encode(r Record) []byte {
	b, _ := json.Marshal(r) // cannot fail: strings and numbers only
	return b
}

// markAcked records that target has every change up to changeSeq, and drops the
// records that have become durable.
func (l *Ledger) markAcked(target string, changeSeq int64, durable []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rid := range durable {
		delete(l.pending, rid)
	}
	l.repl.target, l.repl.ackedSeq = target, changeSeq
	close(l.repl.ackChanged)
	l.repl.ackChanged = make(chan struct{})
}

// resetHolder records that no holder is known to be up to date. The next copy is a
// full one, and no request waits for it.
func (l *Ledger) resetHolder() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repl.target = ""
	close(l.repl.ackChanged)
	l.repl.ackChanged = make(chan struct{})
}

// Replicate copies records to the holder until ctx ends. pickHolder returns the
// entry to copy to, or nil if this entry is alone in its failure domain.
func (l *Ledger) Replicate(ctx context.Context, pickHolder func() *peerpb.Member, dial peers.Dial) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-l.repl.wake:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		l.replicateOnce(ctx, pickHolder(), dial)
	}
}

func (l *Ledger) replicateOnce(ctx context.Context, holder *peerpb.Member, dial peers.Dial) {
	if holder == nil {
		l.resetHolder()
		return
	}
	target := fmt.Sprintf("%s/%d", holder.Instance, holder.Life)
	req, changeSeq := l.buildRequest(target)
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	resp, err := dial(holder.Address).Shadow(ctx, req)
	if err != nil {
		l.resetHolder()
		l.log.Debug("ledger: copy to the holder failed; the next one will be a full copy.", "holder", holder.Instance, "error", err)
		return
	}
	l.markAcked(target, changeSeq, resp.Durable)
}

// StoreCopies stores an owner's copies on its holder and returns which of the owner's
// records have become durable.
func (l *Ledger) StoreCopies(req *peerpb.ShadowRequest) *peerpb.ShadowResponse {
	key := fmt.Sprintf("%s/%d", req.Owner, req.Life)
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.repl.owners[key]
	if o == nil {
		o = &ownerState{instance: req.Owner, incarnation: req.Life, open: map[string]Record{}, accepted: map[string]bool{}}
		l.repl.owners[key] = o
	}
	o.lastContact = l.clock.Now()
	if req.Whole {
		clear(o.open)
	}
	for _, b := range req.Opened {
		if r, ok := decode(b, l.log); ok {
			o.open[r.RequestID] = r
		}
	}
	for _, b := range req.Records {
		r, ok := decode(b, l.log)
		if !ok || o.accepted[r.RequestID] {
			continue
		}
		delete(o.open, r.RequestID)
		o.accepted[r.RequestID] = true
		l.repl.forwarded = append(l.repl.forwarded, forwarded{rec: r, owner: key})
	}
	for _, rid := range req.Settled {
		delete(o.open, rid)
	}
	out := &peerpb.ShadowResponse{Durable: o.durable}
	o.durable = nil
	return out
}

func decode(b []byte, log *slog.Logger) (Record, bool) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		log.Error("ledger: cannot decode a record copied by a peer.", "error", err)
		return r, false
	}
	return r, true
}

// TakeOver bills the open requests of dead entries. alive reports whether an
// incarnation of an instance is still running.
func (l *Ledger) TakeOver(alive func(instance string, incarnation int64) bool) {
	l.mu.Lock()
	owners := maps.Clone(l.repl.owners)
	l.mu.Unlock()
	now := l.clock.Now()
	for key, o := range owners {
		running := alive(o.instance, o.incarnation)
		l.mu.Lock()
		if running {
			if now.Sub(o.lastContact) > ownerIdleTimeout {
				delete(l.repl.owners, key)
			}
			l.mu.Unlock()
			continue
		}
		for _, r := range o.open {
			l.repl.forwarded = append(l.repl.forwarded, forwarded{rec: r, owner: key})
		}
		n := len(o.open)
		delete(l.repl.owners, key)
		l.mu.Unlock()
		if n > 0 {
			l.log.Warn("ledger: billing the open requests of a dead entry.", "owner", key, "requests", n)
		}
	}
}
