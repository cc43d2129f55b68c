package peers

import (
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/rpc/peerpb"
)

// Bounds of membership.
const (
	// deadAfter is how long a member's heartbeat counter may stay unchanged
	// before the member counts as dead. It covers several rounds of the slowest
	// propagation within one domain.
	deadAfter = 6 * time.Second
	// evictAfter is when a dead member is removed from the table. It is longer
	// than deadAfter so that a stale digest from a peer cannot add the member
	// again as a new one.
	evictAfter = 2 * time.Minute
	// membersPerRemoteDomain is how many live members of each other failure
	// domain a digest lists: enough to reach that domain, few enough that the
	// digest grows with the domain and not with the fleet.
	membersPerRemoteDomain = 2
)

type member struct {
	pb   *peerpb.Member
	id   uint32
	seen time.Time // when Beat last increased, on this entry's monotonic clock
}

// Table is one entry's view of the membership. It is safe for concurrent use;
// its lock is held only for in-memory work, never across a remote call.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	self    *peerpb.Member
	members map[string]*member
}

// NewTable returns a table that contains only self. src is the random source
// for choosing gossip peers.
func NewTable(self *peerpb.Member, clock clockwork.Clock, src rand.Source) *Table {
	return &Table{clock: clock, rng: rand.New(src), self: self, members: map[string]*member{}}
}

// shuffle puts list in random order.
func shuffle[T any](t *Table, list []T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Self returns a copy of this entry's own member record.
func (t *Table) Self() *peerpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clone(t.self)
}

func clone(m *peerpb.Member) *peerpb.Member {
	return &peerpb.Member{Instance: m.Instance, Domain: m.Domain, Address: m.Address, Life: m.Life, Beat: m.Beat, Leaving: m.Leaving}
}

// Beat increments this entry's heartbeat counter.
func (t *Table) Beat() {
	t.mu.Lock()
	t.self.Beat++
	t.mu.Unlock()
}

// Leave marks this entry as leaving, so that peers no longer count it as live.
func (t *Table) Leave() {
	t.mu.Lock()
	t.self.Leaving = true
	t.self.Beat++
	t.mu.Unlock()
}

// newer reports whether a is a later record than b of the same member.
func newer(a, b *peerpb.Member) bool {
	if a.Life != b.Life {
		return a.Life > b.Life
	}
	return a.Beat > b.Beat
}

// Merge adds member records received from a peer. Only a record with a higher
// incarnation (Life) or heartbeat counter (Beat) is evidence that its member is
// alive.
func (t *Table) Merge(records []*peerpb.Member) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if r == nil || r.Instance == "" || r.Instance == t.self.Instance {
			continue
		}
		cur, ok := t.members[r.Instance]
		if !ok || newer(r, cur.pb) {
			t.members[r.Instance] = &member{pb: clone(r), id: incarnationID(r), seen: now}
		}
	}
	for name, m := range t.members {
		if now.Sub(m.seen) > evictAfter {
			delete(t.members, name)
		}
	}
}

func (t *Table) liveLocked(m *member) bool {
	return !m.pb.Leaving && t.clock.Now().Sub(m.seen) <= deadAfter
}

// Live returns the live members other than this entry, sorted by instance.
func (t *Table) Live() []*peerpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerpb.Member
	for _, m := range t.members {
		if t.liveLocked(m) {
			out = append(out, clone(m.pb))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Alive reports whether the given incarnation of an instance is still running
// as far as this entry knows. Unknown instances are not alive.
func (t *Table) Alive(instance string, incarnation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance == t.self.Instance {
		return incarnation == t.self.Life
	}
	m, ok := t.members[instance]
	return ok && m.pb.Life == incarnation && t.clock.Now().Sub(m.seen) <= deadAfter
}

// DigestMembers returns the members to list in a digest: every live member of
// this entry's own domain, and a few of each other domain.
func (t *Table) DigestMembers() []*peerpb.Member {
	own := t.Self().Domain
	byDomain := map[string]int{}
	var out []*peerpb.Member
	live := t.Live()
	shuffle(t, live)
	for _, m := range live {
		if m.Domain != own {
			if byDomain[m.Domain] >= membersPerRemoteDomain {
				continue
			}
			byDomain[m.Domain]++
		}
		out = append(out, m)
	}
	return out
}

// incarnationID is a 32-bit hash that identifies one incarnation of an
// instance. Two incarnations with the same id would keep each other alive;
// among the few hundred that a domain sees in a minute the chance of that is
// about one in a hundred thousand.
func incarnationID(m *peerpb.Member) uint32 {
	return uint32(rank(m.Instance, strconv.FormatInt(m.Life, 36)))
}

// MergeHeartbeats applies the heartbeat counters that a peer sent, by
// incarnation id, to the members that this entry already has records of.
func (t *Table) MergeHeartbeats(ids []uint32, beats []uint32) {
	beatByID := make(map[uint32]int64, len(ids))
	for i, id := range ids {
		if i < len(beats) {
			beatByID[id] = int64(beats[i])
		}
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if beat, ok := beatByID[m.id]; ok && beat > m.pb.Beat {
			m.pb.Beat, m.seen = beat, now
		}
	}
}

// ranked returns the live members of this entry's domain, itself included,
// in rendezvous order for subject.
func (t *Table) ranked(subject string) []*peerpb.Member {
	self := t.Self()
	list := []*peerpb.Member{self}
	for _, m := range t.Live() {
		if m.Domain == self.Domain {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := rank(subject, list[i].Instance), rank(subject, list[j].Instance)
		if a != b {
			return a > b
		}
		return list[i].Instance < list[j].Instance
	})
	return list
}

func rank(subject, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	x := h.Sum64()
	// The splitmix64 finalizer: FNV alone does not spread near-equal names
	// evenly enough.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// IsResponsible reports whether this entry is among the first n live members of
// its domain in rendezvous order for subject. It needs no consensus: when views
// differ, more than n entries may be responsible, and after one of them dies
// fewer are for at most deadAfter.
func (t *Table) IsResponsible(subject string, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := rank(subject, t.self.Instance)
	for name, m := range t.members {
		if m.pb.Domain != t.self.Domain || !t.liveLocked(m) {
			continue
		}
		if r := rank(subject, name); r > own || r == own && name < t.self.Instance {
			if n--; n <= 0 {
				return false
			}
		}
	}
	return true
}

// Responsible returns the first live member of this entry's domain in rendezvous order for subject,
// which may be this entry.
func (t *Table) Responsible(subject string) *peerpb.Member { return t.ranked(subject)[0] }

// FirstOther returns a function that returns the first live member of this
// entry's domain in rendezvous order for subject, excluding this entry, or nil
// if there is no other.
func (t *Table) FirstOther(subject string) func() *peerpb.Member {
	return func() *peerpb.Member {
		self := t.Self().Instance
		for _, m := range t.ranked(subject) {
			if m.Instance != self {
				return m
			}
		}
		return nil
	}
}

// Local reports whether an instance is known to be in this entry's domain.
func (t *Table) Local(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[instance]
	return instance == t.self.Instance || ok && m.pb.Domain == t.self.Domain
}

// State is membership's part of the state dump.
type State struct {
	Self    *peerpb.Member   `json:"self"`
	Live    []*peerpb.Member `json:"live"`
	Members int              `json:"members"`
}

// State returns the current dump.
func (t *Table) State() State {
	st := State{Self: t.Self(), Live: t.Live()}
	t.mu.Lock()
	st.Members = len(t.members)
	t.mu.Unlock()
	return st
}
