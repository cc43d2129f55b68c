package capacity

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/lovageweir/lovageweir/fleet"
)

const (
	// MinPercent and MaxPercent bound the figures that count as reported.
	MinPercent = 1
	MaxPercent = 10000
	// MinFactor and MaxFactor bound the factors that are used. The figures seen are 70 to 425; one
	// of 10,000 would keep requests from an endpoint, and make its answers be awaited, without end.
	MinFactor = 0.2
	MaxFactor = 5.0
	// A slow period lasts some 600 ms. A report of one was on average made in its middle, so that
	// the chance that it still lasts falls steadily from freshFor until staleAfter.
	freshFor   = 100 * time.Millisecond
	staleAfter = 700 * time.Millisecond
	// The usual figure is the one that has most of the votes of the reports. Reports of one slow
	// period agree with each other, so that there is at most one vote per voteInterval.
	voteInterval = 400 * time.Millisecond
	// maxVotes bounds the lead of the usual figure: after a lasting change another one replaces it
	// after maxVotes votes, 3.2 s of reports.
	maxVotes = 8
	// sameTolerance is the relative difference up to which two figures count as the same one.
	sameTolerance = 0.15
	// A usual figure that no report has agreed with for confirmedFor moves to 1 within forgetAfter,
	// so that an endpoint that reported a high figure once is tried again.
	confirmedFor = 10 * time.Second
	forgetAfter  = 20 * time.Second
	// evictAfter is how long the figures of an endpoint that reports nothing are kept: an entry of a
	// large fleet sends an endpoint a request every 16 s, and may receive no datagrams.
	evictAfter = 5 * time.Minute
	// maxEndpoints bounds the memory. More are not recorded until others are evicted.
	maxEndpoints = 12000
	// logInterval and logBurst bound the log lines about usual figures.
	logInterval = 100 * time.Millisecond
	logBurst    = 50
)

// Deps are the dependencies of a Table.
type Deps struct {
	Clock clockwork.Clock
	Log   *slog.Logger // nil: no log lines
	Scope tally.Scope  // nil: no metrics
}

// endpointState is what an endpoint incarnation reported. It is small, as there may be thousands.
type endpointState struct {
	at      time.Duration // of the last report, since the table's start
	votedAt time.Duration // of the last report that counted as a vote
	// confirmedAt is when the last report that agreed with the usual figure was made.
	confirmedAt time.Duration
	last        uint16
	usual       uint16
	votes       uint8 // lead of usual over other figures
}

// Table holds the figures of endpoints. It is safe for concurrent use.
type Table struct {
	Deps
	observed, ignored, changed, unlogged tally.Counter
	// started is when the table was made. Times are kept since then, by the monotonic clock: with
	// wall-clock times, all reports would be ignored for as long as that clock was set back.
	started time.Time

	mu      sync.Mutex
	byHash  map[uint32]endpointState
	swept   time.Time
	logged  time.Time // when the tokens were last updated
	tokens  float64   // log lines that may be written
	skipped int       // log lines that were not written
}

// New returns an empty Table.
func New(d Deps) *Table {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Log == nil {
		d.Log = slog.New(slog.DiscardHandler)
	}
	return &Table{Deps: d, observed: d.Scope.Counter("reports"), ignored: d.Scope.Counter("reports_ignored"), changed: d.Scope.Counter("usual_changes"),
		unlogged: d.Scope.Counter("lines_dropped"), started: d.Clock.Now(), byHash: map[uint32]endpointState{}, swept: d.Clock.Now(), tokens: logBurst}
}

