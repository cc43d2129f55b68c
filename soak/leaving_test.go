package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: an engine that is leaving keeps getting requests, and the soak says
// nothing.
// Events: runs before and after the bound, with and without an entry that could
// not hear of the leaving.
func TestRunsAfterLeavingAreFound(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	r := &ran{left: map[string]time.Time{"e1": t0}}
	r.all = []run{
		{id: "soon", engine: "e1", at: t0.Add(leavingBound)},
		{id: "late", engine: "e1", at: t0.Add(leavingBound + leavingSlack + time.Millisecond)},
		{id: "other", engine: "e2", at: t0.Add(time.Hour)},
	}
	late := r.afterLeaving(nil)
	is.Equal(len(late), 1)
	is.Equal(late[0].id, "late")
	is.Equal(len(r.afterLeaving([]span{{t0.Add(-time.Second), t0.Add(-time.Millisecond)}})), 0)         // catching up
	is.Equal(len(r.afterLeaving([]span{{t0.Add(time.Second), t0.Add(2 * time.Second)}})), 0)            // could not hear
	is.Equal(len(r.afterLeaving([]span{{t0.Add(-time.Hour), t0.Add(-catchUp - time.Millisecond)}})), 1) // long before
	is.Equal(len(r.afterLeaving([]span{{t0.Add(time.Hour), t0.Add(2 * time.Hour)}})), 1)                // after it
}
