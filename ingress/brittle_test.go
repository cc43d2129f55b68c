package ingress_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/platform/platformtest"
)

// Guards against brittle endpoints falling over under the requests of all entries together.
func TestBrittleEndpointsDoNotFallOver(t *testing.T) {
	const endpoints, slots, work = 10, 2, 400 * time.Millisecond
	const perSecond = endpoints * slots * int(time.Second/work) // what the endpoints can serve
	for _, tt := range []struct {
		entries, limit int
		load           float64 // offered, of what they can serve
		waiting        int     // how many requests may wait while an endpoint is brittle
		least          float64 // served, of what is offered and can be served
	}{
		{entries: 8, limit: 3, load: 0.7, waiting: 2, least: 0.8},
		{entries: 8, limit: 3, load: 2, waiting: 2, least: 0.8},
		{entries: 8, limit: 10, load: 2, waiting: 2, least: 0.8},
		{entries: 60, limit: 3, load: 2, waiting: 2, least: 0.8},
		{entries: 8, limit: 1, load: 2, waiting: 0, least: 0.7},
		{entries: 60, limit: 2, load: 2, waiting: 0, least: 0.7},
	} {
		t.Run(fmt.Sprintf("%d entries, %d a second, load %g, %d wait", tt.entries, tt.limit, tt.load, tt.waiting), func(t *testing.T) {
			is := is.New(t)
			f := newClusterIn(t, tt.entries, 1, clockwork.NewRealClock())
			for i := range endpoints {
				f.all[0].addEngine(platformtest.EngineConfig{ID: fmt.Sprint("e", i), Service: service, Domain: "d1", Version: "v1", Slots: slots, Capacity: slots + tt.waiting, Work: work})
			}
			f.sync()
			f.offer(time.Second, float64(perSecond)*0.5)
			for _, e := range f.all[0].engines {
				e.SetBrittle(tt.limit)
			}
			f.offer(3*time.Second, float64(perSecond)*0.5) // the users' bound until it counts
			before := f.falls()
			served := f.offer(5*time.Second, float64(perSecond)*tt.load)
			falls := f.falls() - before
			t.Logf("%d falls; served %.0f a second of %.0f offered and %d possible", falls, float64(served)/5, float64(perSecond)*tt.load, perSecond)
			is.True(falls <= 2+endpoints/10)
			is.True(float64(served)/5 >= tt.least*float64(perSecond)*min(1, tt.load))
		})
	}
}

func (f *cluster) falls() int {
	n := 0
	for _, e := range f.all[0].engines {
		n += e.Falls()
	}
	return n
}

// offer sends requests to random entries at a rate, and returns how many were served.
func (f *cluster) offer(d time.Duration, perSecond float64) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	served := 0
	stopLoads := make(chan struct{})
	var loads sync.WaitGroup
	loads.Go(func() {
		for {
			select {
			case <-stopLoads:
				return
			case <-time.After(250 * time.Millisecond):
				for i := range f.all {
					f.broadcastLoads(i)
				}
			}
		}
	})
	began := time.Now()
	n := int(d.Seconds() * perSecond)
	for i := range n {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		wg.Go(func() {
			id := fmt.Sprintf("b%d-%d", began.UnixNano(), i)
			got := f.all[i%len(f.all)].do(http.MethodPost, []string{"/get/x", "/post/x"}[i%2], "body "+id, "X-Attempt-Id", id)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	close(stopLoads)
	loads.Wait()
	return served
}
