package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/quarantine"
	"github.com/lovageweir/lovageweir/rollout"
	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// countingStore counts the items that it sends, and sends a watch few at a time.
type countingStore struct {
	kv.Client
	mu          sync.Mutex
	items       int
	calls       int
	watchEvents int // most events of one watch call
	// silent: watches hear nothing. compacted is the revision before which history is gone.
	silent    atomic.Bool
	compacted atomic.Int64
	// away: all calls fail. cut is closed when that begins.
	away bool
	cut  chan struct{}
}

func (s *countingStore) count(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items += items
	s.calls++
}

// sent returns how many items the store has sent, and in how many calls.
func (s *countingStore) sent() (items, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items, s.calls
}

func (s *countingStore) Get(ctx context.Context, key string, prefix bool) (kv.Revision, []kv.KeyValue, error) {
	if _, away := s.isAway(); away {
		return 0, nil, kv.ErrUnavailable
	}
	rev, items, err := s.Client.Get(ctx, key, prefix)
	time.Sleep(4 * time.Millisecond)
	s.count(len(items))
	return rev, items, err
}

// storePage is the number of items of a page.
const storePage = 100

func (s *countingStore) GetPage(ctx context.Context, prefix, after string, _ bool) (kv.Revision, []kv.KeyValue, bool, error) {
	if _, away := s.isAway(); away {
		return 0, nil, false, kv.ErrUnavailable
	}
	rev, items, err := s.Client.Get(ctx, prefix, true)
	slices.SortFunc(items, func(a, b kv.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	from := 0
	for from < len(items) && items[from].Key <= after {
		from++
	}
	page := items[from:min(len(items), from+storePage)]
	time.Sleep(4 * time.Millisecond)
	s.count(len(page))
	return rev, page, from+len(page) < len(items), err
}

func (s *countingStore) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	for s.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if after < kv.Revision(s.compacted.Load()) {
		s.count(0)
		return 0, nil, kv.ErrCompacted
	}
	rev, events, err := s.watchUntilCut(ctx, key, prefix, after, wait)
	if len(events) > s.watchEvents {
		events = events[:s.watchEvents]
		rev = events[len(events)-1].KV.ModRevision
	}
	s.count(len(events))
	return rev, events, err
}

// entryStore is the store as one entry reaches it.
type entryStore struct {
	*countingStore
	fleet *startingFleet
	entry fleet.Entry
}

func (s entryStore) WatchOnce(ctx context.Context, key string, prefix bool, after kv.Revision, wait time.Duration) (kv.Revision, []kv.Event, error) {
	if s.fleet.turnedAway.Load() && s.fleet.isTurnedAway(s.entry) {
		time.Sleep(4 * time.Millisecond)
		return 0, nil, kv.ErrUnavailable
	}
	return s.countingStore.WatchOnce(ctx, key, prefix, after, wait)
}

// startingFleet is a fleet of which all entries start at once.
type startingFleet struct {
	store     *countingStore
	clock     clockwork.Clock
	entries   []fleet.Entry
	followers []*fleet.Follower

	// turnedAway: the store answers neither every third entry nor the watcher of the first
	// failure domain.
	turnedAway atomic.Bool

	mu     sync.Mutex
	meshes map[string]*Mesh // by address
	bytes  map[string]int   // sent in answers, by address
}

func newStartingFleet(n, domains int) *startingFleet {
	f := &startingFleet{clock: clockwork.NewRealClock(), meshes: map[string]*Mesh{}, bytes: map[string]int{}}
	f.store = &countingStore{Client: memkv.New(f.clock), watchEvents: 200}
	for i := range n {
		e := fleet.Entry{Instance: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%domains), Address: fmt.Sprint("a", i), Boot: 1, LinkMbps: 20}
		if i < n/16 {
			e.LinkMbps = 200
		}
		f.entries = append(f.entries, e)
	}
	return f
}

func (f *startingFleet) isTurnedAway(e fleet.Entry) bool {
	return e.Address[len(e.Address)-1]%3 == 0 || e.Domain == "d0" && fleet.IsWatcher(f.entries, e)
}

// peer is the client of one entry; an entry that is down does not answer.
type peer struct {
	meshpb.Mesh
	fleet   *startingFleet
	address string
}

