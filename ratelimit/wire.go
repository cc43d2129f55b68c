package ratelimit

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// unit is the number of wire units per request per second.
const unit = 1000

// Thousandths encodes a limit for the wire. It rounds up, so that only 0 is encoded as no limit.
func Thousandths(limit float64) uint32 { return uint32(min(math.MaxUint32, math.Ceil(limit*unit))) }

// OfThousandths decodes a limit from the wire.
func OfThousandths(n uint32) float64 { return float64(n) / unit }

// Message returns the known limits as a wire message.
func (l *Limits) Message() []*sharedpb.Limit {
	var out []*sharedpb.Limit
	for _, r := range l.Reports() {
		out = append(out, &sharedpb.Limit{Endpoint: r.Endpoint, Thousandths: Thousandths(r.Limit), AgeMs: uint32(r.Age.Milliseconds())})
	}
	return out
}

// MergeMessage merges the limits in a message of another entry, and reports whether any changed.
func (l *Limits) MergeMessage(message []*sharedpb.Limit) (changed bool) {
	limits := make([]Report, 0, len(message))
	for _, m := range message {
		limits = append(limits, Report{Endpoint: m.Endpoint, Limit: OfThousandths(m.Thousandths), Age: time.Duration(m.AgeMs) * time.Millisecond})
	}
	return l.Merge(limits)
}

// Message encodes a question.
func (a Ask) Message() *sharedpb.TakeLimitRequest {
	return &sharedpb.TakeLimitRequest{Instance: a.Entry, Endpoint: a.Endpoint, Name: string(a.ID), Domain: a.Domain, Thousandths: Thousandths(a.Limit),
		AgeMs: uint32(a.Age.Milliseconds()), Headroom: Thousandths(a.Headroom)}
}

// AskOf decodes a question.
func AskOf(m *sharedpb.TakeLimitRequest) Ask {
	return Ask{Entry: m.Instance, Endpoint: m.Endpoint, ID: fleet.EndpointID(m.Name), Domain: m.Domain, Limit: OfThousandths(m.Thousandths),
		Age: time.Duration(m.AgeMs) * time.Millisecond, Headroom: OfThousandths(m.Headroom)}
}

// Message encodes a verdict; a wait is rounded up.
func (v Verdict) Message() *sharedpb.TakeLimitResponse {
	wait := (v.Wait + time.Millisecond - 1).Milliseconds()
	return &sharedpb.TakeLimitResponse{Granted: v.Granted, WaitMs: uint32(min(math.MaxUint32, wait))}
}

// VerdictOf decodes a verdict.
func VerdictOf(m *sharedpb.TakeLimitResponse) Verdict {
	return Verdict{Granted: m.Granted, Wait: time.Duration(m.WaitMs) * time.Millisecond}
}
