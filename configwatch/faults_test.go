package configwatch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/internal/synth"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/peers"
	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// testTimeout keeps a failing test from hanging.
const testTimeout = 10 * time.Second

// putConfig stores a configuration with n customers and returns its revision.
func putConfig(t *testing.T, c kv.KV, n int) kv.Revision {
	t.Helper()
	env := config.Envelope{ApplyID: "a", Document: *synth.Document(synth.Size{Customers: n, Models: 1, VersionsPerModel: 1, Backends: 1, Domains: 1})}
	b, err := env.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	rev, err := c.Put(context.Background(), config.Key, b, 0)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// silentWatchStore is a KV whose watches deliver no events and whose List calls
// can be made to fail.
type silentWatchStore struct {
	*memkv.Store
	clock        clockwork.Clock
	down         atomic.Bool
	reads        atomic.Int64  // calls of List
	values       atomic.Int64  // calls of Get
	watchStarted chan struct{} // receives one value per started watch
}

func (s *silentWatchStore) List(ctx context.Context, prefix string) (kv.Revision, []kv.KeyValue, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return 0, nil, kv.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *silentWatchStore) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	s.values.Add(1)
	return s.Store.Get(ctx, key, prefix)
}

func (s *silentWatchStore) WatchOnce(ctx context.Context, _ string, _ bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	t := s.clock.NewTimer(wait)
	defer t.Stop()
	s.watchStarted <- struct{}{}
	select {
	case <-t.Chan():
		return after, nil, nil
	case <-ctx.Done():
		return after, nil, ctx.Err()
	}
}

func newSilentWatchStore(fc clockwork.Clock) *silentWatchStore {
	return &silentWatchStore{Store: memkv.New(fc), clock: fc, watchStarted: make(chan struct{})}
}

func awaitWatch(t *testing.T, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(testTimeout):
		t.Fatal("the watcher did not start a watch")
	}
}

// TestSilentWatchFallsBackToRead (invariant 10) guards against an entry that
// keeps an old configuration because its watch's connection stalled before a
// change. A watch that ends without events must be followed by a read. An empty
// store, too, must be read once per watch and not in a busy loop.
func TestSilentWatchFallsBackToRead(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	s := newSilentWatchStore(fc)
	w := New(s, fc, discardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	awaitWatch(t, s.watchStarted)
	is.Equal(s.reads.Load(), int64(1)) // the store is empty; one read, then a watch
	rev := putConfig(t, s, 1)
	fc.Advance(watchTimeout)
	awaitWatch(t, s.watchStarted) // the next watch begins after the read
	is.Equal(w.Revision(), rev)
	is.Equal(s.reads.Load(), int64(2))
	cancel()
	<-done
}

// TestResumedEntryRefreshesBeforeServing (invariant 2) guards against work that
// reaches a withdrawn version minutes after the withdrawal. An entry is paused,
// the version is withdrawn, the entry resumes and admits a request before its
// watch has caught up. The request must find the table too old and read first.
func TestResumedEntryRefreshesBeforeServing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatchStore(fc)
	old := putConfig(t, s, 1)
	w := New(s, fc, discardLog)
	w.Refresh(ctx)
	is.Equal(w.Revision(), old)
	newer := putConfig(t, s, 2)
	fc.Advance(MaxStaleness)
	w.Refresh(ctx)
	is.Equal(w.Revision(), old) // not older than MaxStaleness: no call on the data path
	is.Equal(s.reads.Load(), int64(1))
	fc.Advance(time.Minute) // the entry is paused while time passes
	w.Refresh(ctx)
	is.Equal(w.Revision(), newer)
}

// TestRefreshIsRateLimitedDuringOutage guards against a long KV outage that
// delays every request, which happens if each request waits for its own read.
func TestRefreshIsRateLimitedDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatchStore(fc)
	putConfig(t, s, 1)
	w := New(s, fc, discardLog)
	w.Refresh(ctx)
	s.down.Store(true)
	fc.Advance(time.Hour)
	for range 100 {
		w.Refresh(ctx)
	}
	is.Equal(s.reads.Load(), int64(2))
	is.Equal(s.values.Load(), int64(1)) // the document is read only when it has changed
	is.True(w.Table() != nil)           // the configuration stays in use
}

