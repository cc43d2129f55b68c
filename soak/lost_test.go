package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a soak that overlooks requests lost to a planned stop: the entry accepted
// calls until its process ended and closed their connections without a response, while
// the soak checked responses only. Each case has, or lacks, another cause of the loss.
func TestRequestsLostToAStopAreDetected(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	call := result{id: "r", kind: "call", entry: "entry-1", started: at(7425), sent: at(7426), ended: at(7541)}
	sound := run{id: "r", engine: "engine-1", at: at(7430)}
	long := func(started, ended int) result {
		return result{id: "r", kind: "long", entry: "entry-1", status: 200, started: at(started), sent: at(started), ended: at(ended)}
	}
	cases := []struct {
		name       string
		request    func(q *result)
		engineRuns []run
		faulted    map[string][]interval
		lost       bool
	}{
		{name: "a call that ran", engineRuns: []run{sound}, lost: true},
		{name: "its last run was sound", engineRuns: []run{sound, {id: "r", engine: "engine-2", at: at(7427), fault: "fail"}}, lost: true},
		{name: "answered", request: func(q *result) { q.complete = true }, engineRuns: []run{sound}},
		{name: "never sent", request: func(q *result) { q.sent = time.Time{} }},
		{name: "at another entry", request: func(q *result) { q.entry = "entry-2" }, engineRuns: []run{sound}},
		{name: "before the stop", request: func(q *result) { q.started, q.ended = at(-200), at(-100) }, engineRuns: []run{sound}},
		{name: "the endpoint broke off", engineRuns: []run{{id: "r", engine: "engine-1", at: at(7430), fault: "reset_before"}}},
		{name: "the entry was paused", engineRuns: []run{sound}, faulted: map[string][]interval{"entry-1": {{at(5000), at(5100)}}}},
		{name: "the endpoint's link was cut", engineRuns: []run{sound}, faulted: map[string][]interval{"engine-1": {{at(5000), at(5100)}}}},
		{name: "something else was cut", engineRuns: []run{sound}, faulted: map[string][]interval{"engine-2": {{at(5000), at(5100)}}}, lost: true},
		{name: "cut long before", engineRuns: []run{sound}, faulted: map[string][]interval{"entry-1": {{at(3000), at(4400)}}}, lost: true},
		{name: "its time was over", request: func(q *result) { q.started = q.ended.Add(-requestTimeout) }, engineRuns: []run{sound}},
		{name: "it crossed the closing", request: func(q *result) { q.sent = at(7400) }},
		{name: "read and never run", request: func(q *result) { q.sent = at(7300) }, lost: true},
		{name: "a call that came early", request: func(q *result) { q.started, q.sent = at(2900), at(2900); q.ended = at(5000) }, engineRuns: []run{sound}, lost: true},
		{name: "a stream that came early", request: func(q *result) { *q = long(3000, 7541) }, engineRuns: []run{sound}},
		{name: "a stream that came late", request: func(q *result) { *q = long(3001, 7541) }, engineRuns: []run{sound}, lost: true},
		{name: "a stream cut early", request: func(q *result) { *q = long(1000, 6600) }, engineRuns: []run{sound}, lost: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &faultInjector{c: &cluster{grace: platformGrace}, faulted: c.faulted, stops: []plannedStop{{"entry-1", interval{t0, at(7550)}}}}
			q := call
			if c.request != nil {
				c.request(&q)
			}
			is.Equal(len(f.lostAtStops([]result{q}, &runLog{runs: c.engineRuns})) == 1, c.lost)
		})
	}
}
