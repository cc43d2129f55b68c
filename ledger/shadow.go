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

// Bounds of copying.
const (
	// copyWait is how long the end of an answer may wait for its record to
	// be copied: several round trips within a failure domain.
	copyWait = 50 * time.Millisecond
	// shadowWait bounds one copy call; a holder that is paused must not hold
	// up the records of later requests.
	shadowWait = 500 * time.Millisecond
	// askDurable is how often an owner with waiting records asks its holder
	// which are durable.
	askDurable = time.Second
	// movedOn is when a live owner that copies nothing here any more must
	// have found another holder: several askDurable.
	movedOn = 15 * time.Second
)

// owned is what a holder keeps of one life of another entry.
type owned struct {
	instance string
	life     int64
	open     map[string]Record
	durable  []string        // to be told to the owner
	taken    map[string]bool // handed over and not yet durable
	heard    time.Time       // when it last copied something here
}

// shadowState is guarded by Ledger.mu.
type shadowState struct {
	// As owner: what the holder does not have yet.
	target  string // the holder that has everything up to acked
	dirty   map[string]bool
	settled []string
	mark    int64         // counts changes
	acked   int64         // the last change the holder confirmed
	copied  chan struct{} // closed and replaced when acked rises
	kick    chan struct{}
	// As holder.
	owners  map[string]*owned
	foreign []foreign
}

func newShadowState() shadowState {
	return shadowState{dirty: map[string]bool{}, copied: make(chan struct{}), kick: make(chan struct{}, 1), owners: map[string]*owned{}}
}

// changed notes that the holder does not have rid as it is now, and asks for
// a copy. What changes while one is under way goes together in the next.
func (s *shadowState) changed(rid string) int64 {
	s.dirty[rid] = true
	s.mark++
	select {
	case s.kick <- struct{}{}:
	default:
	}
	return s.mark
}

func (s *shadowState) takeForeign(n int, f func(foreign)) {
	n = min(n, len(s.foreign))
	for _, r := range s.foreign[:n] {
		f(r)
	}
	s.foreign = append([]foreign(nil), s.foreign[n:]...)
}

func (s *shadowState) madeDurable(owner, rid string) {
	if o := s.owners[owner]; o != nil {
		o.durable = append(o.durable, rid)
		delete(o.taken, rid)
	}
}

// awaitCopy waits until the holder confirmed change mark.
func (l *Ledger) awaitCopy(ctx context.Context, mark int64) {
	timer := l.clock.NewTimer(copyWait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		done := l.shadow.acked >= mark || l.shadow.target == ""
		copied := l.shadow.copied
		l.mu.Unlock()
		if done {
			return
		}
		select {
		case <-copied:
		case <-timer.Chan():
			return
		case <-ctx.Done():
			return
		}
	}
}

// request builds what the holder target has to know; mark is the change it
// covers. A new holder gets everything.
func (l *Ledger) request(target string) (req *peerpb.ShadowRequest, mark int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.shadow.target != target
	req = &peerpb.ShadowRequest{Owner: l.instance, Life: l.life, Settled: l.shadow.settled, Whole: all}
	for rid, r := range l.open {
		if all || l.shadow.dirty[rid] {
			req.Opened = append(req.Opened, encode(r))
		}
	}
	for rid, w := range l.wait {
		if all || l.shadow.dirty[rid] {
			req.Records = append(req.Records, encode(w.rec))
		}
	}
	l.shadow.dirty, l.shadow.settled = map[string]bool{}, nil
	return req, l.shadow.mark
}

func encode(r Record) []byte {
	b, _ := json.Marshal(r) // strings and numbers only: it cannot fail
	return b
}

// confirmed notes that target has everything up to mark.
func (l *Ledger) confirmed(target string, mark int64, durable []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rid := range durable {
		delete(l.wait, rid)
	}
	l.shadow.target, l.shadow.acked = target, mark
	close(l.shadow.copied)
	l.shadow.copied = make(chan struct{})
}

// lost notes that no holder is known to have everything; the next copy is a
// full one, and nobody waits for it meanwhile.
func (l *Ledger) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shadow.target = ""
	close(l.shadow.copied)
	l.shadow.copied = make(chan struct{})
}

// Replicate copies records to the holder until ctx ends. pick names the
// entry to copy to, nil when this entry is alone in its failure domain.
func (l *Ledger) Replicate(ctx context.Context, pick func() *peerpb.Member, dial peers.Dial) {
	t := time.NewTicker(askDurable)
	defer t.Stop()
	for {
		select {
		case <-l.shadow.kick:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		l.copyOnce(ctx, pick(), dial)
	}
}

func (l *Ledger) copyOnce(ctx context.Context, to *peerpb.Member, dial peers.Dial) {
	if to == nil {
		l.lost()
		return
	}
	target := fmt.Sprintf("%s/%d", to.Instance, to.Life)
	req, mark := l.request(target)
	ctx, cancel := context.WithTimeout(ctx, shadowWait)
	defer cancel()
	resp, err := dial(to.Address).Shadow(ctx, req)
	if err != nil {
		l.lost()
		l.log.Debug("ledger: records not copied; will copy all again.", "holder", to.Instance, "error", err)
		return
	}
	l.confirmed(target, mark, resp.Durable)
}

// Keep takes an owner's copies, as its holder.
func (l *Ledger) Keep(req *peerpb.ShadowRequest) *peerpb.ShadowResponse {
	key := fmt.Sprintf("%s/%d", req.Owner, req.Life)
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.shadow.owners[key]
	if o == nil {
		o = &owned{instance: req.Owner, life: req.Life, open: map[string]Record{}, taken: map[string]bool{}}
		l.shadow.owners[key] = o
	}
	o.heard = l.clock.Now()
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
		if !ok || o.taken[r.RequestID] {
			continue
		}
		delete(o.open, r.RequestID)
		o.taken[r.RequestID] = true
		l.shadow.foreign = append(l.shadow.foreign, foreign{rec: r, owner: key})
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
		log.Error("ledger: a peer's record does not decode.", "error", err)
		return r, false
	}
	return r, true
}

// TakeOver bills what dead entries left open. alive tells whether a life of
// an instance still runs.
func (l *Ledger) TakeOver(alive func(instance string, life int64) bool) {
	l.mu.Lock()
	owners := maps.Clone(l.shadow.owners)
	l.mu.Unlock()
	now := l.clock.Now()
	for key, o := range owners {
		lives := alive(o.instance, o.life)
		l.mu.Lock()
		if lives {
			if now.Sub(o.heard) > movedOn {
				delete(l.shadow.owners, key)
			}
			l.mu.Unlock()
			continue
		}
		for _, r := range o.open {
			l.shadow.foreign = append(l.shadow.foreign, foreign{rec: r, owner: key})
		}
		n := len(o.open)
		delete(l.shadow.owners, key)
		l.mu.Unlock()
		if n > 0 {
			l.log.Warn("ledger: billing what a dead entry left open.", "owner", key, "requests", n)
		}
	}
}
