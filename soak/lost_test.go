package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: an entry that is stopping takes calls until its process ends, their
// callers' connections close without an answer, and the soak says nothing.
// Events: requests of a stopping entry that were cut off, each with or without
// a cause that the stop is not to blame for.
// Cause: the soak looked at answers only, and a closed connection is none.
func TestRequestsLostToAStopAreFound(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	call := seen{id: "r", kind: "call", entry: "entry-1", begun: at(7425), sent: at(7426), ended: at(7541)}
	sound := run{id: "r", engine: "engine-1", at: at(7430)}
	long := func(begun, ended int) seen {
		return seen{id: "r", kind: "long", entry: "entry-1", status: 200, begun: at(begun), sent: at(begun), ended: at(ended)}
	}
	cases := []struct {
		name      string
		request   func(q *seen)
		runs      []run
		disturbed map[string][]span
		lost      bool
	}{
		{name: "a call that ran", runs: []run{sound}, lost: true},
		{name: "its last run was sound", runs: []run{sound, {id: "r", engine: "engine-2", at: at(7427), fault: "fail"}}, lost: true},
		{name: "answered", request: func(q *seen) { q.whole = true }, runs: []run{sound}},
		{name: "never sent", request: func(q *seen) { q.sent = time.Time{} }},
		{name: "at another entry", request: func(q *seen) { q.entry = "entry-2" }, runs: []run{sound}},
		{name: "before the stop", request: func(q *seen) { q.begun, q.ended = at(-200), at(-100) }, runs: []run{sound}},
		{name: "the endpoint broke off", runs: []run{{id: "r", engine: "engine-1", at: at(7430), fault: "reset_before"}}},
		{name: "the entry was paused", runs: []run{sound}, disturbed: map[string][]span{"entry-1": {{at(5000), at(5100)}}}},
		{name: "the endpoint's link was cut", runs: []run{sound}, disturbed: map[string][]span{"engine-1": {{at(5000), at(5100)}}}},
		{name: "something else was cut", runs: []run{sound}, disturbed: map[string][]span{"engine-2": {{at(5000), at(5100)}}}, lost: true},
		{name: "cut long before", runs: []run{sound}, disturbed: map[string][]span{"entry-1": {{at(3000), at(4400)}}}, lost: true},
		{name: "its time was over", request: func(q *seen) { q.begun = q.ended.Add(-requestLimit) }, runs: []run{sound}},
		{name: "it crossed the closing", request: func(q *seen) { q.sent = at(7400) }},
		{name: "read and never run", request: func(q *seen) { q.sent = at(7300) }, lost: true},
		{name: "a call that came early", request: func(q *seen) { q.begun, q.sent = at(2900), at(2900); q.ended = at(5000) }, runs: []run{sound}, lost: true},
		{name: "a stream that came early", request: func(q *seen) { *q = long(3000, 7541) }, runs: []run{sound}},
		{name: "a stream that came late", request: func(q *seen) { *q = long(3001, 7541) }, runs: []run{sound}, lost: true},
		{name: "a stream cut early", request: func(q *seen) { *q = long(1000, 6600) }, runs: []run{sound}, lost: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &faults{c: &cluster{grace: platformGrace}, disturbed: c.disturbed, stops: []stop{{"entry-1", span{t0, at(7550)}}}}
			q := call
			if c.request != nil {
				c.request(&q)
			}
			is.Equal(len(f.lostAtStops([]seen{q}, &ran{all: c.runs})) == 1, c.lost)
		})
	}
}
