package concurrency

import (
	"math"
	"time"

	"github.com/lovageweir/lovageweir/rpc/meshpb"
)

// Message encodes a question.
func (a Ask) Message() *meshpb.TakePermitRequest {
	return &meshpb.TakePermitRequest{Instance: a.Entry, Endpoint: a.Endpoint, Domain: a.Domain, Service: a.Service, Limit: uint32(a.Brittle), Slots: uint32(a.Slots),
		InUse: uint32(a.InUse), Update: a.Update, Refused: uint32(a.Refused), Boot: a.Boot, Sequence: a.Sequence}
}

// AskOf decodes a question.
func AskOf(m *meshpb.TakePermitRequest) Ask {
	return Ask{Entry: m.Instance, Endpoint: m.Endpoint, Domain: m.Domain, Service: m.Service, Brittle: int(m.Limit), Slots: int(m.Slots),
		InUse: int(m.InUse), Update: m.Update, Refused: int(m.Refused), Boot: m.Boot, Sequence: m.Sequence}
}

// Message encodes a verdict; a wait is rounded up.
func (v Verdict) Message() *meshpb.TakePermitResponse {
	wait := (v.Wait + time.Millisecond - 1).Milliseconds()
	return &meshpb.TakePermitResponse{Granted: v.Granted, WaitMs: uint32(min(math.MaxUint32, wait))}
}

// VerdictOf decodes a verdict.
func VerdictOf(m *meshpb.TakePermitResponse) Verdict {
	return Verdict{Granted: m.Granted, Wait: time.Duration(m.WaitMs) * time.Millisecond}
}

// Message returns the brittle services as a wire message.
func (l *Limiter) Message() []*meshpb.Brittle {
	var out []*meshpb.Brittle
	for _, b := range l.Brittle() {
		out = append(out, &meshpb.Brittle{Service: b.Service, Limit: uint32(b.Limit), AgeMs: uint32(b.Age.Milliseconds())})
	}
	return out
}

// MergeMessage merges the brittle services in a message of another entry.
func (l *Limiter) MergeMessage(message []*meshpb.Brittle) {
	brittle := make([]Brittle, 0, len(message))
	for _, m := range message {
		brittle = append(brittle, Brittle{m.Service, int(m.Limit), time.Duration(m.AgeMs) * time.Millisecond})
	}
	l.Merge(brittle)
}
