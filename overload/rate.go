package overload

import (
	"sync"
	"time"
)

const (
	// adjustEvery is the time between two changes of the rate: the effect of one must show first.
	adjustEvery = 300 * time.Millisecond
	// decrease is the factor of the rate while the process is overloaded, increase that while it is not.
	decrease = 0.6
	increase = 1.5
	// minRate is the least rate, in connections a second.
	minRate = 2
	// burstTime is how long connections may come at once for which the rate has room.
	burstTime = 100 * time.Millisecond
	// lastTurnedAway is how long no connection must have been turned away for the rate to be unlimited
	// again.
	lastTurnedAway = 2 * time.Second
)

// Limiter bounds the rate of new connections while the process is overloaded: it falls until the process
// keeps up, and rises again slowly. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu         sync.Mutex
	rate       float64 // connections a second; 0: unlimited
	tokens     float64
	filledAt   time.Time
	adjustedAt time.Time
	turnedAway time.Time // when a connection was last turned away
	accepted   int       // since countedAt
	countedAt  time.Time
}

// NewLimiter returns a limiter that does not limit yet.
func NewLimiter() *Limiter { return &Limiter{now: time.Now} }

// Accept reports whether to accept a connection.
func (l *Limiter) Accept() bool {
	if l == nil {
		return true
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate > 0 {
		l.tokens = min(l.tokens+l.rate*now.Sub(l.filledAt).Seconds(), max(1, l.rate*burstTime.Seconds()))
		l.filledAt = now
		if l.tokens < 1 {
			return false
		}
		l.tokens--
	}
	l.accepted++
	return true
}

// NoteTurnedAway records that a connection was turned away.
func (l *Limiter) NoteTurnedAway() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnedAway = l.now()
}

// resetCount starts counting the accepted connections anew, as the process gets busy.
func (l *Limiter) resetCount() {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted, l.countedAt, l.adjustedAt = 0, now, now
}

// adjust changes the rate by the state of the process.
func (l *Limiter) adjust(overloaded bool) {
	if l == nil {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.adjustedAt) < adjustEvery {
		return
	}
	span := now.Sub(l.countedAt).Seconds()
	switch {
	case overloaded && l.rate == 0:
		l.rate = max(minRate, decrease*float64(l.accepted)/max(span, adjustEvery.Seconds()))
		l.filledAt, l.turnedAway = now, now
	case overloaded:
		l.rate = max(minRate, decrease*l.rate)
	case l.rate > 0 && now.Sub(l.turnedAway) >= lastTurnedAway:
		l.rate = 0
	case l.rate > 0:
		l.rate *= increase
	}
	l.adjustedAt = now
	l.accepted, l.countedAt = 0, now
}

// Interval returns the time between two connections at the current rate; 0: it is unlimited.
func (l *Limiter) Interval() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.rate)
}

// Limited reports whether the rate is limited now.
func (l *Limiter) Limited() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate > 0
}