// Hash returns the short id of an endpoint incarnation, by which entries exchange figures. It equals
// place.ShortID.
func Hash(id fleet.EndpointID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Valid reports whether a figure counts as reported.
func Valid(percent int) bool { return percent >= MinPercent && percent <= MaxPercent }

func (t *Table) sinceStart() time.Duration { return t.Clock.Now().Sub(t.started) }

// Observe records the figure that an endpoint reported at the given time.
func (t *Table) Observe(id fleet.EndpointID, percent int, at time.Time) {
	t.ObserveHash(Hash(id), percent, at)
}

// ObserveHash is like Observe for an endpoint of which only the short id is known. Figures that count as
// not reported and those older than the last one are ignored.
func (t *Table) ObserveHash(hash uint32, percent int, at time.Time) {
	if !Valid(percent) {
		if percent != 0 {
			t.ignored.Inc(1)
		}
		return
	}
	now := t.Clock.Now()
	if at.After(now) {
		at = now
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepLocked(now)
	s, known := t.byHash[hash]
	since := at.Sub(t.started)
	if known && since < s.at || !known && len(t.byHash) >= maxEndpoints {
		t.ignored.Inc(1)
		return
	}
	t.observed.Inc(1)
	s.last, s.at = uint16(percent), since
	previous := s.usual
	if !known || since-s.votedAt >= voteInterval {
		s.votedAt = since
		s.vote(s.last)
	}
	if same(s.last, s.usual) {
		s.confirmedAt = since
	}
	t.byHash[hash] = s
	if s.usual != previous {
		t.logUsualLocked(hash, previous, s, now)
	}
}

// vote counts a figure for or against the usual one. Where figures vary a little, the usual one follows.
func (s *endpointState) vote(percent uint16) {
	switch {
	case s.votes == 0:
		s.usual, s.votes = percent, 1
	case same(percent, s.usual):
		s.votes = min(maxVotes, s.votes+1)
		s.usual = uint16((3*uint32(s.usual) + uint32(percent) + 2) / 4)
	default:
		if s.votes--; s.votes == 0 {
			s.usual, s.votes = percent, 1
		}
	}
}

func same(a, b uint16) bool {
	return float64(max(a, b)-min(a, b)) <= sameTolerance*float64(max(a, b))
}

// Factor returns the time that work takes at an endpoint now; 1 is the usual time of an endpoint of the
// service, and of one that has reported nothing.
func (t *Table) Factor(id fleet.EndpointID) float64 { return t.FactorOfHash(Hash(id)) }

// FactorOfHash is like Factor for a short id.
func (t *Table) FactorOfHash(hash uint32) float64 {
	factor, _ := t.Reported(hash)
	return factor
}

// Reported returns the factor of an endpoint by its short id, and whether the endpoint has reported a
// figure.
func (t *Table) Reported(hash uint32) (factor float64, known bool) {
	now := t.sinceStart()
	t.mu.Lock()
	s, known := t.byHash[hash]
	t.mu.Unlock()
	if !known {
		return 1, false
	}
	return s.factor(now), true
}

// Bounded returns the factor as it is used, within MinFactor and MaxFactor.
func Bounded(factor float64) float64 { return min(MaxFactor, max(MinFactor, factor)) }

// factor returns the factor that is used at the given time since the table's start.
func (s endpointState) factor(now time.Duration) float64 {
	fresh := min(1, max(0, float64(staleAfter-(now-s.at))/float64(staleAfter-freshFor)))
	usual := s.usualFactor(now)
	return usual + fresh*(Bounded(float64(s.last)/100)-usual)
}

// usualFactor returns the usual factor that is used at the given time since the table's start.
func (s endpointState) usualFactor(now time.Duration) float64 {
	forgotten := min(1, max(0, float64(now-s.confirmedAt-confirmedFor)/float64(forgetAfter)))
	usual := Bounded(float64(s.usual) / 100)
	return usual + forgotten*(1-usual)
}

// Usual returns the time that work usually takes at an endpoint; 1 if it has reported nothing.
func (t *Table) Usual(id fleet.EndpointID) float64 {
	usual, _ := t.UsualOfHash(Hash(id))
	return usual
}

// UsualOfHash is like Usual for a short id, and reports whether the endpoint has reported a figure.
func (t *Table) UsualOfHash(hash uint32) (usual float64, known bool) {
	now := t.sinceStart()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.byHash[hash]
	if !known {
		return 1, false
	}
	return s.usualFactor(now), true
}

func (t *Table) sweepLocked(now time.Time) {
	if now.Sub(t.swept) < evictAfter/5 {
		return
	}
	t.swept = now
	oldest := now.Sub(t.started) - evictAfter
	for hash, s := range t.byHash {
		if s.at < oldest {
			delete(t.byHash, hash)
		}
	}
}

// logUsualLocked writes the log line about a new usual figure, unless too many were written.
func (t *Table) logUsualLocked(hash uint32, previous uint16, s endpointState, now time.Time) {
	t.changed.Inc(1)
	t.tokens = min(logBurst, t.tokens+float64(now.Sub(t.logged))/float64(logInterval))
	t.logged = now
	if t.tokens < 1 {
		t.skipped++
		t.unlogged.Inc(1)
		return
	}
	t.tokens--
	t.Log.Info("capacity: usual slowdown of an endpoint.", "endpoint_hash", hash, "percent", s.usual, "previous_percent", previous,
		"report_age_ms", (now.Sub(t.started) - s.at).Milliseconds(), "lines_dropped", t.skipped)
	t.skipped = 0
}
