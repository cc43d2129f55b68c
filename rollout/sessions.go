package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/place"
)

// A session must not move to a new version in the first half of its roll-out,
// whichever entries its requests reach. Whether it may be among the first to
// move is decided by a hash, alike on all entries; those under way on another
// version when the order came stay there, and for that the entries tell each
// other which they have served of late. Only the sessions that the hash would
// move are told of: a few percent.

// mostSessions bounds the sessions told in one exchange; the share of
// requests that goes to a new version first falls with a service's size, so
// that there are not more within a session's life.
const mostSessions = 512

// Session is a session that was served of late by another version than the
// one being brought in, by its hash.
type Session struct {
	Hash uint32
	Ago  time.Duration
}

// sessions are those known, by hash, with the time of their last request.
type sessions struct {
	life time.Duration
	used map[uint32]time.Time
}

func newSessions(life time.Duration) *sessions {
	return &sessions{life: life, used: map[uint32]time.Time{}}
}

func sessionHash(session string) uint32 { return uint32(place.Hash(session) >> 32) }

// sessionShare is where a session stands among all: those below a share are moved
// with it.
func sessionShare(hash uint32) float64 { return float64(hash) / (1 << 32) }

func (s *sessions) note(hash uint32, at time.Time) {
	if old, ok := s.used[hash]; !ok || at.After(old) {
		s.used[hash] = at
	}
}

// underWay reports whether a session goes on.
func (s *sessions) underWay(hash uint32, now time.Time) bool {
	at, ok := s.used[hash]
	return ok && now.Sub(at) < s.life
}

// tell returns the sessions that go on, and forgets the others.
func (s *sessions) tell(now time.Time) []Session {
	var out []Session
	for hash, at := range s.used {
		if now.Sub(at) >= s.life {
			delete(s.used, hash)
			continue
		}
		if len(out) < mostSessions {
			out = append(out, Session{Hash: hash, Ago: now.Sub(at)})
		}
	}
	return out
}
