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
	// suspectAfter is how long a member's beat may stand still before it
	// counts as dead: several rounds of the slowest rumour in one domain.
	suspectAfter = 6 * time.Second
	// forgetAfter is when a dead member is dropped. Longer than suspectAfter
	// so that a peer's stale digest cannot bring it back as new.
	forgetAfter = 2 * time.Minute
	// foreignMembers is how many live members of each other domain an entry
	// tells about: enough to find a way there, few enough that a digest
	// grows with the domain and not with the fleet.
	foreignMembers = 2
)

type member struct {
	pb   *peerpb.Member
	id   uint32
	seen time.Time // when the beat last rose, on this entry's steady clock
}

// Table is what one entry knows of the others. It is safe for concurrent
// use; its lock is held only for map work, never across a call.
type Table struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	self    *peerpb.Member
	members map[string]*member
}

// NewTable returns a table that knows only self; src decides whom it gossips
// with.
func NewTable(self *peerpb.Member, clock clockwork.Clock, src rand.Source) *Table {
	return &Table{clock: clock, rng: rand.New(src), self: self, members: map[string]*member{}}
}

// shuffle puts list in random order.
func shuffle[T any](t *Table, list []T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Self returns a copy of this entry's own row.
func (t *Table) Self() *peerpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clone(t.self)
}

func clone(m *peerpb.Member) *peerpb.Member {
	return &peerpb.Member{Instance: m.Instance, Domain: m.Domain, Address: m.Address, Life: m.Life, Beat: m.Beat, Leaving: m.Leaving}
}

// Beat raises this entry's own beat.
func (t *Table) Beat() {
	t.mu.Lock()
	t.self.Beat++
	t.mu.Unlock()
}

// Leave marks this entry as leaving, so that peers stop counting on it.
func (t *Table) Leave() {
	t.mu.Lock()
	t.self.Leaving = true
	t.self.Beat++
	t.mu.Unlock()
}

// newer reports whether a is a later word on the same member than b.
func newer(a, b *peerpb.Member) bool {
	if a.Life != b.Life {
		return a.Life > b.Life
	}
	return a.Beat > b.Beat
}

// Merge takes rows from a peer. Only a row with a later life or beat counts
// as a sign of life.
func (t *Table) Merge(rows []*peerpb.Member) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		if r == nil || r.Instance == "" || r.Instance == t.self.Instance {
			continue
		}
		cur, ok := t.members[r.Instance]
		if !ok || newer(r, cur.pb) {
			t.members[r.Instance] = &member{pb: clone(r), id: lifeID(r), seen: now}
		}
	}
	for name, m := range t.members {
		if now.Sub(m.seen) > forgetAfter {
			delete(t.members, name)
		}
	}
}

func (t *Table) liveLocked(m *member) bool {
	return !m.pb.Leaving && t.clock.Now().Sub(m.seen) <= suspectAfter
}

// Live returns the live members other than this entry, by name.
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

// Alive reports whether the given life of an instance is still running as
// far as this entry knows. Unknown instances are not alive.
func (t *Table) Alive(instance string, life int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance == t.self.Instance {
		return life == t.self.Life
	}
	m, ok := t.members[instance]
	return ok && m.pb.Life == life && t.clock.Now().Sub(m.seen) <= suspectAfter
}

// Rows returns the rows to tell a peer: every live member of this entry's
// own domain, and a few of each other domain.
func (t *Table) Rows() []*peerpb.Member {
	mine := t.Self().Domain
	byDomain := map[string]int{}
	var out []*peerpb.Member
	live := t.Live()
	shuffle(t, live)
	for _, m := range live {
		if m.Domain != mine {
			if byDomain[m.Domain] >= foreignMembers {
				continue
			}
			byDomain[m.Domain]++
		}
		out = append(out, m)
	}
	return out
}

// lifeID names one life of an instance in few bytes. Two lives that share an
// id would keep each other alive; among the few hundred a domain sees in a
// minute that is one chance in about a hundred thousand.
func lifeID(m *peerpb.Member) uint32 {
	return uint32(rank(m.Instance, strconv.FormatInt(m.Life, 36)))
}

// MergeBeats takes the beats of members whose rows this entry already has.
func (t *Table) MergeBeats(ids []uint32, beats []uint32) {
	told := make(map[uint32]int64, len(ids))
	for i, id := range ids {
		if i < len(beats) {
			told[id] = int64(beats[i])
		}
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if beat, ok := told[m.id]; ok && beat > m.pb.Beat {
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
	// The splitmix64 finalizer: FNV of near-equal names is not even enough.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Holds reports whether this entry is among the first n live members of its
// domain for subject. It needs no agreement: when views differ, more than n
// entries hold it, or for at most suspectAfter (a holder died) fewer.
func (t *Table) Holds(subject string, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	mine := rank(subject, t.self.Instance)
	for name, m := range t.members {
		if m.pb.Domain != t.self.Domain || !t.liveLocked(m) {
			continue
		}
		if r := rank(subject, name); r > mine || r == mine && name < t.self.Instance {
			if n--; n <= 0 {
				return false
			}
		}
	}
	return true
}

// FirstOther returns a func that gives the first live member of this
// entry's domain for subject other than itself, or nil when it is alone.
func (t *Table) FirstOther(subject string) func() *peerpb.Member {
	return func() *peerpb.Member {
		me := t.Self().Instance
		for _, m := range t.ranked(subject) {
			if m.Instance != me {
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
