package ingress_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// limitedFleet is several entries in front of engines some of which announce a rate limit,
// on a fake clock that does not advance while requests are served.
type limitedFleet struct {
	*cluster
	clock   *clockwork.FakeClock
	engines []*platformtest.Engine
	// arrivals at each engine, by step.
	arrivals [][]int
	// lateReports delivers the reports between entries at the end of the step only.
	lateReports bool
}

// step is the time between two batches of requests.
const step = 100 * time.Millisecond

func newLimitedFleet(t *testing.T, n, engines int) *limitedFleet {
	t.Helper()
	return newLimitedFleetIn(t, n, engines, 1)
}

func newLimitedFleetIn(t *testing.T, n, engines, domains int) *limitedFleet {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &limitedFleet{cluster: newClusterIn(t, n, domains, clock), clock: clock}
	for i := range engines {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprintf("e%d", i), Service: service, Domain: domainOf(i, domains), Version: "v1", OmitLoad: true})
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		e.Config.Address = strings.TrimPrefix(srv.URL, "http://")
		f.put(e.Registration(false))
		f.engines = append(f.engines, e)
	}
	f.arrivals = make([][]int, engines)
	f.sync()
	return f
}

// run sends a number of requests in each step, to the entries in turn, for the given time. It
// returns how many were answered and how many refused.
func (f *limitedFleet) run(d time.Duration, perStep int) (answered, refused int) {
	f.t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range int(d / step) {
		var late []int // entries whose reports are under way
		before := make([]int, len(f.engines))
		for i, e := range f.engines {
			before[i] = len(e.Runs())
		}
		for range perStep {
			entry := f.sent % len(f.all)
			got := f.send(entry, "/post/x", fmt.Sprintf("body %d", f.sent))
			select {
			case <-f.all[entry].limits.Sent():
				if f.lateReports {
					late = append(late, entry)
				} else {
					f.broadcastLimits(entry)
				}
			default:
			}
			switch got.status {
			case http.StatusOK:
				answered++
			case http.StatusServiceUnavailable:
				refused++
				if got.header.Get("Retry-After") == "" {
					f.t.Error("refusal has no Retry-After header")
				}
			default:
				f.t.Errorf("request %d got %d", f.sent, got.status)
			}
		}
		for i, e := range f.engines {
			f.arrivals[i] = append(f.arrivals[i], len(e.Runs())-before[i])
		}
		f.clock.Advance(step)
		for _, entry := range late {
			f.broadcastLimits(entry)
		}
		for i := range f.all {
			if !f.lateReports || n%10 == i%10 { // large fleets publish loads once a second
				f.broadcastLoads(i)
			}
			if f.lateReports && n%3 == i%3 {
				f.meshes[i].ExchangeWith(context.Background(), f.meshes[rng.IntN(len(f.meshes))].Address)
			}
		}
	}
	return answered, refused
}

// faultAt injects a fault into all requests of one engine.
func (f *limitedFleet) faultAt(engine int, fault platformtest.Fault) {
	f.engines[engine].FaultOf = func(*http.Request) platformtest.Fault { return fault }
}

// maxArrivals returns the most requests that an engine got within a window, from a time on.
func (f *limitedFleet) maxArrivals(engine int, from, window time.Duration) int {
	steps, maxArrivals := f.arrivals[engine][from/step:], 0
	n := int(window / step)
	for i := 0; i+n <= len(steps); i++ {
		maxArrivals = max(maxArrivals, sum(steps[i:i+n]))
	}
	return maxArrivals
}

func sum(all []int) int {
	total := 0
	for _, n := range all {
		total += n
	}
	return total
}

// What a limit allows within any limitWindow, from limitGrace after it was first announced.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

func maxAllowed(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// Guards against an endpoint getting its limit, or more, from each entry instead of from all together.
func TestEndpointLimitHoldsAcrossEntries(t *testing.T) {
	for _, limit := range []float64{0.4, 1.4, 6} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			f := newLimitedFleet(t, 8, 4)
			f.run(time.Second, 8)
			f.engines[0].SetLimit(limit)
			const duration = 30 * time.Second
			answered, refused := f.run(duration, 8)
			is.True(f.maxArrivals(0, time.Second+limitGrace, limitWindow) <= maxAllowed(limit))
			got := sum(f.arrivals[0][int(time.Second/step):])
			is.True(float64(got) >= 0.9*limit*duration.Seconds()) // the limit is used up
			is.Equal(refused, 0)                                  // the other engines have room
			is.True(answered > 0)
		})
	}
}

