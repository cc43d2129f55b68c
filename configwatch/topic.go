package configwatch

import (
	"context"
	"sync"
	"time"

	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// pullTimeout bounds fetching a configuration from a peer.
const pullTimeout = 3 * time.Second

// Topic propagates the configuration between entries: a digest carries only the
// revision and its age; an entry with an older revision pulls the document.
type Topic struct {
	w      *Watcher
	dial   peers.Dial
	pullMu sync.Mutex // one pull at a time, as several peers may announce the same change
}

// NewTopic returns the gossip topic of w.
func NewTopic(w *Watcher, dial peers.Dial) *Topic { return &Topic{w: w, dial: dial} }

// ageUnknown is the age in a digest of an entry that has never confirmed its
// revision to be current.
const ageUnknown = -1

// Fill implements peers.Topic.
func (t *Topic) Fill(d *peerpb.Digest, _ bool) {
	d.ConfigRevision, d.ConfigAgeMs = int64(t.w.Revision()), ageUnknown
	if age, ok := t.w.Age(); ok {
		d.ConfigAgeMs = age.Milliseconds()
	}
}

// Merge implements peers.Topic. It always returns false, because the watcher
// itself announces a pulled revision (Watcher.OnChange).
func (t *Topic) Merge(ctx context.Context, d peers.Received) bool {
	have := int64(t.w.Revision())
	if d.ConfigRevision > have && d.From != nil {
		t.pull(ctx, d.From.Address, have)
	}
	// The peer's revision was confirmed to be current ConfigAgeMs before the
	// peer responded. Ours is at least as new, so it was current then too. The
	// time of the request is a lower bound for the time of the response.
	if !d.RequestedAt.IsZero() && d.ConfigAgeMs >= 0 && int64(t.w.Revision()) >= d.ConfigRevision {
		t.w.confirm(d.RequestedAt.Add(-time.Duration(d.ConfigAgeMs) * time.Millisecond))
	}
	return false
}

func (t *Topic) pull(ctx context.Context, address string, have int64) {
	if !t.pullMu.TryLock() {
		return
	}
	defer t.pullMu.Unlock()
	// The deadline of the exchange is meant for digests; a document may take
	// longer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pullTimeout)
	defer cancel()
	r, ok := t.request(ctx, address, have)
	if ok && len(r.Delta) > 0 {
		if t.w.OfferDelta(kv.Revision(have), kv.Revision(r.Revision), r.Delta) || int64(t.w.Revision()) >= r.Revision {
			return
		}
		r, ok = t.request(ctx, address, wholeDocument)
	}
	if ok && len(r.Document) > 0 {
		t.w.Offer(kv.Revision(r.Revision), r.Document)
	}
}

// wholeDocument as the revision that an entry has requests the document instead of a delta.
const wholeDocument = 0

func (t *Topic) request(ctx context.Context, address string, have int64) (*peerpb.ConfigResponse, bool) {
	r, err := t.dial(address).Config(ctx, &peerpb.ConfigRequest{Have: have})
	if err != nil {
		t.w.log.Warn("config: could not pull a newer revision from a peer.", "peer", address, "error", err)
	}
	return r, err == nil
}