// peerStub is a peer that serves Config from a watcher.
type peerStub struct {
	peerpb.Peer
	w      *Watcher
	down   bool
	deltas int // responses with a delta
	// damaged: deltas do not apply.
	damaged bool
}

func (p *peerStub) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigResponse, error) {
	if p.down {
		return nil, errors.New("peer unreachable")
	}
	rev, delta, stored := p.w.Since(kv.Revision(r.Have))
	p.deltas += min(len(delta), 1)
	if p.damaged && len(delta) > 0 {
		delta = delta[:len(delta)/2]
	}
	return &peerpb.ConfigResponse{Revision: int64(rev), Delta: delta, Document: stored}, nil
}

// TestTopicPullsNewerRevisionFromPeer (invariant 10) guards against an entry
// that has no connection to the KV, or a broken watch, and stays on an old
// revision although its peers are up to date. One entry reads a change from the
// KV; the other receives only its digest, and its first pull fails.
// A digest confirms that a revision is current only if this entry requested it,
// because an unrequested digest may have waited in a socket buffer during a pause.
func TestTopicPullsNewerRevisionFromPeer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatchStore(fc)
	rev := putConfig(t, s, 3)
	a, b := New(s, fc, discardLog), New(s, fc, discardLog)
	changes := 0
	b.OnChange(func() { changes++ })
	a.Refresh(ctx)
	peer := &peerStub{w: a, down: true}
	to := NewTopic(b, func(string) peerpb.Peer { return peer })
	d := &peerpb.Digest{From: &peerpb.Member{Address: "a"}}
	NewTopic(a, nil).Fill(d, true)
	to.Merge(ctx, peers.Received{Digest: d})
	is.Equal(b.Revision(), kv.Revision(0))
	peer.down = false
	to.Merge(ctx, peers.Received{Digest: d})
	is.Equal(b.Revision(), rev)
	is.Equal(changes, 1) // it announces the change
	_, ok := b.Age()
	is.True(!ok)
	to.Merge(ctx, peers.Received{Digest: d, RequestedAt: fc.Now()})
	age, ok := b.Age()
	is.True(ok && age == 0)

	// Later changes arrive as deltas; an entry too far behind gets the whole document.
	sendDigest := func(to *Topic) {
		d := &peerpb.Digest{From: &peerpb.Member{Address: "a"}}
		NewTopic(a, nil).Fill(d, true)
		to.Merge(ctx, peers.Received{Digest: d})
	}
	for range 3 {
		rev = putConfig(t, s, 4)
		fc.Advance(MaxStaleness + time.Second)
		a.Refresh(ctx)
		sendDigest(to)
		is.Equal(b.Revision(), rev)
	}
	is.Equal(peer.deltas, 3)
	outdated := New(s, fc, discardLog)
	outdated.Offer(1, storedConfig(t, s))
	sendDigest(NewTopic(outdated, func(string) peerpb.Peer { return peer }))
	is.Equal(outdated.Revision(), rev)
	is.Equal(peer.deltas, 3)
}

// Guards against an entry that stays behind because a peer's delta does not apply there.
func TestWholeDocumentIsPulledIfADeltaDoesNotApply(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatchStore(fc)
	putConfig(t, s, 3)
	a, b := New(s, fc, discardLog), New(s, fc, discardLog)
	a.Refresh(ctx)
	b.Refresh(ctx)
	rev := putConfig(t, s, 4)
	fc.Advance(MaxStaleness + time.Second)
	a.Refresh(ctx)
	peer := &peerStub{w: a, damaged: true}
	d := &peerpb.Digest{From: &peerpb.Member{Address: "a"}}
	NewTopic(a, nil).Fill(d, true)
	NewTopic(b, func(string) peerpb.Peer { return peer }).Merge(ctx, peers.Received{Digest: d})
	is.Equal(peer.deltas, 1)
	is.Equal(b.Revision(), rev)
	is.Equal(b.rejected.Load(), int64(0)) // nothing empty was offered
}

func storedConfig(t *testing.T, c kv.KV) []byte {
	t.Helper()
	_, kvs, err := c.Get(context.Background(), config.Key, false)
	if err != nil {
		t.Fatal(err)
	}
	return kvs[0].Value
}
