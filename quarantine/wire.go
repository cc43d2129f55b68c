package quarantine

import (
	"time"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/rpc/sharedpb"
)

// Message returns the result of Reports as messages to other entries.
func (t *Table) Message() ([]*sharedpb.Suspect, []*sharedpb.SuspectPart) {
	var requests []*sharedpb.Suspect
	var parts []*sharedpb.SuspectPart
	for _, r := range t.Reports() {
		if r.Part || len(r.Answers) > 0 { // earlier builds do not take it for a cause
			parts = append(parts, partMessage(r))
			continue
		}
		s := &sharedpb.Suspect{Fingerprint: uint64(r.Fingerprint)}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, &sharedpb.Crash{Endpoint: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: milliseconds(c.Age), Variant: uint32(c.Variant)})
		}
		requests = append(requests, s)
	}
	return requests, parts
}

func partMessage(r SuspectReport) *sharedpb.SuspectPart {
	p := &sharedpb.SuspectPart{Fingerprint: uint64(r.Fingerprint), Whole: !r.Part}
	for _, c := range r.Crashes {
		p.Crashes = append(p.Crashes, &sharedpb.PartCrash{Endpoint: string(c.Endpoint), Stage: uint32(c.Stage), AgeMs: milliseconds(c.Age), Request: uint64(c.Request), Variant: uint32(c.Variant)})
	}
	for _, a := range r.Answers {
		list := answersOf(p, a.Stage)
		*list = append(*list, &sharedpb.PartAnswer{Variant: uint32(a.Variant), AgeMs: milliseconds(a.Age)})
	}
	return p
}

// answersOf returns the answers in a message that got beyond a stage.
func answersOf(p *sharedpb.SuspectPart, stage Stage) *[]*sharedpb.PartAnswer {
	switch stage {
	case Waiting:
		return &p.Heads
	case Started:
		return &p.Events
	}
	return &p.Answers
}

func milliseconds(d time.Duration) uint32 { return uint32(d.Milliseconds()) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// MergeMessage merges the suspects in another entry's messages.
func (t *Table) MergeMessage(from string, requests []*sharedpb.Suspect, parts []*sharedpb.SuspectPart) {
	reports := make([]SuspectReport, 0, len(requests)+len(parts))
	for _, s := range requests {
		r := SuspectReport{Fingerprint: Fingerprint(s.Fingerprint)}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, CrashReport{Endpoint: fleet.EndpointID(c.Endpoint), Stage: Stage(c.Stage), Age: duration(c.AgeMs), Request: r.Fingerprint, Variant: Variant(c.Variant)})
		}
		reports = append(reports, r)
	}
	for _, p := range parts {
		r := SuspectReport{Fingerprint: Fingerprint(p.Fingerprint), Part: !p.Whole}
		for _, c := range p.Crashes {
			r.Crashes = append(r.Crashes, CrashReport{Endpoint: fleet.EndpointID(c.Endpoint), Stage: Stage(c.Stage), Age: duration(c.AgeMs), Request: Fingerprint(c.Request), Variant: Variant(c.Variant)})
		}
		for stage := Waiting; stage <= Running; stage++ {
			for _, a := range *answersOf(p, stage) {
				r.Answers = append(r.Answers, AnswerReport{Variant: Variant(a.Variant), Stage: stage, Age: duration(a.AgeMs)})
			}
		}
		reports = append(reports, r)
	}
	t.Merge(from, reports)
}
