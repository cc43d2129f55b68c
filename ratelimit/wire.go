package ratelimit

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// unit is in which parts of a request a second limits are sent.
const unit = 1000

// Thousandths is a limit as entries send it: no limit is sent as none.
func Thousandths(limit float64) uint32 { return uint32(min(math.MaxUint32, math.Ceil(limit*unit))) }

// OfThousandths is a limit as it was sent.
func OfThousandths(n uint32) float64 { return float64(n) / unit }

// Message is the limits that are known, as entries send them.
func (l *Limits) Message() []*sharedpb.Limit {
	var out []*sharedpb.Limit
	for _, t := range l.Tell() {
		out = append(out, &sharedpb.Limit{Endpoint: t.Endpoint, Thousandths: Thousandths(t.Limit), AgeMs: uint32(t.Age.Milliseconds())})
	}
	return out
}

// LearnMessage takes the limits that another entry sent, and reports whether one was news.
func (l *Limits) LearnMessage(told []*sharedpb.Limit) (news bool) {
	limits := make([]Told, 0, len(told))
	for _, t := range told {
		limits = append(limits, Told{Endpoint: t.Endpoint, Limit: OfThousandths(t.Thousandths), Age: time.Duration(t.AgeMs) * time.Millisecond})
	}
	return l.Learn(limits)
}
