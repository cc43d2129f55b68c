package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a soak that overlooks requests sent to a leaving engine: runs before and
// after the bound, with and without an entry that could not learn of the leaving.
func TestRunsAfterLeavingAreDetected(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1000, 0)
	r := &runLog{leftAt: map[string]time.Time{"e1": t0}}
	r.runs = []run{
		{id: "soon", engine: "e1", at: t0.Add(leavingBound)},
		{id: "late", engine: "e1", at: t0.Add(leavingBound + leavingSlack + time.Millisecond)},
		{id: "other", engine: "e2", at: t0.Add(time.Hour)},
	}
	late := r.runsAfterLeaving(nil)
	is.Equal(len(late), 1)
	is.Equal(late[0].id, "late")
	is.Equal(len(r.runsAfterLeaving([]interval{{t0.Add(-time.Second), t0.Add(-time.Millisecond)}})), 0)         // catching up
	is.Equal(len(r.runsAfterLeaving([]interval{{t0.Add(time.Second), t0.Add(2 * time.Second)}})), 0)            // disconnected
	is.Equal(len(r.runsAfterLeaving([]interval{{t0.Add(-time.Hour), t0.Add(-catchUp - time.Millisecond)}})), 1) // disconnected long before
	is.Equal(len(r.runsAfterLeaving([]interval{{t0.Add(time.Hour), t0.Add(2 * time.Hour)}})), 1)                // disconnected afterwards
}
