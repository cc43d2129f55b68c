package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// leavingBound is how long an endpoint may get requests after it said that it leaves.
const leavingBound = 2 * time.Second

// paths are requests of each kind.
var paths = []string{"/post/x", "/get/x", "/once/stream", "/resume/stream", "/sized/stream"}

// sendToAll sends requests of each kind to each entry.
func (f *limitedFleet) sendToAll(rounds int) (refused int) {
	f.t.Helper()
	for range rounds {
		for entry := range f.all {
			for _, path := range paths {
				if got := f.send(entry, path, fmt.Sprintf("body %d", f.sent)); got.status != 200 {
					refused++
				}
			}
		}
	}
	return refused
}

// Guards against requests to an endpoint that said in an answer that it leaves, while the store is silent.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"served": platformtest.NoFault, "refused": platformtest.Refuse} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLimitedFleet(t, 3, 3)
			f.faultAt(0, fault)
			f.engines[0].SetLeaving(true)
			for entry := range f.all {
				for before := f.engines[0].Arrivals(); f.engines[0].Arrivals() == before; {
					f.send(entry, "/post/x", "body")
				}
			}
			f.clock.Advance(leavingBound)
			f.put(f.engines[0].Registration(false)) // it still counts as ready in the store
			f.sync()
			before := f.engines[0].Arrivals()
			is.Equal(f.sendToAll(5), 0) // the others serve
			is.Equal(f.engines[0].Arrivals(), before)
		})
	}
}

// Guards against entries that go on sending because only another entry got the answer.
func TestOtherEntriesLearnThatAnEndpointLeaves(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 3, 2)
	f.engines[0].SetLeaving(true)
	for f.engines[0].Arrivals() == 0 {
		f.send(0, "/post/x", "body")
	}
	f.gossip()
	f.clock.Advance(leavingBound)
	before := f.engines[0].Arrivals()
	is.Equal(f.sendToAll(5), 0)
	is.Equal(f.engines[0].Arrivals(), before)
}

// Guards against a restarted endpoint getting no requests because it left before.
func TestRestartedEndpointGetsRequestsAgain(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 1)
	f.engines[0].SetLeaving(true)
	f.send(0, "/post/x", "body")
	f.clock.Advance(leavingBound)
	is.Equal(f.send(0, "/post/x", "body").status, 503) // refused at once: no other serves
	f.engines[0].SetLeaving(false)
	f.engines[0].Config.Born = time.Now().UnixMilli()
	f.put(f.engines[0].Registration(false))
	f.sync()
	is.Equal(f.send(0, "/post/x", "body").status, 200)
}
