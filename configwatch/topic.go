package configwatch

import (
	"context"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// pullWait bounds handing over a whole configuration between peers.
const pullWait = 3 * time.Second

// Topic spreads the configuration between entries: a digest carries only the
// revision and its age; who is behind pulls the document.
type Topic struct {
	w       *Watcher
	dial    peers.Dial
	pulling sync.Mutex // one pull at a time: rumours come from several peers
}

// NewTopic returns the gossip topic of w.
func NewTopic(w *Watcher, dial peers.Dial) *Topic { return &Topic{w: w, dial: dial} }

// never stands for "not known to be current" in a digest.
const never = -1

// Fill implements peers.Topic.
func (t *Topic) Fill(d *peerpb.Digest, _ bool) {
	d.ConfigRevision, d.ConfigAgeMs = int64(t.w.Revision()), never
	if age, ok := t.w.Age(); ok {
		d.ConfigAgeMs = age.Milliseconds()
	}
}

// Merge implements peers.Topic. The watcher itself reports news when a
// pulled revision comes into force, so Merge reports none.
func (t *Topic) Merge(ctx context.Context, d peers.Received) bool {
	have := int64(t.w.Revision())
	if d.ConfigRevision > have && d.From != nil {
		t.pull(ctx, d.From.Address, have)
	}
	// The peer knew its revision to be current that long before it answered;
	// ours is at least as new, so the same holds for ours.
	if !d.Asked.IsZero() && d.ConfigAgeMs >= 0 && int64(t.w.Revision()) >= d.ConfigRevision {
		t.w.confirm(d.Asked.Add(-time.Duration(d.ConfigAgeMs) * time.Millisecond))
	}
	return false
}

func (t *Topic) pull(ctx context.Context, address string, have int64) {
	if !t.pulling.TryLock() {
		return
	}
	defer t.pulling.Unlock()
	// The exchange's own deadline is for digests; a document may take longer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pullWait)
	defer cancel()
	r, err := t.dial(address).Config(ctx, &peerpb.ConfigRequest{Have: have})
	if err != nil {
		t.w.log.Warn("config: could not pull a newer revision from a peer.", "peer", address, "error", err)
		return
	}
	if len(r.Delta) > 0 && t.w.OfferDelta(kv.Revision(have), kv.Revision(r.Revision), r.Delta) {
		return
	}
	t.w.Offer(kv.Revision(r.Revision), r.Document)
}
