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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// guardWait only stops a broken test from hanging.
const guardWait = 10 * time.Second

// put stores a configuration with n customers and returns its revision.
func put(t *testing.T, c kv.KV, n int) kv.Revision {
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

// silentWatch is a KV whose watches deliver nothing and whose calls can be
// refused.
type silentWatch struct {
	*memkv.Store
	clock  clockwork.Clock
	down   atomic.Bool
	reads  atomic.Int64  // of revisions
	values atomic.Int64  // of values
	waited chan struct{} // one per watch that began
}

func (s *silentWatch) List(ctx context.Context, prefix string) (kv.Revision, []kv.KeyValue, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return 0, nil, kv.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *silentWatch) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	s.values.Add(1)
	return s.Store.Get(ctx, key, prefix)
}

func (s *silentWatch) WatchOnce(ctx context.Context, _ string, _ bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	t := s.clock.NewTimer(wait)
	defer t.Stop()
	s.waited <- struct{}{}
	select {
	case <-t.Chan():
		return after, nil, nil
	case <-ctx.Done():
		return after, nil, ctx.Err()
	}
}

func newSilentWatch(fc clockwork.Clock) *silentWatch {
	return &silentWatch{Store: memkv.New(fc), clock: fc, waited: make(chan struct{})}
}

func next(t *testing.T, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(guardWait):
		t.Fatal("the watcher never watched again")
	}
}

// TestSilentWatchIsNoticed: invariant 10. Symptom: one entry serves an old
// configuration for good while the others moved on. Sequence: its watch's
// connection goes silent; the configuration changes. Cause, if a watch that
// brings nothing were taken as no change: nothing ever tells the entry.
// Here a watch that ends without events is followed by a read. An empty
// store, too, must be read once a watch and not in a busy loop.
func TestSilentWatchIsNoticed(t *testing.T) {
	is := is.New(t)
	fc := clockwork.NewFakeClock()
	s := newSilentWatch(fc)
	w := New(s, fc, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	next(t, s.waited)
	is.Equal(s.reads.Load(), int64(1)) // the store is empty; one read, then a watch
	rev := put(t, s, 1)
	fc.Advance(watchWait)
	next(t, s.waited) // the next watch begins after the read
	is.Equal(w.Revision(), rev)
	is.Equal(s.reads.Load(), int64(2))
	cancel()
	<-done
}

// TestPausedEntryAsksBeforeItServes: invariant 2. Symptom: work reaches a
// withdrawn version minutes after the withdrawal. Sequence: an entry is
// paused, the version is withdrawn, the entry resumes and a request is
// admitted before its watch has caught up. Cause, if the table in force were
// simply used: it is the one of before the pause. Here a request finds the
// table's knowledge too old and reads first.
func TestPausedEntryAsksBeforeItServes(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatch(fc)
	old := put(t, s, 1)
	w := New(s, fc, quiet)
	w.Refresh(ctx)
	is.Equal(w.Revision(), old)
	newer := put(t, s, 2)
	fc.Advance(FreshFor)
	w.Refresh(ctx)
	is.Equal(w.Revision(), old) // still fresh enough: no call on the data path
	is.Equal(s.reads.Load(), int64(1))
	fc.Advance(time.Minute) // paused; the clock goes on
	w.Refresh(ctx)
	is.Equal(w.Revision(), newer)
}

// TestOutageCostsOneRequestASecond: symptom: every request is slowed by a
// KV that does not answer. Sequence: the KV goes down for long; requests
// keep coming. Cause, if each asked again: each would wait for it.
func TestOutageCostsOneRequestASecond(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatch(fc)
	put(t, s, 1)
	w := New(s, fc, quiet)
	w.Refresh(ctx)
	s.down.Store(true)
	fc.Advance(time.Hour)
	for range 100 {
		w.Refresh(ctx)
	}
	is.Equal(s.reads.Load(), int64(2))
	is.Equal(s.values.Load(), int64(1)) // the document is read when it changed
	is.True(w.Table() != nil)           // and the configuration stays in force
}

// peerOf serves Config from another watcher.
type peerOf struct {
	peerpb.Peer
	w      *Watcher
	down   bool
	deltas int // answers that were a delta
}

func (p *peerOf) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigResponse, error) {
	if p.down {
		return nil, errors.New("cut off")
	}
	rev, delta, stored := p.w.Since(kv.Revision(r.Have))
	p.deltas += min(len(delta), 1)
	return &peerpb.ConfigResponse{Revision: int64(rev), Delta: delta, Document: stored}, nil
}

// TestPeersPassOnAChange: invariant 10. Symptom: an entry that is cut off
// from the KV, or whose watch is broken, stays behind although its peers are
// up to date. Sequence: the configuration changes, one entry learns it from
// the KV, the other only hears its digest; the first try to fetch it fails.
// Also: what a peer knew to be current counts only when this entry asked for
// it, since an unasked digest may have waited out a pause in a socket.
func TestPeersPassOnAChange(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fc := clockwork.NewFakeClock()
	s := newSilentWatch(fc)
	rev := put(t, s, 3)
	a, b := New(s, fc, quiet), New(s, fc, quiet)
	news := 0
	b.OnNews(func() { news++ })
	a.Refresh(ctx)
	peer := &peerOf{w: a, down: true}
	to := NewTopic(b, func(string) peerpb.Peer { return peer })
	d := &peerpb.Digest{From: &peerpb.Member{Address: "a"}}
	NewTopic(a, nil).Fill(d, true)
	to.Merge(ctx, peers.Received{Digest: d})
	is.Equal(b.Revision(), kv.Revision(0))
	peer.down = false
	to.Merge(ctx, peers.Received{Digest: d})
	is.Equal(b.Revision(), rev)
	is.Equal(news, 1) // and it passes the news on
	_, ok := b.Age()
	is.True(!ok)
	to.Merge(ctx, peers.Received{Digest: d, Asked: fc.Now()})
	age, ok := b.Age()
	is.True(ok && age == 0)

	// The next change comes as a delta; one to an entry too far behind whole.
	tell := func(to *Topic) {
		d := &peerpb.Digest{From: &peerpb.Member{Address: "a"}}
		NewTopic(a, nil).Fill(d, true)
		to.Merge(ctx, peers.Received{Digest: d})
	}
	for range 3 {
		rev = put(t, s, 4)
		fc.Advance(FreshFor + time.Second)
		a.Refresh(ctx)
		tell(to)
		is.Equal(b.Revision(), rev)
	}
	is.Equal(peer.deltas, 3)
	late := New(s, fc, quiet)
	late.Offer(1, mustStored(t, s))
	tell(NewTopic(late, func(string) peerpb.Peer { return peer }))
	is.Equal(late.Revision(), rev)
	is.Equal(peer.deltas, 3)
}

func mustStored(t *testing.T, c kv.KV) []byte {
	t.Helper()
	_, kvs, err := c.Get(context.Background(), config.Key, false)
	if err != nil {
		t.Fatal(err)
	}
	return kvs[0].Value
}