func (p peer) Exchange(ctx context.Context, in *meshpb.ExchangeMessage) (*meshpb.ExchangeMessage, error) {
	p.fleet.mu.Lock()
	m := p.fleet.meshes[p.address]
	p.fleet.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
	time.Sleep(time.Millisecond)
	out, err := m.Exchange(ctx, in)
	if err != nil {
		return nil, err
	}
	raw, err := proto.Marshal(out)
	p.fleet.mu.Lock()
	p.fleet.bytes[p.address] += len(raw)
	p.fleet.mu.Unlock()
	time.Sleep(time.Duration(float64(8*len(raw)) / (m.LinkMbps * 1e6) * float64(time.Second)))
	copied := &meshpb.ExchangeMessage{}
	return copied, errors.Join(err, proto.Unmarshal(raw, copied))
}

// newKilledFleet returns a fleet of n entries that registered before they were killed, and 3n endpoints.
func newKilledFleet(t *testing.T, n int) *startingFleet {
	f := newStartingFleet(n, startingDomains)
	f.configure(t, 1)
	f.registerEndpoints(t, 3*n)
	for _, e := range f.entries {
		f.register(t, e)
	}
	return f
}

// start starts all entries; stop ends them.
func (f *startingFleet) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, e := range f.entries {
		follower := fleet.NewFollower(e, entryStore{f.store, f, e}, platform.Values{}, time.Second, f.clock, discardLog)
		follower.SetSinceBoot(func() time.Duration { return time.Since(time.Time{}) })
		follower.HoldConfig()
		r := rollout.New(rollout.Deps{Instance: e.Instance, Boot: 1, Store: f.store, Decoder: platform.Values{}, View: follower.View, Clock: f.clock, Log: discardLog})
		q := quarantine.New(quarantine.Deps{View: follower.View, Clock: f.clock, Log: discardLog})
		m := New(Deps{Instance: e.Instance, Domain: e.Domain, Address: e.Address, LinkMbps: e.LinkMbps, Fleet: follower, Rollouts: r, Quarantine: q, Limits: newLimits(), Clock: f.clock, Log: discardLog,
			Peer: func(address string) meshpb.Mesh { return peer{fleet: f, address: address} }})
		f.followers = append(f.followers, follower)
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			f.mu.Lock()
			f.meshes[e.Address] = m
			f.mu.Unlock()
			wg.Go(func() { follower.Run(ctx) })
			wg.Go(func() { m.Run(ctx) })
			<-follower.EntriesKnown()
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			f.register(t, e)
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// await waits until a condition holds at all entries, and returns how long that took.
func (f *startingFleet) await(t *testing.T, holds func(*fleet.Follower) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		behind := 0
		for _, follower := range f.followers {
			if !holds(follower) {
				behind++
			}
		}
		took := time.Since(began)
		if behind == 0 {
			return took
		}
		if took > 30*time.Second {
			t.Fatalf("%d of %d entries are behind after %v", behind, len(f.entries), took)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitStart waits until all entries know all others and that many endpoints.
func (f *startingFleet) awaitStart(t *testing.T, endpoints int) time.Duration {
	t.Helper()
	return f.await(t, func(follower *fleet.Follower) bool {
		v := follower.View()
		g := v.Group("s")
		return g != nil && len(g.Ready) >= endpoints && len(v.Entries) == len(f.entries) && follower.Current()
	})
}

func (f *startingFleet) register(t *testing.T, e fleet.Entry) {
	value := fmt.Sprintf(`{"instance":%q,"domain":%q,"address":%q,"boot":1,"link_mbps":%v}`, e.Instance, e.Domain, e.Address, e.LinkMbps)
	if _, err := f.store.Put(context.Background(), e.Key(), []byte(value), 0); err != nil {
		t.Error(err)
	}
}

func (f *startingFleet) registerEndpoints(t *testing.T, n int) {
	for i := range n {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200), Domain: fmt.Sprint("d", i%3), Version: "v1"})
		key, value := e.Registration(false)
		if _, err := f.store.Put(context.Background(), key, value, 0); err != nil {
			t.Error(err)
		}
	}
}

// startingWatchers is the number of entries that watch the store for the others, each with two
// calls a second: at least three.
const startingWatchers = 3

