package rollout

import (
	"time"

	"github.com/lovageweir/lovageweir/place"
)

// A session must not move to a new version in the first half of a roll-out, whichever
// entries its requests reach. A hash, identical on all entries, selects the sessions that
// may move first. Sessions active on another version when the order arrives stay there, so
// entries exchange which sessions they served recently. Only sessions selected by the hash
// are exchanged: a few percent.

// maxExchangedSessions bounds the sessions in one exchange. The canary share falls with a
// service's size, so that no more occur within a session's lifetime.
const maxExchangedSessions = 512

// Session identifies, by its hash, a session served recently by another version than the
// one being rolled out.
type Session struct {
	Hash uint32
	Ago  time.Duration
}

// sessions holds the last request time of the known sessions by hash.
type sessions struct {
	life     time.Duration
	lastUsed map[uint32]time.Time
}

func newSessions(life time.Duration) *sessions {
	return &sessions{life: life, lastUsed: map[uint32]time.Time{}}
}

func sessionHash(session string) uint32 { return uint32(place.Hash(session) >> 32) }

// sessionPosition maps a session to [0, 1): sessions below a share are moved with it.
func sessionPosition(hash uint32) float64 { return float64(hash) / (1 << 32) }

func (s *sessions) record(hash uint32, at time.Time) {
	if old, ok := s.lastUsed[hash]; !ok || at.After(old) {
		s.lastUsed[hash] = at
	}
}

// active reports whether a session had a request within its lifetime.
func (s *sessions) active(hash uint32, now time.Time) bool {
	at, ok := s.lastUsed[hash]
	return ok && now.Sub(at) < s.life
}

// snapshot returns the active sessions and deletes the expired ones.
func (s *sessions) snapshot(now time.Time) []Session {
	var out []Session
	for hash, at := range s.lastUsed {
		if now.Sub(at) >= s.life {
			delete(s.lastUsed, hash)
			continue
		}
		if len(out) < maxExchangedSessions {
			out = append(out, Session{Hash: hash, Ago: now.Sub(at)})
		}
	}
	return out
}