// Guards against a limit being kept after the endpoint no longer announces it.
func TestLimitEndsWhenNoLongerAnnounced(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 8, 2)
	f.engines[0].SetLimit(1)
	f.run(10*time.Second, 5)
	f.engines[0].SetLimit(0)
	f.run(10*time.Second, 5)
	is.True(f.maxArrivals(0, 15*time.Second, limitWindow) > maxAllowed(1))
}

// Guards against requests waiting while all endpoints are at their limits, and against limits not being used up then.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	const limit = 2.0
	f := newLimitedFleet(t, 8, 2)
	for _, e := range f.engines {
		e.SetLimit(limit)
	}
	const duration = 30 * time.Second
	answered, refused := f.run(duration, 8)
	is.True(refused > 0)
	for i := range f.engines {
		is.True(f.maxArrivals(i, limitGrace, limitWindow) <= maxAllowed(limit))
	}
	is.True(float64(answered) >= 0.9*2*limit*duration.Seconds())
}

// Guards against light requests being refused permanently while all endpoints announce a limit.
func TestLightRequestsAreServedIfAllEndpointsAreLimited(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 4, 2)
	for _, e := range f.engines {
		e.SetLimit(2)
	}
	served := map[string]int{}
	usages := []string{"10000,10", "100,10", "100,10", "100,10"}
	for n := range 300 { // 30 s
		for i := range usages {
			usage := usages[(n+i)%len(usages)]
			f.sent++
			entry := f.sent % len(f.all)
			got := f.all[entry].do(http.MethodPost, "/post/x", "body", "X-Attempt-Id", fmt.Sprint("r", f.sent), "X-Token-Usage", usage)
			if got.status == http.StatusOK {
				served[usage]++
			}
			f.broadcastLimits(entry)
		}
		f.clock.Advance(step)
	}
	is.True(served["10000,10"] > 0)
	is.True(served["100,10"] >= served["10000,10"]) // three in four requests
}

// Guards against the entries of a failure domain sending at the same moment, in a fleet where reports take time.
func TestEndpointLimitsHoldInALargeFleet(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleetIn(t, 72, 112, 5)
	f.lateReports = true
	limitOf := func(engine int) float64 { return []float64{0, 0.4, 0, 1.4}[engine/5%4] }
	for i, e := range f.engines {
		e.SetLimit(limitOf(i))
		e.Config.OmitLoad = false
		if limitOf(i) == 0 {
			e.Config.Busy = e.Config.Slots // the others are less loaded, as they get fewer requests
		}
	}
	const duration = 12 * time.Second
	answered, refused := f.run(duration, 80)
	over, got, allowed := 0, 0, 0.0
	for i := range f.engines {
		limit := limitOf(i)
		if limit > 0 {
			got += sum(f.arrivals[i][int(limitGrace/step):])
			allowed += limit * (duration - limitGrace).Seconds()
		}
		if got := f.maxArrivals(i, limitGrace, limitWindow); limit > 0 && got > maxAllowed(limit) {
			t.Logf("engine %d of %g a second: %d in four seconds, %d allowed", i, limit, got, maxAllowed(limit))
			over++
		}
	}
	is.Equal(over, 0)
	is.True(float64(got) >= 0.9*allowed) // the limits are used up
	is.Equal(refused, 0)                 // the other engines have room
	is.True(answered > 0)
}

// Guards against an answer dropped for a larger model that no endpoint has room for.
func TestAnswerIsKeptWhereLimitsHaveNoRoomForALargerModel(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 3, 1)
	for i := range f.all {
		f.broadcastLoads(i)
	}
	f.engines[0].Config.Confidence = func(string, string) int { return 0 }
	f.engines[0].SetLimit(2)
	const rounds, interval = 40, 500 * time.Millisecond // one request fits the limit in each
	answered := 0
	for range rounds {
		for entry := range f.all {
			f.sent++
			got := f.all[entry].do(http.MethodPost, "/sized/stream", "body", "X-Attempt-Id", fmt.Sprint("r", f.sent), "X-Model", "*")
			if got.status == http.StatusOK {
				answered++
			} else {
				is.Equal(got.status, http.StatusServiceUnavailable)
			}
		}
		f.clock.Advance(interval)
		for i := range f.all {
			f.broadcastLoads(i)
		}
	}
	is.True(answered >= 0.9*rounds)
}