// checkStart checks what a start took: the store sends everything to few entries only.
func (f *startingFleet) checkStart(t *testing.T, took time.Duration, endpoints int) {
	t.Helper()
	domain := len(f.entries) / startingDomains
	all := len(f.entries) + endpoints
	// Watchers may read all and then watch what came meanwhile; the others read the list of
	// their failure domain before and after they registered, and a page.
	items, calls := f.store.sent()
	if most := 3*startingWatchers*all + (3*domain+storePage)*len(f.entries); items > most {
		t.Errorf("%d entries, %d endpoints: the store sent %d items, %d at most", len(f.entries), endpoints, items, most)
	}
	busiest, _ := f.sentBytes()
	t.Logf("%d entries, %d endpoints: %v; the store sent %d items in %d calls; the busiest entry %d KB", len(f.entries), endpoints, took, items, calls, busiest>>10)
}

// sentBytes returns what the busiest entry and all entries together sent in answers. Exchanges run
// meanwhile: without the lock, the iteration ends the process.
func (f *startingFleet) sentBytes() (busiest, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.bytes {
		busiest = max(busiest, n)
		all += n
	}
	return busiest, all
}

func (f *startingFleet) configure(t *testing.T, version int) {
	if _, err := f.store.Put(context.Background(), "op/config", fmt.Appendf(nil, `{"version":%d}`, version), 0); err != nil {
		t.Fatal(err)
	}
}

// Sizes of the fleets that start: each failure domain has more entries than one watcher serves.
const startingDomains = 2

var startingSizes = []int{70, 140, 280}

// Guards against a store that has to send everything to every entry, or is called by each once the fleet runs.
func TestEntriesOfALargeFleetStartFromFewReads(t *testing.T) {
	for _, n := range startingSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newStartingFleet(n, startingDomains)
			f.configure(t, 1)
			go func() { // endpoints start beside the entries
				time.Sleep(200 * time.Millisecond)
				f.registerEndpoints(t, 3*n)
			}()
			defer f.start(t)()
			took := f.awaitStart(t, 3*n)
			f.checkStart(t, took, 3*n)
			if took > 10*time.Second {
				t.Errorf("%d entries took %v", n, took)
			}
			time.Sleep(2 * time.Second)
			_, before := f.store.sent()
			time.Sleep(10 * time.Second)
			_, calls := f.store.sent()
			if perSecond := float64(calls-before) / 10; perSecond > 2.5*startingWatchers {
				t.Errorf("%d entries: %.1f calls to the store a second", n, perSecond)
			}
			f.configure(t, 2)
			late := f.await(t, func(follower *fleet.Follower) bool { return follower.View().Config.Version == 2 })
			if t.Logf("%d entries: a change is in force after %v", n, late); late > 2*time.Second {
				t.Errorf("%d entries: a change is in force after %v", n, late)
			}
		})
	}
}

// Guards against a fleet that serves nothing for long after all entries were killed at once.
func TestEntriesOfALargeFleetRestartFromFewReads(t *testing.T) {
	for _, n := range startingSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newKilledFleet(t, n)
			defer f.start(t)()
			took := f.awaitStart(t, 3*n)
			f.checkStart(t, took, 3*n)
			if took > 6*time.Second {
				t.Errorf("%d entries took %v", n, took)
			}
		})
	}
}

// Guards against late changes, or calls of every entry to the store, once a failure domain has lost its watchers.
func TestEntriesOfALargeFleetOutliveTheirWatchers(t *testing.T) {
	for _, n := range startingSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newKilledFleet(t, n)
			defer f.start(t)()
			f.awaitStart(t, 3*n)
			time.Sleep(3 * time.Second)
			_, before := f.store.sent()
			f.mu.Lock()
			for _, e := range f.entries {
				if e.Domain == "d0" && fleet.IsWatcher(f.entries, e) {
					delete(f.meshes, e.Address)
				}
			}
			f.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			f.configure(t, 2)
			late := f.await(t, func(follower *fleet.Follower) bool { return follower.View().Config.Version == 2 })
			time.Sleep(5*time.Second - late)
			_, calls := f.store.sent()
			calls -= before
			t.Logf("%d entries: a change is in force after %v; %d calls in 5 s", n, late, calls)
			if late > 3*time.Second {
				t.Errorf("%d entries: a change is in force after %v", n, late)
			}
			if most := n/4 + 5*5*startingWatchers/2; calls > most {
				t.Errorf("%d entries: %d calls to the store, %d at most", n, calls, most)
			}
		})
	}
}

// Guards against relays that go on asking a watcher which the store turns away and which looks current.
func TestEntriesOfALargeFleetRelyOnThoseThatReachTheStore(t *testing.T) {
	for _, n := range startingSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newKilledFleet(t, n)
			defer f.start(t)()
			f.awaitStart(t, 3*n)
			time.Sleep(3 * time.Second)
			_, before := f.store.sent()
			f.turnedAway.Store(true)
			var slowest time.Duration
			for version := 2; version < 5; version++ {
				time.Sleep(3 * time.Second)
				f.configure(t, version)
				slowest = max(slowest, f.await(t, func(follower *fleet.Follower) bool { return follower.View().Config.Version == int64(version) }))
			}
			_, calls := f.store.sent()
			calls -= before
			t.Logf("%d entries: a change is in force after %v at most; %d calls in 10 s", n, slowest, calls)
			if slowest > 2*time.Second {
				t.Errorf("%d entries: a change is in force after %v", n, slowest)
			}
			if most := n/4 + 10*5*startingWatchers/2; calls > most {
				t.Errorf("%d entries: %d calls to the store, %d at most", n, calls, most)
			}
		})
	}
}

// Guards against every entry reading the whole store again once its history was compacted.
func TestEntriesOfALargeFleetRereadFromFewReads(t *testing.T) {
	for _, n := range startingSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newKilledFleet(t, n)
			defer f.start(t)()
			f.awaitStart(t, 3*n)
			time.Sleep(3 * time.Second)
			f.store.silent.Store(true)
			time.Sleep(1500 * time.Millisecond)
			f.configure(t, 2)
			time.Sleep(1500 * time.Millisecond) // meanwhile all have begun to watch for themselves
			rev, _, err := f.store.Client.Get(context.Background(), "op/config", false)
			if err != nil {
				t.Fatal(err)
			}
			before, _ := f.store.sent()
			f.store.compacted.Store(int64(rev))
			f.store.silent.Store(false)
			took := f.await(t, func(follower *fleet.Follower) bool { return follower.View().Config.Version == 2 && follower.Current() })
			items, _ := f.store.sent()
			items -= before
			t.Logf("%d entries: all are current after %v; the store sent %d items", n, took, items)
			if took > 4*time.Second {
				t.Errorf("%d entries: all are current after %v", n, took)
			}
			if most := 2 * (startingWatchers + n/32) * 4 * n; items > most {
				t.Errorf("%d entries: the store sent %d items, %d at most", n, items, most)
			}
		})
	}
}

// Guards against news of crashes, each of which one entry sees, reaching the others late.
func TestCrashingPartIsKnownToAllEntriesWithinASecond(t *testing.T) {
	for _, n := range []int{8, 60, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newKilledFleet(t, n)
			stop := f.start(t)
			defer stop()
			f.awaitStart(t, 3*n)
			tables := make([]*quarantine.Table, 0, n)
			for _, e := range f.entries {
				f.mu.Lock()
				q := f.meshes[e.Address].Quarantine
				f.mu.Unlock()
				q.Answering(quarantine.Subject{}, 0, q.Clock.Now())
				tables = append(tables, q)
			}
			time.Sleep(2 * time.Second)
			const part = 7
			f.mu.Lock()
			clear(f.bytes)
			f.mu.Unlock()
			for crash := range 5 {
				s := quarantine.Subject{Request: quarantine.Fingerprint(100 + crash), Parts: []quarantine.Fingerprint{part}}
				tables[crash*n/5].Crashed(s, fleet.EndpointID(fmt.Sprint("i-", crash)), 1, quarantine.Started)
				time.Sleep(100 * time.Millisecond)
			}
			fifth := time.Now()
			behind := func() (n int) {
				for _, q := range tables {
					if !q.Check(quarantine.Subject{Request: 1, Parts: []quarantine.Fingerprint{part}}).Quarantined {
						n++
					}
				}
				return n
			}
			for behind() > 0 && time.Since(fifth) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(fifth)
			_, sent := f.sentBytes()
			t.Logf("%d entries: all know %v after the fifth crash, %d bytes an entry meanwhile", n, took, sent/n)
			if took > time.Second {
				t.Errorf("%d entries: %v after the fifth crash", n, took)
			}
		})
	}
}
